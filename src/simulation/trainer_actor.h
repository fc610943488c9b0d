/// \file
/// A trainer: submits batches, reads them by cursor, trains and publishes weights.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "simulation/environment.h"
#include "simulation/node_host.h"

namespace tackpick::simulation {

/// Repeats every call until it is answered, at any gateway; reads places again that it has read;
/// forgets its cursor when it restarts.
class TrainerActor {
 public:
  TrainerActor(Environment& environment, std::uint32_t number, std::uint64_t& publishedVersion);

  void start();
  /// Submits no more; what is submitted is still read to its end.
  void stop();
  /// Idle time and staleness count from here on.
  void beginMeasuring();
  [[nodiscard]] bool isDone() const { return stopped_ && batches_.empty(); }
  /// Share of the measured time spent waiting for a batch.
  [[nodiscard]] double idleShare() const;
  /// Versions between the published one and a delivered sample's oldest, on average.
  [[nodiscard]] double meanStaleness() const;

 private:
  struct Batch {
    SentBatch sent;
    base::TimePoint submittedAt{};
    bool accepted = false;
    std::uint32_t cursor = 0;
    bool tightening = false;
  };
  using OnResult = std::function<void(const base::Bytes& result)>;

  /// Keeps as many batches submitted as the load asks for.
  void submitAhead();
  void submit();
  void countIdle();
  void waitForBatch();
  void read();
  void onSamples(const ledger::ReadResult& result, std::uint32_t from);
  void tighten();
  void acknowledge();
  void publish();
  /// Calls the ledger through some gateway until there is an answer.
  void call(const base::BatchId& batch, transport::CommandKind kind, const base::Bytes& payload,
            const OnResult& onResult);
  void callControllers(const base::Bytes& payload, const OnResult& onResult);
  void repeatUntilAnswered(const std::function<void(NodeHost&, NodeHost::ResultHandler)>& send,
                           const OnResult& onResult);
  void later(base::Duration delay, EventLoop::Action action);
  [[nodiscard]] NodeHost* someGateway();

  Environment& environment_;
  const std::uint32_t number_;
  std::uint64_t& published_version_;
  std::uint64_t batch_number_ = 0;
  std::deque<Batch> batches_;  ///< submitted and not delivered; the first is being read
  bool stopped_ = false;
  std::uint64_t run_ = 0;  ///< a restarted trainer ignores what its earlier run asked for
  base::TimePoint started_at_{};
  base::TimePoint ended_at_{};
  bool waiting_ = false;  ///< for a batch, since waiting_since_
  base::TimePoint waiting_since_{};
  base::Duration idle_{0};
  double staleness_sum_ = 0.0;
  std::uint64_t staleness_count_ = 0;
};

}  // namespace tackpick::simulation
