#include "node/forwarder.h"

#include <charconv>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "base/timer.h"
#include "directory/incarnation.h"
#include "directory/route_table.h"
#include "forwarding/retry_policy.h"
#include "http/status.h"
#include "http/stream_relay.h"
#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

using namespace http::status;

using forwarding::AttemptOutcome;
using forwarding::AttemptResult;

constexpr int kFirstError = 400;
constexpr int kFirstServerError = 500;
/// Size above which the body of a response is passed on while it arrives. A smaller one is received
/// completely first, so that the request can be retried if the instance fails.
constexpr std::size_t kMaxBufferedBytes = 1U << 20U;
/// Value of Retry-After when no instance accepted the request.
constexpr const char* kRetryAfterSeconds = "0.1";

std::optional<std::int64_t> parseInteger(const std::string& text) {
  std::int64_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  return parsed.ec == std::errc() ? std::optional(value) : std::nullopt;
}

/// A caller's request until it has been answered. Kept alive by its attempts and timers.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
 public:
  ForwardedRequest(Node& node, forwarding::InstanceTable& instances, UsageSender& usage,
                   QuarantineClient& quarantineClient, http::RawRequest request,
                   std::shared_ptr<http::Exchange> exchange, const directory::Route& route,
                   std::string tenant)
      : node_(node),
        instances_(instances),
        usage_(usage),
        m_quarantineClient(quarantineClient),
        m_body(std::make_shared<const std::string>(std::move(request.body))),
        request_(std::move(request)),
        exchange_(std::move(exchange)),
        route_(route),
        host_(request_.headers.value("Host")),
        tenant_(std::move(tenant)),
        deadline_timer_(node.context()),
        hedge_timer_(node.context()),
        policy_(route, request_.receivedAt, callerDeadline()) {}

  void start() {
    m_requirements.service = directory::pickService(route_, node_.random());
    exchange_->onClosed([self = shared_from_this()] { self->onClientDisconnected(); });
    deadline_timer_.expires_after(policy_.deadline() - node_.now());
    deadline_timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
      if (!error) {
        self->onDeadline();
      }
    });
    if (m_quarantineClient.idle()) {
      sendOrFail();
    } else {
      sendIfAdmitted();
    }
  }

 private:
  /// One attempt to run the request at an instance.
  struct Attempt {
    std::string instance;
    http::ExchangeId exchange;
    base::TimePoint sentAt{};
    int status = 0;
    http::HeaderList headers;
    std::string body;
    std::size_t reservedBytes = 0;             ///< memory reserved for `body`
    std::shared_ptr<http::StreamRelay> relay;  ///< set while the response is streamed to the caller
  };

  [[nodiscard]] base::TimePoint callerDeadline() const {
    const auto timeoutMs =
        parseInteger(request_.headers.value(node_.apiAdapter().headers().deadline));
    return request_.receivedAt + (timeoutMs ? base::milliseconds(*timeoutMs) : route_.timeout);
  }

  /// Starts an attempt unless the request is held.
  void sendIfAdmitted();
  /// Handles the controllers' decision on a requested trial.
  void onTrialDecision(bool granted);
  /// Whether the request must not be retried because instances have crashed while they ran it.
  [[nodiscard]] bool mustNotRetry() const;
  /// Rejects the request because it is held.
  void rejectHeld();
  /// Starts another attempt if allowed; fails the request if no attempt is in flight.
  void sendOrFail();
  [[nodiscard]] http::UpstreamRequest upstreamRequest(const forwarding::InstanceEntry& to) const;
  void startAttempt(const forwarding::InstanceEntry& to);
  void armHedge();
  void onHead(std::uint64_t attemptId, int status, const http::HeaderList& headers);
  void onData(std::uint64_t attemptId, std::string_view data);
  /// Reserves memory to receive a body of `bytes` bytes completely. Returns false if it must be
  /// passed on instead, because it exceeds kMaxBufferedBytes or there is no memory.
  [[nodiscard]] bool reserveBody(Attempt& attempt, std::size_t bytes) const;
  /// Handles a body that cannot be received completely first.
  void onLongBody(std::uint64_t attemptId, std::string_view data);
  /// Starts to stream the attempt's response to the caller.
  void startRelay(Attempt& attempt);
  /// Cancels all attempts in flight but one, whose response the caller gets.
  void cancelOtherAttempts(std::uint64_t keptAttempt);
  void onEnd(std::uint64_t attemptId, const http::UpstreamResult& end);
  [[nodiscard]] std::pair<AttemptResult, AttemptOutcome> classify(
      const Attempt& attempt, const http::UpstreamResult& end) const;
  [[nodiscard]] const quarantine::RequestFingerprint& fingerprint();
  /// Reports that the connection was lost before the response was complete.
  void onConnectionLost(const Attempt& attempt);
  /// Reports that the response was malformed. The instance has not crashed.
  void onMalformedResponse(const Attempt& attempt, const std::string& error);
  void respondWith(const Attempt& attempt);
  /// Responds with an error status of the gateway itself.
  void respondWithError(int status);
  void recordResponse(int status);
  /// Whether this request, or an earlier submission of the same request, may have run.
  [[nodiscard]] bool mayHaveRun() const;
  /// Responds with the last server error or, if there is none, with an error of the gateway.
  void fail();
  void onDeadline();
  void onClientDisconnected();
  /// Cancels the attempts in flight, recording them with the given outcome, and releases the
  /// exchange.
  void finish(AttemptOutcome inFlightOutcome);

  Node& node_;
  forwarding::InstanceTable& instances_;
  UsageSender& usage_;
  QuarantineClient& m_quarantineClient;
  const std::shared_ptr<const std::string> m_body;
  const http::RawRequest request_;  ///< without its body
  std::shared_ptr<http::Exchange> exchange_;
  const directory::Route route_;
  const std::string host_;
  const std::string tenant_;  ///< empty: no tenant
  base::Timer deadline_timer_;
  base::Timer hedge_timer_;
  forwarding::RetryPolicy policy_;
  forwarding::InstanceRequirements m_requirements;
  std::set<std::string> m_triedInstances;
  std::string m_attemptLog;  ///< instances and outcomes of all attempts, for the log
  std::map<std::uint64_t, Attempt> m_activeAttempts;  ///< attempts in flight, by id
  std::uint64_t m_nextAttemptId = 0;
  std::optional<Attempt> m_serverError;                         ///< last complete 5xx response
  std::optional<quarantine::RequestFingerprint> m_fingerprint;  ///< computed on first use
  bool m_connectionLost = false;  ///< a connection was lost before the response was complete
  bool m_isTrial = false;         ///< trial of a held request, sent to one instance only
  bool m_finished = false;
};

