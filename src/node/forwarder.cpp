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
/// What a caller is told to wait when nothing could take its request.
constexpr const char* kRetryAfterSeconds = "0.1";

std::optional<std::int64_t> parseInteger(const std::string& text) {
  std::int64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  return parsed.ec == std::errc() ? std::optional(number) : std::nullopt;
}

/// One caller's request until it is answered. Lives as long as its sends and timers.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
 public:
  ForwardedRequest(Node& node, forwarding::InstanceTable& instances, UsageSender& usage,
                   RequestGuard& guard, http::RawRequest request,
                   std::shared_ptr<http::Exchange> exchange, const directory::Route& route,
                   std::string tenant)
      : node_(node),
        instances_(instances),
        usage_(usage),
        m_guard(guard),
        request_(std::move(request)),
        exchange_(std::move(exchange)),
        route_(route),
        host_(request_.headers.value("Host")),
        tenant_(std::move(tenant)),
        deadline_timer_(node.context()),
        hedge_timer_(node.context()),
        policy_(route, request_.receivedAt, callerDeadline()) {}

  void start() {
    need_.service = directory::pickService(route_, node_.random());
    exchange_->onClosed([self = shared_from_this()] { self->onCallerGone(); });
    deadline_timer_.expires_after(policy_.deadline() - node_.now());
    deadline_timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
      if (!error) {
        self->onDeadline();
      }
    });
    if (m_guard.idle()) {
      sendOrGiveUp();
    } else {
      sendIfAdmitted();
    }
  }

 private:
  /// One send to an instance.
  struct Send {
    std::string instance;
    http::ExchangeId exchange;
    base::TimePoint sentAt{};
    int status = 0;
    http::HeaderList headers;
    std::string body;
    std::shared_ptr<http::StreamRelay> relay;  ///< when pieces go to the caller as they come
  };

  [[nodiscard]] base::TimePoint callerDeadline() const {
    const auto told = parseInteger(request_.headers.value(node_.apiAdapter().headers().deadline));
    return request_.receivedAt + (told ? base::milliseconds(*told) : route_.timeout);
  }

  /// Sends the request unless it is held.
  void sendIfAdmitted();
  void onTrialAnswer(bool granted);
  /// True when it may go to no further instance, since it has ended some.
  [[nodiscard]] bool isStopped() const;
  void answerHeld();
  void sendOrGiveUp();
  [[nodiscard]] http::UpstreamRequest upstreamRequest(const forwarding::InstanceEntry& to) const;
  void send(const forwarding::InstanceEntry& to);
  void armHedge();
  void onHead(std::uint64_t number, int status, const http::HeaderList& headers);
  void onData(std::uint64_t number, std::string_view data);
  void onEnd(std::uint64_t number, const http::UpstreamResult& end);
  [[nodiscard]] std::pair<AttemptResult, AttemptOutcome> classify(
      const Send& send, const http::UpstreamResult& end) const;
  [[nodiscard]] const quarantine::RequestFingerprint& fingerprint();
  /// The instance broke off under the request.
  void onBroken(const Send& send);
  void deliver(const Send& send);
  void answerOwn(int status);
  void countAnswer(int status);
  /// Whether this or an earlier try of the request may have run.
  [[nodiscard]] bool mayHaveRun() const;
  void giveUp();
  void onDeadline();
  void onCallerGone();
  void finish(AttemptOutcome outcomeOfRunning);

  Node& node_;
  forwarding::InstanceTable& instances_;
  UsageSender& usage_;
  RequestGuard& m_guard;
  const http::RawRequest request_;
  std::shared_ptr<http::Exchange> exchange_;
  const directory::Route route_;
  const std::string host_;
  const std::string tenant_;  ///< empty: nobody in particular
  base::Timer deadline_timer_;
  base::Timer hedge_timer_;
  forwarding::RetryPolicy policy_;
  forwarding::InstanceRequirements need_;
  std::set<std::string> tried_;
  std::string tries_;                    ///< instances and how the sends there ended, for the log
  std::map<std::uint64_t, Send> sends_;  ///< running ones
  std::uint64_t next_send_ = 0;
  std::optional<Send> failure_;  ///< a server's whole answer that reports its failure
  std::optional<quarantine::RequestFingerprint> m_fingerprint;  ///< once it is needed
  bool m_broken = false;  ///< an instance has broken off under it
  bool m_trial = false;   ///< it is held, and may be sent to one instance
  bool done_ = false;
};

const quarantine::RequestFingerprint& ForwardedRequest::fingerprint() {
  if (!m_fingerprint) {
    m_fingerprint =
        m_guard.fingerprint({request_.method, host_, request_.target, tenant_, request_.body});
  }
  return *m_fingerprint;
}

void ForwardedRequest::sendIfAdmitted() {
  switch (m_guard.admit(fingerprint())) {
    case quarantine::Admission::kFree:
      sendOrGiveUp();
      break;
    case quarantine::Admission::kHeld:
      answerHeld();
      break;
    case quarantine::Admission::kTrialDue:
      m_guard.askTrial(fingerprint(),
                       [self = shared_from_this()](bool granted) { self->onTrialAnswer(granted); });
      break;
  }
}

