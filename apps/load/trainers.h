/// \file
/// Trainers: submit batches, wait for them, train, publish weights.
#pragma once

#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "answer_checker.h"
#include "base/random.h"
#include "base/time.h"
#include "http/client.h"
#include "options.h"
#include "report.h"

namespace tackpick::load {

/// The version that all trainers of the model last published.
struct PublishedWeights {
  std::uint64_t version = 1;
};

/// One trainer. Every call is repeated, at another gateway, until it is answered: all of them are
/// safe to repeat.
class Trainer {
 public:
  Trainer(asio::io_context& context, http::Client& client, const Options& options,
          const TrainerWorkload& workload, std::uint64_t number, PublishedWeights& weights,
          Report& report);

  void start(base::TimePoint end);
  [[nodiscard]] bool done() const { return done_; }

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
    std::vector<int> deliveries;
    std::uint32_t cursor = 0;
    base::TimePoint submittedAt{};
    bool submitted = false;
  };
  using OnAnswer = std::function<void(const http::ClientResult& result)>;

  Batch makeBatch();
  void submitAhead();
  void submit(const std::shared_ptr<Batch>& batch);
  void waitForBatch();
  void read();
  void onSamples(const http::ClientResult& result);
  void judge(Batch& batch, const runtime::Json& sample);
  void score(const runtime::Json& samples, std::function<void()> then);
  void acknowledge();
  void onWhole();
  void publish();
  void finish();
  void after(base::Duration pause, std::function<void()> then);
  /// Repeats until a gateway gives an answer that `accepts` takes.
  void call(const std::string& method, const std::string& path, const std::string& body,
            OnAnswer onResponse);

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
  std::deque<std::shared_ptr<Batch>> batches_;  ///< submitted; the first is waited for
  bool done_ = false;
};

}  // namespace tackpick::load