const quarantine::RequestFingerprint& ForwardedRequest::fingerprint() {
  if (!m_fingerprint) {
    m_fingerprint =
        m_quarantineClient.fingerprint({request_.method, host_, request_.target, tenant_, *m_body});
  }
  return *m_fingerprint;
}

void ForwardedRequest::sendIfAdmitted() {
  switch (m_quarantineClient.admit(fingerprint())) {
    case quarantine::Admission::kFree:
      sendOrFail();
      break;
    case quarantine::Admission::kHeld:
      rejectHeld();
      break;
    case quarantine::Admission::kTrialDue:
      m_quarantineClient.requestTrial(fingerprint(), [self = shared_from_this()](bool granted) {
        self->onTrialDecision(granted);
      });
      break;
  }
}

void ForwardedRequest::onTrialDecision(bool granted) {
  if (m_finished) {
    return;
  }
  if (!granted) {
    rejectHeld();
    return;
  }
  m_isTrial = true;
  m_requirements.preferIdle = true;
  sendOrFail();
}

bool ForwardedRequest::mustNotRetry() const {
  return m_connectionLost &&
         (m_isTrial || m_quarantineClient.admit(*m_fingerprint) != quarantine::Admission::kFree);
}

void ForwardedRequest::rejectHeld() {
  // The request ran in earlier attempts, so the status must not imply that it never ran.
  node_.metrics().count(telemetry::CounterId::kRequestsHeld);
  http::HeaderList headers;
  headers.add("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(
                                                m_quarantineClient.untilTrial(fingerprint()))
                                                .count()));
  headers.add("Content-Type", "text/plain");
  recordResponse(kBadGateway);
  exchange_->respond(kBadGateway, headers, "held back: instances ended while they ran it\n");
  finish(AttemptOutcome::kFailed);
}

void ForwardedRequest::sendOrFail() {
  if (policy_.maySend(node_.now()) && !mustNotRetry()) {
    const auto* entry =
        instances_.select(m_requirements, m_triedInstances, node_.random(), node_.now());
    if (entry != nullptr &&
        (!m_triedInstances.contains(entry->record.id) || policy_.inFlight() == 0)) {
      startAttempt(*entry);
      return;
    }
  }
  if (policy_.inFlight() == 0) {
    fail();
  }
}