void ForwardedRequest::onTrialAnswer(bool granted) {
  if (done_) {
    return;
  }
  if (!granted) {
    answerHeld();
    return;
  }
  m_trial = true;
  need_.alone = true;
  sendOrGiveUp();
}

bool ForwardedRequest::isStopped() const {
  return m_broken && (m_trial || m_guard.admit(*m_fingerprint) != quarantine::Admission::kFree);
}

void ForwardedRequest::answerHeld() {
  // It has run in earlier tries, so no status may be used that says it never did.
  node_.metrics().count(telemetry::CounterId::kRequestsHeld);
  http::HeaderList headers;
  headers.add(
      "Retry-After",
      std::to_string(
          std::chrono::ceil<std::chrono::seconds>(m_guard.untilTrial(fingerprint())).count()));
  headers.add("Content-Type", "text/plain");
  countAnswer(kBadGateway);
  exchange_->respond(kBadGateway, headers, "held back: instances ended while they ran it\n");
  finish(AttemptOutcome::kFailed);
}

void ForwardedRequest::sendOrGiveUp() {
  if (policy_.maySend(node_.now()) && !isStopped()) {
    const auto* entry = instances_.select(need_, tried_, node_.random(), node_.now());
    if (entry != nullptr && (!tried_.contains(entry->record.id) || policy_.running() == 0)) {
      send(*entry);
      return;
    }
  }
  if (policy_.running() == 0) {
    giveUp();
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
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(policy_.deadline() - node_.now());
  upstream.headers.set(names.deadline, std::to_string(left.count()));
  upstream.headers.set(names.expectedInstance, directory::instanceName(to.record.id));
  if (!tenant_.empty()) {
    upstream.headers.set(names.tenant, tenant_);
  }
  upstream.body = request_.body;
  upstream.echoHeader = names.requestId;
  upstream.echoValue = request_.headers.value(names.requestId);
  upstream.newConnection = !policy_.repeatable();
  return upstream;
}

void ForwardedRequest::send(const forwarding::InstanceEntry& to) {
  const std::uint64_t number = next_send_++;
  const std::string id = to.record.id;
  tried_.insert(id);
  policy_.onSend();
  instances_.onSent(id);
  http::UpstreamEvents events;
  events.onHead = [self = shared_from_this(), number](int status, const http::HeaderList& headers) {
    self->onHead(number, status, headers);
  };
  events.onData = [self = shared_from_this(), number](std::string_view data) {
    self->onData(number, data);
  };
  events.onEnd = [self = shared_from_this(), number](const http::UpstreamResult& end) {
    self->onEnd(number, end);
  };
  Send& record = sends_[number];
  record.instance = id;
  record.sentAt = node_.now();
  record.exchange = node_.upstream().start(upstreamRequest(to), std::move(events));
  armHedge();
}

void ForwardedRequest::armHedge() {
  const auto at = policy_.hedgeAt(node_.now());
  // A second copy of a request under which an instance ended could end two at once.
  if (!at || *at >= policy_.deadline() || m_broken || m_trial) {
    return;
  }
  hedge_timer_.expires_after(*at - node_.now());
  hedge_timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error && !self->done_ && !self->m_broken && self->policy_.running() > 0) {
      self->sendOrGiveUp();
    }
  });
}

void ForwardedRequest::onHead(std::uint64_t number, int status, const http::HeaderList& headers) {
  const auto found = sends_.find(number);
  if (done_ || found == sends_.end()) {
    return;
  }
  Send& send = found->second;
  send.status = status;
  send.headers = headers;
  send.headers.removeHopByHopHeaders();
  m_guard.onAnswered(send.instance, send.sentAt);
  if (const auto load = node_.apiAdapter().load(headers.value(node_.apiAdapter().headers().load))) {
    instances_.onLoad(send.instance, *load, node_.now());
  }
  const bool turnedAway =
      status == kMisdirected || headers.has(node_.apiAdapter().headers().notExecuted);
  if (!turnedAway) {
    // The head of a stream comes with its first piece; other answers come when they are done.
    usage_.onRequestStarted(tenant_, route_.streaming ? node_.now() : send.sentAt);
  }
  if (route_.streaming && status < kFirstError) {
    send.relay = std::make_shared<http::StreamRelay>(node_.upstream(), send.exchange, exchange_);
    send.relay->begin(status, send.headers);
  }
}

void ForwardedRequest::onData(std::uint64_t number, std::string_view data) {
  const auto found = sends_.find(number);
  if (done_ || found == sends_.end()) {
    return;
  }
  const auto relay = found->second.relay;
  if (!relay) {
    found->second.body.append(data);
  } else if (relay->forwardData(data)) {
    node_.metrics().count(telemetry::CounterId::kSlowReaders, "held_back");
  }
}

