/// \file
/// Trainers of a load run.
#pragma once

#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "http/client.h"
#include "options.h"
#include "report.h"
#include "response_parser.h"

namespace tackpick::load {

/// Latest published version, shared by all trainers of the model.
struct PublishedWeights {
  std::uint64_t version = 1;
};

/// Submits batches, waits for their samples, trains and publishes weights. All calls are idempotent
/// and are retried at another gateway until they are answered.
class Trainer {
 public:
  Trainer(asio::io_context& context, http::Client& client, const Options& options,
          const TrainerWorkload& workload, std::uint64_t number, PublishedWeights& weights,
          Report& report);

  void start(base::TimePoint end);
  [[nodiscard]] bool isDone() const { return m_done; }

 private:
  struct Sample {
    std::string prompt;
    std::uint64_t seed = 0;
    std::uint32_t maximumTokens = 0;
  };
  struct Batch {
    std::string name;
    std::uint64_t trainerVersion = 0;
    std::vector<Sample> samples;
    std::vector<int> deliveryCounts;
    std::uint32_t cursor = 0;
    base::TimePoint submittedAt{};
    bool submitted = false;
  };
  using OnResponse = std::function<void(const http::ClientResult& result)>;

  Batch makeBatch();
  void submitLookahead();
  void submit(const std::shared_ptr<Batch>& batch);
  void waitForBatch();
  void read();
  void onSamples(const http::ClientResult& result);
  void checkSample(Batch& batch, const runtime::Json& sample);
  void score(const runtime::Json& samples, std::function<void()> callback);
  void acknowledge();
  void onBatchComplete();
  void publish();
  void finish();
  void runAfter(base::Duration delay, std::function<void()> callback);
  /// Sends a request, and retries it at the next gateway until one accepts it.
  void call(const std::string& method, const std::string& path, const std::string& body,
            OnResponse onResponse);

  asio::io_context& context_;
  http::Client& client_;
  const Options& options_;
  const TrainerWorkload& workload_;
  const std::uint64_t number_;
  PublishedWeights& weights_;
  Report& report_;
  base::MonotonicTimeSource clock_;
  base::SeededRandom random_;
  base::TimePoint end_{};
  base::TimePoint started_at_{};
  base::TimePoint waiting_since_{};
  std::uint64_t batch_number_ = 0;
  std::size_t gateway_ = 0;
  std::deque<std::shared_ptr<Batch>> batches_;  ///< submitted batches; the first one is being read
  bool m_done = false;
};

}  // namespace tackpick::load