http::UpstreamRequest ForwardedRequest::upstreamRequest(const forwarding::InstanceEntry& to) const {
  const edge::HeaderNames& names = node_.apiAdapter().headers();
  http::UpstreamRequest upstream;
  upstream.address = {to.record.host, to.record.port};
  upstream.method = request_.method;
  upstream.target = request_.target;
  upstream.headers = request_.headers;
  upstream.headers.removeHopByHopHeaders();
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(policy_.deadline() - node_.now());
  upstream.headers.set(names.deadline, std::to_string(remaining.count()));
  upstream.headers.set(names.expectedInstance, directory::instanceName(to.record.id));
  if (!tenant_.empty()) {
    upstream.headers.set(names.tenant, tenant_);
  }
  upstream.sharedBody = m_body;
  upstream.echoHeader = names.requestId;
  upstream.echoValue = request_.headers.value(names.requestId);
  upstream.newConnection = !policy_.repeatable();
  return upstream;
}

void ForwardedRequest::startAttempt(const forwarding::InstanceEntry& to) {
  const std::uint64_t attemptId = m_nextAttemptId++;
  const std::string id = to.record.id;
  m_triedInstances.insert(id);
  policy_.onAttemptStarted();
  instances_.onSent(id);
  http::UpstreamEvents events;
  events.onHead = [self = shared_from_this(), attemptId](int status,
                                                         const http::HeaderList& headers) {
    self->onHead(attemptId, status, headers);
  };
  events.onData = [self = shared_from_this(), attemptId](std::string_view data) {
    self->onData(attemptId, data);
  };
  events.onEnd = [self = shared_from_this(), attemptId](const http::UpstreamResult& end) {
    self->onEnd(attemptId, end);
  };
  Attempt& attempt = m_activeAttempts[attemptId];
  attempt.instance = id;
  attempt.sentAt = node_.now();
  attempt.exchange = node_.upstream().start(upstreamRequest(to), std::move(events));
  armHedge();
}

void ForwardedRequest::armHedge() {
  const auto at = policy_.hedgeTime(node_.now());
  // A hedged copy of a request that crashes instances could crash two at once.
  if (!at || *at >= policy_.deadline() || m_connectionLost || m_isTrial) {
    return;
  }
  hedge_timer_.expires_after(*at - node_.now());
  hedge_timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error && !self->m_finished && !self->m_connectionLost && self->policy_.inFlight() > 0) {
      self->sendOrFail();
    }
  });
}

void ForwardedRequest::onHead(std::uint64_t attemptId, int status,
                              const http::HeaderList& headers) {
  const auto found = m_activeAttempts.find(attemptId);
  if (m_finished || found == m_activeAttempts.end()) {
    return;
  }
  Attempt& attempt = found->second;
  attempt.status = status;
  attempt.headers = headers;
  attempt.headers.removeHopByHopHeaders();
  m_quarantineClient.onAnswered(attempt.instance, attempt.sentAt);
  if (const auto load = node_.apiAdapter().load(headers.value(node_.apiAdapter().headers().load))) {
    instances_.onLoad(attempt.instance, *load, node_.now());
  }
  const bool rejected =
      status == kMisdirected || headers.has(node_.apiAdapter().headers().notExecuted);
  if (!rejected) {
    // The headers of a streamed response arrive with its first data. Any other response arrives
    // when the request has completed, so the time at which it was sent is used.
    usage_.onRequestStarted(tenant_, route_.streaming ? node_.now() : attempt.sentAt);
  }
  if (route_.streaming && status < kFirstError) {
    startRelay(attempt);
  }
}

void ForwardedRequest::startRelay(Attempt& attempt) {
  attempt.relay =
      std::make_shared<http::StreamRelay>(node_.upstream(), attempt.exchange, exchange_);
  attempt.relay->begin(attempt.status, attempt.headers);
}

void ForwardedRequest::onData(std::uint64_t attemptId, std::string_view data) {
  const auto found = m_activeAttempts.find(attemptId);
  if (m_finished || found == m_activeAttempts.end()) {
    return;
  }
  const auto relay = found->second.relay;
  if (relay) {
    if (relay->forwardData(data)) {
      node_.metrics().count(telemetry::CounterId::kSlowReaders, "held_back");
    }
  } else if (!reserveBody(found->second, found->second.body.size() + data.size())) {
    onLongBody(attemptId, data);
  } else {
    found->second.body.append(data);
  }
}