std::pair<AttemptResult, AttemptOutcome> ForwardedRequest::classify(
    const Send& send, const http::UpstreamResult& end) const {
  if (!end.complete) {
    return end.verdict == base::Verdict::kNotRun
               ? std::pair(AttemptResult::kNotRun, AttemptOutcome::kUnreached)
               : std::pair(AttemptResult::kBroken, AttemptOutcome::kFailed);
  }
  if (send.status == kMisdirected) {
    return {AttemptResult::kNotRun, AttemptOutcome::kGone};
  }
  if (send.headers.has(node_.apiAdapter().headers().notExecuted)) {
    return {AttemptResult::kNotRun, AttemptOutcome::kFull};
  }
  if (send.status >= kFirstServerError) {
    return {AttemptResult::kServerFailed, AttemptOutcome::kFailed};
  }
  return {AttemptResult::kAnswered, AttemptOutcome::kServed};
}

void ForwardedRequest::onEnd(std::uint64_t number, const http::UpstreamResult& end) {
  const auto found = sends_.find(number);
  if (done_ || found == sends_.end()) {
    return;
  }
  Send send = std::move(found->second);
  sends_.erase(found);
  const auto [result, outcome] = classify(send, end);
  instances_.onEnded(send.instance, outcome, node_.now() - send.sentAt, node_.now());
  node_.metrics().count(telemetry::CounterId::kSendsEnded, toString(outcome));
  tries_ += (tries_.empty() ? "" : ",") + send.instance + ":" + std::string(toString(outcome));
  policy_.onResult(result);
  if (result == AttemptResult::kBroken) {
    onBroken(send);
  } else if (m_fingerprint && result != AttemptResult::kNotRun) {
    m_guard.onBorne(*m_fingerprint);
  }
  if (send.relay) {
    if (end.complete) {
      exchange_->finish();
    } else {
      exchange_->abort();
    }
    finish(AttemptOutcome::kAbandoned);
    return;
  }
  if (result == AttemptResult::kAnswered) {
    deliver(send);
    return;
  }
  if (result == AttemptResult::kServerFailed) {
    failure_ = std::move(send);
  }
  sendOrGiveUp();
}

void ForwardedRequest::onBroken(const Send& send) {
  m_broken = true;
  m_guard.onBroken({fingerprint(), need_.service, send.instance},
                   request_.headers.value(node_.apiAdapter().headers().requestId), send.sentAt);
}

void ForwardedRequest::countAnswer(int status) {
  node_.metrics().count(telemetry::CounterId::kRequestsAnswered, std::to_string(status));
  node_.metrics().observe(telemetry::HistogramId::kRequestTime, node_.now() - request_.receivedAt);
}

void ForwardedRequest::deliver(const Send& send) {
  countAnswer(send.status);
  exchange_->respond(send.status, send.headers, send.body);
  finish(AttemptOutcome::kAbandoned);
}

void ForwardedRequest::giveUp() {
  if (failure_) {
    deliver(*failure_);
  } else if (mayHaveRun()) {
    answerOwn(kBadGateway);
  } else {
    answerOwn(kUnavailable);
  }
}

bool ForwardedRequest::mayHaveRun() const {
  // Under another id: an answer that says it never ran would be false for the caller's request.
  const bool ranBefore = m_fingerprint && m_guard.isSuspect(*m_fingerprint);
  return policy_.verdict() != base::Verdict::kNotRun || ranBefore;
}

void ForwardedRequest::onDeadline() {
  if (done_) {
    return;
  }
  if (policy_.running() == 0 && !mayHaveRun()) {
    answerOwn(kUnavailable);
  } else {
    answerOwn(kGatewayTimeout);
  }
}

void ForwardedRequest::answerOwn(int status) {
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
          .add("sends", std::uint64_t{policy_.sends()})
          .add("running", std::uint64_t{policy_.running()})
          .add("tries", tries_)
          .add("usable", instances_.count(need_.service))
          .add("verdict", base::toString(policy_.verdict()))
          .add("age_ms", node_.now() - request_.receivedAt)
          .text());
  countAnswer(status);
  exchange_->respond(status, headers, {});
  finish(AttemptOutcome::kFailed);
}

void ForwardedRequest::onCallerGone() {
  if (!done_) {
    finish(AttemptOutcome::kAbandoned);
  }
}

void ForwardedRequest::finish(AttemptOutcome outcomeOfRunning) {
  done_ = true;
  deadline_timer_.cancel();
  hedge_timer_.cancel();
  for (const auto& [number, send] : sends_) {
    node_.upstream().cancel(send.exchange);
    instances_.onEnded(send.instance, outcomeOfRunning, node_.now() - send.sentAt, node_.now());
  }
  sends_.clear();
  exchange_.reset();
}

}  // namespace

void Forwarder::forward(http::RawRequest request, const std::shared_ptr<http::Exchange>& exchange,
                        const directory::Route& route, const std::string& tenant) {
  std::make_shared<ForwardedRequest>(node_, instances_, usage_, m_guard, std::move(request),
                                     exchange, route, tenant)
      ->start();
}

}  // namespace tackpick::node
