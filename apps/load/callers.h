/// \file
/// Open-loop callers.
#pragma once

#include <asio.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "answer_checker.h"
#include "base/random.h"
#include "base/time.h"
#include "http/client.h"
#include "options.h"
#include "report.h"
#include "runtime/engine_json.h"

namespace tackpick::load {

/// Sends requests at random times whatever the answers, reads their streams, checks every answer,
/// and repeats a request elsewhere where its verdict allows that.
class Callers {
 public:
  Callers(asio::io_context& context, http::Client& client, const Options& options, Report& report);

  /// Offers load until `end`; runs on the context.
  void start(base::TimePoint end);
  [[nodiscard]] bool done() const { return senders_running_ == 0 && calls_.empty(); }
  /// `prompt#seed` of every not-repeatable request whose last verdict was `not_run`.
  [[nodiscard]] const std::set<std::string>& refusedNotRun() const { return refused_not_run_; }

 private:
  struct Call {
    const CallerWorkload* workload = nullptr;
    std::string prompt;
    std::uint64_t seed = 0;
    std::uint32_t maximumTokens = 0;
    bool notRepeatable = false;
    std::string key;
    std::uint32_t attempts = 0;
    std::size_t gateway = 0;
    base::TimePoint startedAt{};
    base::TimePoint sentAt{};
    bool firstTokenSeen = false;
    runtime::EventStreamParser parser;
    ReceivedResponse answer;
    bool ended = false;   ///< the end of the stream with its count arrived
    bool failed = false;  ///< the stream carried an error
    std::string verdict;
    std::uint64_t endCount = 0;
  };

  void sendNext(const CallerWorkload& workload);
  void send(std::uint64_t number);
  void onData(std::uint64_t number, std::string_view bytes);
  void onEvent(Call& call, std::string_view data);
  void onDone(std::uint64_t number, const http::ClientResult& result);
  void judge(Call& call);
  void retryOrCount(std::uint64_t number, const std::string& verdict, int retryAfterSeconds);

  asio::io_context& context_;
  http::Client& client_;
  const Options& options_;
  Report& report_;
  base::MonotonicTimeSource clock_;
  base::SeededRandom random_;
  base::TimePoint end_{};
  std::uint32_t senders_running_ = 0;
  std::uint64_t last_call_ = 0;
  std::map<std::uint64_t, Call> calls_;
  std::set<std::string> refused_not_run_;
};

}  // namespace tackpick::load
