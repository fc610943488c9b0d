/// \file
/// Gateway: admission of callers' requests, and claims of not-repeatable requests.
#include <algorithm>

#include "gateway/gateway.h"

namespace tackpick::gateway {

using control::SettingKey;

void Gateway::onCallerRequest(const CallerRequest& request, base::TimePoint now) {
  ++counters_.requestsReceived;
  if (const auto rejection = checkAdmission(request, now)) {
    reject(*rejection);
    return;
  }
  Task& task = createCallerTask(request, now);
  if (request.notRepeatable && !settings_.mutants.skipClaim) {
    requestClaim(task, now);
    return;
  }
  enqueue(task, now);
  dispatch(now);
}

std::optional<RejectRequest> Gateway::checkAdmission(const CallerRequest& request,
                                                     base::TimePoint now) {
  const auto makeRejection = [&](RejectionReason reason, std::string message,
                                 base::Duration retryAfter) {
    return RejectRequest{request.id, reason, base::Verdict::kNotRun, std::move(message),
                         retryAfter};
  };
  if (draining_) {
    return makeRejection(RejectionReason::kStopping, "this gateway is stopping", base::seconds(1));
  }
  if (!m_controlView.canServe(now)) {
    return makeRejection(RejectionReason::kNoLease, "this gateway has no serving lease",
                         base::seconds(2));
  }
  const std::string& path = request.workload.value;
  const control::SettingsTree& tree = m_controlView.settings();
  if (tree.find(path) == nullptr || control::parentPath(path) != request.tenant.value) {
    return makeRejection(RejectionReason::kUnknownWorkload, "no workload " + path,
                         base::Duration{0});
  }
  const std::int64_t tokenLimit = tree.integer(path, SettingKey::kTokenLimit);
  if (request.maximumTokens == 0 || request.maximumTokens > tokenLimit) {
    return makeRejection(RejectionReason::kInvalid,
                         "max_tokens must be 1 to " + std::to_string(tokenLimit),
                         base::Duration{0});
  }
  if (request.notRepeatable && !request.key.valid()) {
    return makeRejection(RejectionReason::kInvalid,
                         "a not-repeatable request needs an Idempotency-Key", base::Duration{0});
  }
  WorkloadState& state = workloadState(request.workload, now);
  if (state.inFlight >= tree.integer(path, SettingKey::kInFlightLimit)) {
    return makeRejection(RejectionReason::kInFlightLimited, "too many requests in flight",
                         base::seconds(1));
  }
  const auto priority = static_cast<std::uint32_t>(tree.integer(path, SettingKey::kPriority));
  const std::string model = tree.text(path, SettingKey::kModel);
  const base::Duration wait = expectedWait(priority, model, now);
  const auto maxQueueWait = base::milliseconds(tree.integer(path, SettingKey::kQueueWaitMillis));
  const base::Duration maxWait = request.deadline.count() > 0
                                     ? std::min<base::Duration>(maxQueueWait, request.deadline)
                                     : maxQueueWait;
  if (wait > maxWait) {
    return makeRejection(RejectionReason::kOverloaded, "the expected wait is too long",
                         retryAfter(priority, model, now));
  }
  if (!state.bucket.tryAcquire(now)) {
    return makeRejection(RejectionReason::kRateLimited, "the workload's rate limit is reached",
                         state.bucket.timeUntilAvailable(now));
  }
  return std::nullopt;
}

Gateway::WorkloadState& Gateway::workloadState(const base::WorkloadPath& workload,
                                               base::TimePoint now) {
  const control::SettingsTree& tree = m_controlView.settings();
  const auto rate =
      static_cast<double>(tree.integer(workload.value, SettingKey::kRequestsPerSecond));
  const auto burst = static_cast<double>(tree.integer(workload.value, SettingKey::kRequestBurst));
  const auto found = workloads_.find(workload);
  if (found != workloads_.end()) {
    found->second.bucket.configure(rate, burst);
    return found->second;
  }
  return workloads_.emplace(workload, WorkloadState{routing::TokenBucket(rate, burst, now), 0})
      .first->second;
}

base::Duration Gateway::expectedWait(std::uint32_t priority, const std::string& model,
                                     base::TimePoint now) const {
  const routing::EngineTable::Capacity capacity = engines_.capacity(model, now);
  const std::uint64_t queuedTokens = queue_.queuedTokensAhead(priority);
  if (queuedTokens == 0 || capacity.load < capacity.slots) {
    return base::Duration{0};
  }
  // Until a rate has been measured, assume a default rate per slot.
  constexpr double kDefaultTokensPerSlotSecond = 100.0;
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double assumed = static_cast<double>(capacity.slots) * kDefaultTokensPerSlotSecond;
  const double rate = std::max(tokens_per_second_ > 1.0 ? tokens_per_second_ : assumed, 1.0);
  return base::Duration(static_cast<base::Duration::rep>(static_cast<double>(queuedTokens) / rate *
                                                         kMicrosecondsPerSecond));
}

base::Duration Gateway::retryAfter(std::uint32_t priority, const std::string& model,
                                   base::TimePoint now) const {
  constexpr base::Duration kMinRetryAfter = base::seconds(1);
  constexpr base::Duration kMaxRetryAfter = base::seconds(60);
  return std::clamp<base::Duration>(expectedWait(priority, model, now) / 2, kMinRetryAfter,
                                    kMaxRetryAfter);
}

Task& Gateway::createCallerTask(const CallerRequest& request, base::TimePoint now) {
  const control::SettingsTree& tree = m_controlView.settings();
  const std::string& path = request.workload.value;
  Task task;
  task.id = {++m_lastId};
  task.caller = request;
  task.workload = request.workload;
  task.model = tree.text(path, SettingKey::kModel);
  task.prompt = request.prompt;
  task.seed = request.seed;
  task.maximumTokens = request.maximumTokens;
  task.priority = static_cast<std::uint32_t>(tree.integer(path, SettingKey::kPriority));
  task.arrivedAt = now;
  const auto defaultDeadline = base::milliseconds(tree.integer(path, SettingKey::kDeadlineMillis));
  task.deadline = now + (request.deadline.count() > 0 ? request.deadline : defaultDeadline);
  task.queueDeadline = std::min(
      task.deadline,
      now + base::Duration(base::milliseconds(tree.integer(path, SettingKey::kQueueWaitMillis))));
  ++workloadState(request.workload, now).inFlight;
  m_taskByCaller[request.id] = task.id;
  return m_tasks.emplace(task.id, std::move(task)).first->second;
}

void Gateway::requestClaim(Task& task, base::TimePoint now) {
  const CallerRequest& request = *task.caller;
  ledger::ClaimRequest claim;
  claim.tenant = request.tenant;
  claim.key = request.key;
  claim.requestHash = base::mix(base::hashBytes(request.prompt, request.maximumTokens),
                                base::hashBytes(request.workload.value));
  claim.claimId = nextUniqueId();
  task.claim = ClaimState::kRequested;
  task.claimId = claim.claimId;
  LedgerGroupState& groupState =
      ledgerByHash(base::hashBytes(request.key.value, base::hashBytes(request.tenant.value)));
  task.ledgerGroup = groupState.client->group();
  callGroup(*groupState.client, transport::CommandKind::kCommand,
            base::encode(ledger::LedgerOperation{claim}), now,
            [this, id = task.id, claim](const base::Bytes* result, base::TimePoint at) {
              if (m_tasks.contains(id)) {
                onClaimResult(id, result, at);
              } else {
                releaseClaim(claim, at);
              }
            });
}

void Gateway::releaseClaim(const ledger::ClaimRequest& claim, base::TimePoint now) {
  ledger::RecordOutcome record;
  record.tenant = claim.tenant;
  record.key = claim.key;
  record.claimId = claim.claimId;
  record.outcome = ledger::ClaimOutcome::kNotRun;
  LedgerGroupState& groupState =
      ledgerByHash(base::hashBytes(claim.key.value, base::hashBytes(claim.tenant.value)));
  callGroup(*groupState.client, transport::CommandKind::kCommand,
            base::encode(ledger::LedgerOperation{std::move(record)}), now,
            [](const base::Bytes*, base::TimePoint) {});
}

void Gateway::onClaimResult(TaskId id, const base::Bytes* result, base::TimePoint now) {
  Task& task = m_tasks.at(id);
  const auto decoded =
      result == nullptr ? std::nullopt : base::decode<ledger::LedgerResult>(*result);
  const base::CallerId caller = task.caller->id;
  if (!decoded) {
    // The request was not dispatched, and no other request has this claim id.
    reject({caller, RejectionReason::kLedgerUnavailable, base::Verdict::kNotRun,
            "the claim could not be registered", base::seconds(2)});
    removeTask(id);
    return;
  }
  if (decoded->status == ledger::LedgerStatus::kOk) {
    task.claim = ClaimState::kHeld;
    enqueue(task, now);
    dispatch(now);
    return;
  }
  if (decoded->status == ledger::LedgerStatus::kRejected &&
      decoded->outcome == ledger::ClaimOutcome::kCompleted) {
    ++counters_.requestsCompleted;
    actions_.actions.emplace_back(ReplayResponse{caller, decoded->answer});
  } else if (decoded->status == ledger::LedgerStatus::kRejected) {
    reject({caller, RejectionReason::kAlreadyClaimed, base::Verdict::kMayHaveRun,
            "a request with this idempotency key may have run", base::Duration{0}});
  } else {
    reject({caller, RejectionReason::kKeyReused, base::Verdict::kNotRun, decoded->message,
            base::Duration{0}});
  }
  removeTask(id);
}

void Gateway::onCallerDisconnected(base::CallerId caller, base::TimePoint now) {
  const auto found = m_taskByCaller.find(caller);
  if (found == m_taskByCaller.end()) {
    return;
  }
  Task& task = m_tasks.at(found->second);
  // A not-repeatable request continues, so that its recorded outcome can answer a resent request.
  if (task.claim == ClaimState::kNone && !task.outcomeDecided) {
    failTask(task, RejectionReason::kDeadline, "the caller disconnected", now);
  }
}

}  // namespace tackpick::gateway