bool ForwardedRequest::reserveBody(Attempt& attempt, std::size_t bytes) const {
  constexpr std::size_t kStepBytes = 16U << 10U;
  if (bytes > kMaxBufferedBytes) {
    return false;
  }
  while (attempt.reservedBytes < bytes) {
    if (!exchange_->reserveMemory(kStepBytes)) {
      return false;
    }
    attempt.reservedBytes += kStepBytes;
  }
  return true;
}

void ForwardedRequest::onLongBody(std::uint64_t attemptId, std::string_view data) {
  Attempt& attempt = m_activeAttempts.at(attemptId);
  const bool rejected = attempt.status == kMisdirected ||
                        attempt.headers.has(node_.apiAdapter().headers().notExecuted);
  if (attempt.status >= kFirstServerError || rejected) {
    node_.upstream().cancel(attempt.exchange);
    http::UpstreamResult result;
    result.responseStarted = true;
    result.error = "the body of a failure is too long";
    onEnd(attemptId, result);
    return;
  }
  cancelOtherAttempts(attemptId);
  startRelay(attempt);
  const auto relay = attempt.relay;
  (void)relay->forwardData(std::exchange(attempt.body, {}));
  (void)relay->forwardData(data);
}

void ForwardedRequest::cancelOtherAttempts(std::uint64_t keptAttempt) {
  hedge_timer_.cancel();
  std::erase_if(m_activeAttempts, [&](const auto& entry) {
    if (entry.first == keptAttempt) {
      return false;
    }
    node_.upstream().cancel(entry.second.exchange);
    instances_.onEnded(entry.second.instance, AttemptOutcome::kCancelled,
                       node_.now() - entry.second.sentAt, node_.now());
    return true;
  });
}

std::pair<AttemptResult, AttemptOutcome> ForwardedRequest::classify(
    const Attempt& attempt, const http::UpstreamResult& end) const {
  if (!end.complete) {
    return end.verdict == base::Verdict::kNotRun
               ? std::pair(AttemptResult::kNotRun, AttemptOutcome::kConnectFailed)
               : std::pair(AttemptResult::kIncomplete, AttemptOutcome::kFailed);
  }
  if (attempt.status == kMisdirected) {
    return {AttemptResult::kNotRun, AttemptOutcome::kWrongInstance};
  }
  if (attempt.headers.has(node_.apiAdapter().headers().notExecuted)) {
    return {AttemptResult::kNotRun, AttemptOutcome::kRejected};
  }
  if (attempt.status >= kFirstServerError) {
    return {AttemptResult::kServerFailed, AttemptOutcome::kFailed};
  }
  return {AttemptResult::kAnswered, AttemptOutcome::kSucceeded};
}

void ForwardedRequest::onEnd(std::uint64_t attemptId, const http::UpstreamResult& end) {
  const auto found = m_activeAttempts.find(attemptId);
  if (m_finished || found == m_activeAttempts.end()) {
    return;
  }
  Attempt attempt = std::move(found->second);
  m_activeAttempts.erase(found);
  const auto [result, outcome] = classify(attempt, end);
  instances_.onEnded(attempt.instance, outcome, node_.now() - attempt.sentAt, node_.now());
  node_.metrics().count(telemetry::CounterId::kSendsEnded, toString(outcome));
  m_attemptLog +=
      (m_attemptLog.empty() ? "" : ",") + attempt.instance + ":" + std::string(toString(outcome));
  policy_.onResult(result);
  if (end.malformed) {
    onMalformedResponse(attempt, end.error);
  } else if (result == AttemptResult::kIncomplete) {
    onConnectionLost(attempt);
  } else if (m_fingerprint && result != AttemptResult::kNotRun) {
    m_quarantineClient.onCompleted(*m_fingerprint);
  }
  if (attempt.relay) {
    if (end.complete) {
      exchange_->finish();
    } else {
      exchange_->abort();
    }
    finish(AttemptOutcome::kCancelled);
    return;
  }
  if (result == AttemptResult::kAnswered) {
    respondWith(attempt);
    return;
  }
  if (result == AttemptResult::kServerFailed) {
    m_serverError = std::move(attempt);
  }
  sendOrFail();
}

