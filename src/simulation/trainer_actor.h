/// \file
/// Simulated trainer.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "simulation/environment.h"
#include "simulation/simulated_node.h"

namespace tackpick::simulation {

/// Submits batches, reads their samples by cursor, trains and publishes weights. Retries every call
/// at a random gateway until it is answered, sometimes repeats a read, and loses its cursor when it
/// restarts.
class TrainerActor {
 public:
  TrainerActor(Environment& environment, std::uint32_t number, std::uint64_t& publishedVersion);

  void start();
  /// Submits no more batches. Submitted batches are still read to their end.
  void stop();
  /// Starts to measure idle time and staleness.
  void startMeasurement();
  [[nodiscard]] bool isDone() const { return stopped_ && batches_.empty(); }
  /// Returns the fraction of the measured time that was spent waiting for a batch.
  [[nodiscard]] double idleFraction() const;
  /// Returns the mean staleness of delivered samples: the published version minus the oldest
  /// version of the sample.
  [[nodiscard]] double meanStaleness() const;

 private:
  struct Batch {
    SentBatch sent;
    base::TimePoint submittedAt{};
    bool accepted = false;
    std::uint32_t cursor = 0;
    bool minVersionRaised = false;
  };
  using OnResult = std::function<void(const base::Bytes& result)>;

  /// Submits batches up to LoadOptions::batchLookahead.
  void submitLookahead();
  void submit();
  void addIdleTime();
  void waitForBatch();
  void read();
  void onSamples(const ledger::ReadResult& result, std::uint32_t from);
  void raiseMinVersion();
  void acknowledge();
  void publish();
  /// Calls the ledger through a random gateway. Retries until a response arrives.
  void call(const base::BatchId& batch, transport::CommandKind kind, const base::Bytes& payload,
            const OnResult& onResult);
  void callControllers(const base::Bytes& payload, const OnResult& onResult);
  void retryUntilAnswered(
      const std::function<void(SimulatedNode&, SimulatedNode::ResultHandler)>& send,
      const OnResult& onResult);
  /// Runs `action` after `delay`, or reads the batch again if the trainer has restarted by then.
  void scheduleUnlessRestarted(base::Duration delay, EventLoop::Callback action);
  [[nodiscard]] SimulatedNode* randomGateway();

  Environment& environment_;
  const std::uint32_t number_;
  std::uint64_t& published_version_;
  std::uint64_t batch_number_ = 0;
  /// Submitted batches that are not acknowledged; the first one is being read.
  std::deque<Batch> batches_;
  bool stopped_ = false;
  /// Number of restarts; scheduled actions from before a restart are dropped.
  std::uint64_t m_restartCount = 0;
  base::TimePoint started_at_{};
  base::TimePoint ended_at_{};
  bool waiting_ = false;  ///< whether the trainer has been waiting for a batch since waiting_since_
  base::TimePoint waiting_since_{};
  base::Duration idle_{0};
  double staleness_sum_ = 0.0;
  std::uint64_t staleness_count_ = 0;
};

}  // namespace tackpick::simulation
