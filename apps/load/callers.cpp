#include "callers.h"

#include <algorithm>
#include <utility>

#include "base/timer.h"

namespace tackpick::load {
namespace {

using runtime::Json;

constexpr int kOk = 200;
constexpr std::uint32_t kMaxAttempts = 6;
const std::string kNotRun = "not_run";
const std::string kMayHaveRun = "may_have_run";

base::Duration fromSeconds(double seconds) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return base::Duration(static_cast<base::Duration::rep>(seconds * kMicrosecondsPerSecond));
}

}  // namespace

Callers::Callers(asio::io_context& context, http::Client& client, const Options& options,
                 Report& report)
    : context_(context),
      client_(client),
      options_(options),
      report_(report),
      random_(base::mix(options.seed, 1)) {}

void Callers::start(base::TimePoint end) {
  end_ = end;
  for (const CallerWorkload& workload : options_.profile.callers) {
    ++senders_running_;
    scheduleNext(workload);
  }
}

void Callers::scheduleNext(const CallerWorkload& workload) {
  const double gap = random_.exponential(1.0 / (workload.requestsPerSecond * options_.rateScale));
  auto timer = std::make_shared<base::Timer>(context_, fromSeconds(gap));
  timer->async_wait([this, timer, &workload](const asio::error_code& /*error*/) {
    if (clock_.now() >= end_) {
      --senders_running_;
      return;
    }
    const std::uint64_t number = ++m_lastCallNumber;
    Call& call = calls_[number];
    call.workload = &workload;
    const auto tokens =
        static_cast<std::uint32_t>(std::max(1.0, random_.exponential(workload.meanTokens)));
    constexpr std::uint64_t kSharedPrefixes = 8;
    call.prompt = engine::lengthDirective(tokens) + workload.name + " shared context " +
                  std::string(128, static_cast<char>('a' + random_.below(kSharedPrefixes))) +
                  " question " + std::to_string(random_.next());
    call.seed = random_.below(1U << 30U);
    call.maximumTokens = std::max<std::uint32_t>(tokens, 1);
    call.notRepeatable = random_.chance(workload.notRepeatableFraction);
    call.key = "key-" + std::to_string(options_.seed) + "-" + std::to_string(random_.next());
    call.gateway = random_.below(options_.gateways.size());
    call.startedAt = clock_.now();
    ++report_.requestsSent;
    send(number);
    scheduleNext(workload);
  });
}

void Callers::send(std::uint64_t number) {
  Call& call = calls_.at(number);
  ++call.attempts;
  call.sentAt = clock_.now();
  call.parser = {};
  call.response = {};
  call.ended = false;
  call.failed = false;
  call.verdict.clear();
  http::ClientRequest request;
  request.method = "POST";
  request.url = options_.gateways[call.gateway] + "/v1/completions";
  request.headers["Authorization"] = "Bearer " + options_.callerToken;
  request.headers["Content-Type"] = "application/json";
  if (call.notRepeatable) {
    request.headers["Idempotency-Key"] = call.key;
    request.newConnection = true;
  }
  request.body = Json{{"workload", call.workload->name},
                      {"prompt", call.prompt},
                      {"seed", call.seed},
                      {"max_tokens", call.maximumTokens},
                      {"stream", true},
                      {"not_repeatable", call.notRepeatable},
                      {"deadline_ms", call.workload->deadline.count() / 1000}}
                     .dump();
  request.timeout = call.workload->deadline + base::seconds(10);
  client_.start(
      request, [this, number](std::string_view bytes) { onData(number, bytes); },
      [this, number](const http::ClientResult& result) { onDone(number, result); });
}

void Callers::onData(std::uint64_t number, std::string_view bytes) {
  Call& call = calls_.at(number);
  call.parser.feed(bytes, [&](std::string_view data) { onEvent(call, data); });
}

void Callers::onEvent(Call& call, std::string_view data) {
  const Json event = Json::parse(data, nullptr, false);
  if (!event.is_object()) {
    return;  // the final `[DONE]` event
  }
  if (event.contains("error")) {
    call.failed = true;
    call.verdict = event["error"].value("verdict", kMayHaveRun);
    return;
  }
  if (event.value("object", "") == "text_completion.end") {
    call.ended = true;
    call.reportedTokens = event["completion_tokens"].get<std::uint64_t>();
    call.response.spans = parseResponse(Json::array(), event["weights"]).spans;
    return;
  }
  if (!call.firstTokenSeen) {
    call.firstTokenSeen = true;
    report_.firstTokenMillis.push_back(base::toMilliseconds(clock_.now() - call.startedAt));
  }
  const auto offset = event["offset"].get<std::uint64_t>();
  if (offset != call.response.tokens.size()) {
    ++report_.responsesIncorrect;
  }
  for (const Json& token : event["choices"][0]["token_ids"]) {
    call.response.tokens.push_back(token.get<engine::Token>());
  }
}

void Callers::onDone(std::uint64_t number, const http::ClientResult& result) {
  Call& call = calls_.at(number);
  if (result.complete && result.status == kOk && call.ended) {
    checkResponse(call);
    calls_.erase(number);
    return;
  }
  std::string verdict = call.verdict;
  int retryAfter = 0;
  if (verdict.empty() && result.complete && result.status != kOk) {
    const auto header = result.headers.find("x-verdict");
    verdict = header == result.headers.end() ? kMayHaveRun : header->second;
    const auto after = result.headers.find("retry-after");
    retryAfter = after == result.headers.end() ? 0 : std::atoi(after->second.c_str());
  }
  if (verdict.empty()) {
    verdict = result.verdict == base::Verdict::kNotRun ? kNotRun : kMayHaveRun;
  }
  retryOrRecord(number, verdict, retryAfter);
}

void Callers::checkResponse(Call& call) {
  ++report_.requestsCompleted;
  report_.totalMillis.push_back(base::toMilliseconds(clock_.now() - call.startedAt));
  const bool correct =
      call.reportedTokens == call.response.tokens.size() &&
      hasExpectedLength(call.response, call.prompt, call.seed, call.maximumTokens) &&
      hasCorrectVersions(call.response, call.prompt, call.seed);
  if (!correct) {
    ++report_.responsesIncorrect;
  }
}

void Callers::retryOrRecord(std::uint64_t number, const std::string& verdict,
                            int retryAfterSeconds) {
  Call& call = calls_.at(number);
  // A not-repeatable request can be resent because its key prevents a second execution.
  const bool inTime = clock_.now() < call.startedAt + call.workload->deadline;
  if (call.attempts < kMaxAttempts && inTime) {
    ++report_.requestsRetried;
    call.gateway = (call.gateway + 1) % options_.gateways.size();
    const auto delay = retryAfterSeconds > 0 ? base::Duration(base::seconds(retryAfterSeconds))
                                             : base::Duration(base::milliseconds(100));
    auto timer = std::make_shared<base::Timer>(context_, delay);
    timer->async_wait([this, timer, number](const asio::error_code& /*error*/) { send(number); });
    return;
  }
  if (verdict == kNotRun) {
    ++report_.requestsRejectedNotRun;
    if (call.notRepeatable && call.attempts == 1) {
      m_rejectedNotRun.insert(call.prompt + "#" + std::to_string(call.seed));
    }
  } else {
    ++report_.requestsIndeterminate;
  }
  calls_.erase(number);
}

}  // namespace tackpick::load
