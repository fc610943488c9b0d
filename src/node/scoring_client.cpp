#include "node/scoring_client.h"

#include <algorithm>
#include <utility>

#include "directory/incarnation.h"
#include "http/status.h"
#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

using forwarding::AttemptOutcome;
using telemetry::CounterId;

/// Timeout of an attempt as a multiple of its route's target latency.
constexpr int kTimeoutFactor = 4;
constexpr base::Duration kMinTimeout = base::milliseconds(200);

}  // namespace

void ScoringClient::add(const jobs::LeasedItem& leased, base::TimePoint deadline,
                        Callback callback) {
  Call& call = m_calls[leased.key];
  call.request = *leased.item.scoring;
  call.deadline = deadline;
  call.callback = std::move(callback);
  call.itemAttempts = leased.attempts;
  call.tenant = leased.tenant;
}

void ScoringClient::cancel(const jobs::ItemKey& key) {
  const auto found = m_calls.find(key);
  if (found == m_calls.end()) {
    return;
  }
  abortCall(found->second, AttemptOutcome::kCancelled, m_node.now());
  m_calls.erase(found);
}

void ScoringClient::abortCall(Call& call, AttemptOutcome outcome, base::TimePoint now) {
  if (!call.exchange.valid()) {
    return;
  }
  m_node.upstream().cancel(call.exchange);
  call.exchange = {};
  m_instances.onEnded(call.instance, outcome, now - call.sentAt, now);
  m_limiter.onEnded(outcome == AttemptOutcome::kFailed, now);
}

void ScoringClient::sendPending(base::TimePoint now) {
  for (auto& [key, call] : m_calls) {
    if (call.exchange.valid() && now - call.sentAt > call.timeout) {
      abortCall(call, AttemptOutcome::kFailed, now);
    }
    const bool due = !call.exchange.valid() && now >= call.notBefore && now < call.deadline;
    if (due && m_limiter.hasFreeSlot()) {
      send(key, call, now);
    }
  }
}

void ScoringClient::send(const jobs::ItemKey& key, Call& call, base::TimePoint now) {
  const directory::Route* route = m_routes.find(call.request.host, call.request.path);
  if (route == nullptr) {
    return;  // a later configuration may contain the route again
  }
  call.service = directory::pickService(*route, m_node.random());
  const forwarding::InstanceRequirements requirements{
      call.service, {}, 0, false, call.attempts && call.attempts->isSuspect()};
  const auto* entry = m_instances.select(requirements, call.triedInstances, m_node.random(), now);
  if (entry == nullptr) {
    return;
  }
  if (!call.attempts) {
    call.attempts =
        std::make_unique<jobs::ScoringAttempts>(std::max(route->attempts, call.itemAttempts));
  }
  if (call.triedInstances.contains(entry->record.id)) {
    call.triedInstances.clear();
  }
  call.triedInstances.insert(entry->record.id);
  call.instance = entry->record.id;
  call.sentAt = now;
  call.timeout = std::max(kMinTimeout, route->targetLatency * kTimeoutFactor);
  call.response = {};
  call.overloaded = false;
  const edge::HeaderNames& names = m_node.apiAdapter().headers();
  http::UpstreamRequest request = m_node.apiAdapter().scoringRequest(call.request, call.tenant);
  request.address = {entry->record.host, entry->record.port};
  request.headers.set(names.expectedInstance, directory::instanceName(entry->record.id));
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - now);
  request.headers.set(names.deadline, std::to_string(remaining.count()));
  request.echoHeader = names.requestId;
  request.echoValue = call.request.id;
  http::UpstreamEvents events;
  events.onHead = [this, key = key](int status, const http::HeaderList& headers) {
    onHead(key, status, headers);
  };
  events.onEnd = [this, key = key](const http::UpstreamResult& end) { onEnd(key, end); };
  m_instances.onSent(call.instance);
  m_limiter.onSent();
  call.exchange = m_node.upstream().start(std::move(request), std::move(events));
}

void ScoringClient::onHead(const jobs::ItemKey& key, int status, const http::HeaderList& headers) {
  const auto found = m_calls.find(key);
  if (found == m_calls.end()) {
    return;
  }
  Call& call = found->second;
  const edge::HeaderNames& names = m_node.apiAdapter().headers();
  call.response.status = status;
  call.response.notExecuted =
      headers.has(names.notExecuted) || status == http::status::kMisdirected;
  call.response.signature = headers.value(names.signature);
  m_quarantineClient.onAnswered(call.instance, call.sentAt);
  if (const auto load = m_node.apiAdapter().load(headers.value(names.load))) {
    m_instances.onLoad(call.instance, *load, m_node.now());
    call.overloaded = load->waiting > 0;
  }
}

AttemptOutcome ScoringClient::outcomeOf(const Call& call) {
  if (!call.response.complete) {
    return call.response.notExecuted ? AttemptOutcome::kConnectFailed : AttemptOutcome::kFailed;
  }
  if (call.response.status == http::status::kMisdirected) {
    return AttemptOutcome::kWrongInstance;
  }
  if (call.response.notExecuted) {
    return AttemptOutcome::kRejected;
  }
  // Some texts can never be scored, so a server error is not counted against the server.
  return call.response.status >= http::status::kServerError ? AttemptOutcome::kCancelled
                                                            : AttemptOutcome::kSucceeded;
}

void ScoringClient::logFailure(const jobs::ItemKey& key, const Call& call, AttemptOutcome outcome,
                               base::TimePoint now) {
  telemetry::logEvent(telemetry::EventId::kScoringCallFailed,
                      telemetry::EventFields()
                          .add("job", key.job)
                          .add("call", call.request.id)
                          .add("instance", call.instance)
                          .add("outcome", toString(outcome))
                          .add("status", static_cast<std::uint64_t>(call.response.status))
                          .add("after_ms", now - call.sentAt)
                          .text());
}

void ScoringClient::onEnd(const jobs::ItemKey& key, const http::UpstreamResult& end) {
  const auto found = m_calls.find(key);
  if (found == m_calls.end()) {
    return;
  }
  Call& call = found->second;
  const base::TimePoint now = m_node.now();
  call.exchange = {};
  call.response.complete = end.complete;
  if (!end.complete) {
    call.response.notExecuted = end.verdict == base::Verdict::kNotRun;
  }
  const AttemptOutcome outcome = outcomeOf(call);
  m_instances.onEnded(call.instance, outcome, now - call.sentAt, now);
  m_limiter.onEnded(call.overloaded || outcome == AttemptOutcome::kRejected, now);
  m_node.metrics().count(CounterId::kScoringCallsEnded, toString(outcome));
  const jobs::ScoringAction step = call.attempts->onResponse(call.response);
  if (step != jobs::ScoringAction::kScored) {
    logFailure(key, call, outcome, now);
  }
  if (step == jobs::ScoringAction::kRetry) {
    call.notBefore = now + call.attempts->delay();
  } else {
    const std::string score = std::move(call.response.signature);
    const Callback callback = std::move(call.callback);
    m_calls.erase(found);
    callback(step == jobs::ScoringAction::kScored ? &score : nullptr);
  }
  sendPending(now);
}

}  // namespace tackpick::node