void ForwardedRequest::onConnectionLost(const Attempt& attempt) {
  m_connectionLost = true;
  m_quarantineClient.onConnectionLost(
      {fingerprint(), m_requirements.service, attempt.instance},
      request_.headers.value(node_.apiAdapter().headers().requestId), attempt.sentAt);
}

void ForwardedRequest::onMalformedResponse(const Attempt& attempt, const std::string& error) {
  m_quarantineClient.onAnswered(attempt.instance, attempt.sentAt);
  telemetry::logEvent(
      telemetry::EventId::kResponseMalformed,
      telemetry::EventFields()
          .add("request", request_.headers.value(node_.apiAdapter().headers().requestId))
          .add("service", m_requirements.service)
          .add("instance", attempt.instance)
          .add("status", static_cast<std::uint64_t>(attempt.status))
          .add("after_ms", node_.now() - attempt.sentAt)
          .add("error", error)
          .text());
}

void ForwardedRequest::recordResponse(int status) {
  node_.metrics().count(telemetry::CounterId::kRequestsAnswered, std::to_string(status));
  node_.metrics().observe(telemetry::HistogramId::kRequestTime, node_.now() - request_.receivedAt);
}

void ForwardedRequest::respondWith(const Attempt& attempt) {
  recordResponse(attempt.status);
  exchange_->respond(attempt.status, attempt.headers, attempt.body);
  finish(AttemptOutcome::kCancelled);
}

void ForwardedRequest::fail() {
  if (m_serverError) {
    respondWith(*m_serverError);
  } else if (mayHaveRun()) {
    respondWithError(kBadGateway);
  } else {
    respondWithError(kUnavailable);
  }
}

bool ForwardedRequest::mayHaveRun() const {
  // The caller may have sent the same request before under another id; the response must not claim
  // that it never ran.
  const bool ranEarlier = m_fingerprint && m_quarantineClient.isSuspect(*m_fingerprint);
  return policy_.verdict() != base::Verdict::kNotRun || ranEarlier;
}

void ForwardedRequest::onDeadline() {
  if (m_finished) {
    return;
  }
  if (policy_.inFlight() == 0 && !mayHaveRun()) {
    respondWithError(kUnavailable);
  } else {
    respondWithError(kGatewayTimeout);
  }
}

void ForwardedRequest::respondWithError(int status) {
  http::HeaderList headers;
  if (status == kUnavailable) {
    headers.add("Retry-After", kRetryAfterSeconds);
  }
  node_.metrics().count(telemetry::CounterId::kRequestsGivenUp, base::toString(policy_.verdict()));
  telemetry::logEvent(
      telemetry::EventId::kRequestGivenUp,
      telemetry::EventFields()
          .add("request", request_.headers.value(node_.apiAdapter().headers().requestId))
          .add("route", route_.name)
          .add("status", static_cast<std::uint64_t>(status))
          .add("sends", std::uint64_t{policy_.attempts()})
          .add("running", std::uint64_t{policy_.inFlight()})
          .add("tries", m_attemptLog)
          .add("usable", instances_.count(m_requirements.service))
          .add("verdict", base::toString(policy_.verdict()))
          .add("age_ms", node_.now() - request_.receivedAt)
          .text());
  recordResponse(status);
  exchange_->respond(status, headers, {});
  finish(AttemptOutcome::kFailed);
}

void ForwardedRequest::onClientDisconnected() {
  if (!m_finished) {
    finish(AttemptOutcome::kCancelled);
  }
}

void ForwardedRequest::finish(AttemptOutcome inFlightOutcome) {
  m_finished = true;
  deadline_timer_.cancel();
  hedge_timer_.cancel();
  for (const auto& [attemptId, attempt] : m_activeAttempts) {
    node_.upstream().cancel(attempt.exchange);
    instances_.onEnded(attempt.instance, inFlightOutcome, node_.now() - attempt.sentAt,
                       node_.now());
  }
  m_activeAttempts.clear();
  exchange_.reset();
}

}  // namespace

void Forwarder::forward(http::RawRequest request, const std::shared_ptr<http::Exchange>& exchange,
                        const directory::Route& route, const std::string& tenant) {
  std::make_shared<ForwardedRequest>(node_, instances_, usage_, m_quarantineClient,
                                     std::move(request), exchange, route, tenant)
      ->start();
}

}  // namespace tackpick::node
