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

/// A silent call is broken off after so many times the latency that its route aims at.
constexpr int kPatienceFactor = 4;
constexpr base::Duration kMinPatience = base::milliseconds(200);
/// How often a held call asks whether it may be made again.
constexpr base::Duration kHeldDelay = base::milliseconds(100);

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
  breakOff(found->second, AttemptOutcome::kAbandoned, m_node.now());
  m_calls.erase(found);
}

void ScoringClient::breakOff(Call& call, AttemptOutcome outcome, base::TimePoint now) {
  if (!call.exchange.valid()) {
    return;
  }
  m_node.upstream().cancel(call.exchange);
  call.exchange = {};
  m_instances.onEnded(call.instance, outcome, now - call.sentAt, now);
  m_window.onEnded(outcome == AttemptOutcome::kFailed, now);
}

void ScoringClient::start(base::TimePoint now) {
  for (auto& [key, call] : m_calls) {
    if (call.exchange.valid() && now - call.sentAt > call.patience) {
      breakOff(call, AttemptOutcome::kFailed, now);
    }
    const bool due = !call.exchange.valid() && now >= call.notBefore && now < call.deadline;
    if (due && m_window.hasFreeSlot()) {
      send(key, call, now);
    }
  }
}

const quarantine::RequestFingerprint& ScoringClient::fingerprintOf(Call& call) const {
  if (!call.fingerprint) {
    call.fingerprint = m_guard.fingerprint(
        {"POST", call.request.host, call.request.path, call.tenant, call.request.body});
  }
  return *call.fingerprint;
}

bool ScoringClient::admit(Call& call) {
  call.trial = false;
  if (m_guard.idle()) {
    return true;
  }
  const RequestGuard::RunAdmission admission = m_guard.admitRun(fingerprintOf(call));
  call.trial = admission == RequestGuard::RunAdmission::kTrial;
  return admission != RequestGuard::RunAdmission::kWait;
}

void ScoringClient::send(const jobs::ItemKey& key, Call& call, base::TimePoint now) {
  const directory::Route* route = m_routes.find(call.request.host, call.request.path);
  if (route == nullptr) {
    return;  // it may come back with the next configuration
  }
  if (!admit(call)) {
    call.notBefore = now + kHeldDelay;
    return;
  }
  call.service = directory::pickService(*route, m_node.random());
  const forwarding::InstanceRequirements need{call.service, {}, 0, false, call.trial};
  const auto* entry = m_instances.select(need, call.tried, m_node.random(), now);
  if (entry == nullptr) {
    return;
  }
  if (!call.attempts) {
    call.attempts =
        std::make_unique<jobs::ScoringAttempts>(std::max(route->attempts, call.itemAttempts));
  }
  if (call.tried.contains(entry->record.id)) {
    call.tried.clear();
  }
  call.tried.insert(entry->record.id);
  call.instance = entry->record.id;
  call.sentAt = now;
  call.patience = std::max(kMinPatience, route->targetLatency * kPatienceFactor);
  call.answer = {};
  call.crowded = false;
  const edge::HeaderNames& names = m_node.apiAdapter().headers();
  http::UpstreamRequest request = m_node.apiAdapter().scoringRequest(call.request, call.tenant);
  request.address = {entry->record.host, entry->record.port};
  request.headers.set(names.expectedInstance, directory::instanceName(entry->record.id));
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - now);
  request.headers.set(names.deadline, std::to_string(left.count()));
  request.echoHeader = names.requestId;
  request.echoValue = call.request.id;
  http::UpstreamEvents events;
  events.onHead = [this, key = key](int status, const http::HeaderList& headers) {
    onHead(key, status, headers);
  };
  events.onEnd = [this, key = key](const http::UpstreamResult& end) { onEnd(key, end); };
  m_instances.onSent(call.instance);
  m_window.onSent();
  call.exchange = m_node.upstream().start(std::move(request), std::move(events));
}

void ScoringClient::onHead(const jobs::ItemKey& key, int status, const http::HeaderList& headers) {
  const auto found = m_calls.find(key);
  if (found == m_calls.end()) {
    return;
  }
  Call& call = found->second;
  const edge::HeaderNames& names = m_node.apiAdapter().headers();
  call.answer.status = status;
  call.answer.notExecuted = headers.has(names.notExecuted) || status == http::status::kMisdirected;
  call.answer.signature = headers.value(names.signature);
  m_guard.onAnswered(call.instance, call.sentAt);
  if (const auto load = m_node.apiAdapter().load(headers.value(names.load))) {
    m_instances.onLoad(call.instance, *load, m_node.now());
    call.crowded = load->waiting > 0;
  }
}

AttemptOutcome ScoringClient::outcomeOf(const Call& call) {
  if (!call.answer.complete) {
    return call.answer.notExecuted ? AttemptOutcome::kUnreached : AttemptOutcome::kFailed;
  }
  if (call.answer.status == http::status::kMisdirected) {
    return AttemptOutcome::kGone;
  }
  if (call.answer.notExecuted) {
    return AttemptOutcome::kFull;
  }
  // Some texts are never judged: their failures say nothing of the server.
  return call.answer.status >= http::status::kServerError ? AttemptOutcome::kAbandoned
                                                          : AttemptOutcome::kServed;
}

void ScoringClient::noteFailure(const jobs::ItemKey& key, const Call& call, AttemptOutcome outcome,
                                base::TimePoint now) {
  telemetry::logEvent(telemetry::EventId::kScoringCallFailed,
                      telemetry::EventFields()
                          .add("job", key.job)
                          .add("call", call.request.id)
                          .add("instance", call.instance)
                          .add("outcome", toString(outcome))
                          .add("status", static_cast<std::uint64_t>(call.answer.status))
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
  call.answer.complete = end.complete;
  if (!end.complete) {
    call.answer.notExecuted = end.verdict == base::Verdict::kNotRun;
    if (!call.answer.notExecuted) {
      m_guard.onBroken({fingerprintOf(call), call.service, call.instance}, call.request.id,
                       call.sentAt);
    }
  } else if (call.fingerprint && !call.answer.notExecuted) {
    m_guard.onBorne(*call.fingerprint);
  }
  const AttemptOutcome outcome = outcomeOf(call);
  m_instances.onEnded(call.instance, outcome, now - call.sentAt, now);
  m_window.onEnded(call.crowded || outcome == AttemptOutcome::kFull, now);
  m_node.metrics().count(CounterId::kScoringCallsEnded, toString(outcome));
  const jobs::ScoringAction step = call.attempts->onResponse(call.answer);
  if (step != jobs::ScoringAction::kScored) {
    noteFailure(key, call, outcome, now);
  }
  if (step == jobs::ScoringAction::kRetry) {
    call.notBefore = now + call.attempts->delay();
  } else {
    const std::string score = std::move(call.answer.signature);
    const Callback callback = std::move(call.callback);
    m_calls.erase(found);
    callback(step == jobs::ScoringAction::kScored ? &score : nullptr);
  }
  start(now);
}

}  // namespace tackpick::node
