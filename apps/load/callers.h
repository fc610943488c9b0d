/// \file
/// Callers with an open-loop load.
#pragma once

#include <asio.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "http/client.h"
#include "options.h"
#include "report.h"
#include "response_parser.h"
#include "runtime/engine_json.h"

namespace tackpick::load {

/// Sends requests at random times, independently of the responses, and checks every streamed
/// response. Retries a failed request at the next gateway until its deadline or the maximum number
/// of attempts is reached.
class Callers {
 public:
  Callers(asio::io_context& context, http::Client& client, const Options& options, Report& report);

  /// Starts to send requests until `end`. Returns immediately; the work runs on the io_context.
  void start(base::TimePoint end);
  [[nodiscard]] bool isDone() const { return senders_running_ == 0 && calls_.empty(); }
  /// Returns `prompt#seed` of each not-repeatable request that was rejected as `not_run` at its
  /// only attempt.
  [[nodiscard]] const std::set<std::string>& rejectedNotRun() const { return m_rejectedNotRun; }

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
    ReceivedResponse response;
    bool ended = false;   ///< the end event of the stream was received
    bool failed = false;  ///< the stream carried an error
    std::string verdict;
    std::uint64_t reportedTokens = 0;  ///< number of tokens according to the end event
  };

  void scheduleNext(const CallerWorkload& workload);
  void send(std::uint64_t number);
  void onData(std::uint64_t number, std::string_view bytes);
  void onEvent(Call& call, std::string_view data);
  void onDone(std::uint64_t number, const http::ClientResult& result);
  void checkResponse(Call& call);
  void retryOrRecord(std::uint64_t number, const std::string& verdict, int retryAfterSeconds);

  asio::io_context& context_;
  http::Client& client_;
  const Options& options_;
  Report& report_;
  base::MonotonicTimeSource clock_;
  base::SeededRandom random_;
  base::TimePoint end_{};
  std::uint32_t senders_running_ = 0;
  std::uint64_t m_lastCallNumber = 0;
  std::map<std::uint64_t, Call> calls_;
  std::set<std::string> m_rejectedNotRun;
};

}  // namespace tackpick::load
