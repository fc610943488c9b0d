/// \file
/// Gateway: which callers' requests are taken, and claims of not-repeatable ones.
#include <algorithm>

#include "gateway/gateway.h"

namespace tackpick::gateway {

using control::SettingKey;

void Gateway::onCallerRequest(const CallerRequest& request, base::TimePoint now) {
  ++counters_.requestsReceived;
  if (const auto problem = admissionProblem(request, now)) {
    refuse(*problem);
    return;
  }
  Job& job = createCallerJob(request, now);
  if (request.notRepeatable && !settings_.mutants.skipClaim) {
    requestClaim(job, now);
    return;
  }
  enqueue(job, now);
  dispatch(now);
}

std::optional<RejectRequest> Gateway::admissionProblem(const CallerRequest& request,
                                                       base::TimePoint now) {
  const auto problem = [&](RejectionReason reason, std::string message, base::Duration retryAfter) {
    return RejectRequest{request.id, reason, base::Verdict::kNotRun, std::move(message),
                         retryAfter};
  };
  if (draining_) {
    return problem(RejectionReason::kStopping, "this gateway is stopping", base::seconds(1));
  }
  if (!view_.canServe(now)) {
    return problem(RejectionReason::kNoLease, "this gateway has no serving lease",
                   base::seconds(2));
  }
  const std::string& path = request.workload.value;
  const control::SettingsTree& tree = view_.settings();
  if (tree.find(path) == nullptr || control::parentPath(path) != request.tenant.value) {
    return problem(RejectionReason::kUnknownWorkload, "no workload " + path, base::Duration{0});
  }
  const std::int64_t tokenLimit = tree.integer(path, SettingKey::kTokenLimit);
  if (request.maximumTokens == 0 || request.maximumTokens > tokenLimit) {
    return problem(RejectionReason::kInvalid,
                   "max_tokens must be 1 to " + std::to_string(tokenLimit), base::Duration{0});
  }
  if (request.notRepeatable && !request.key.valid()) {
    return problem(RejectionReason::kInvalid, "a not-repeatable request needs an Idempotency-Key",
                   base::Duration{0});
  }
  WorkloadState& state = workloadState(request.workload, now);
  if (state.inFlight >= tree.integer(path, SettingKey::kInFlightLimit)) {
    return problem(RejectionReason::kInFlightLimited, "too many requests in flight",
                   base::seconds(1));
  }
  const auto priority = static_cast<std::uint32_t>(tree.integer(path, SettingKey::kPriority));
  const std::string model = tree.text(path, SettingKey::kModel);
  const base::Duration wait = expectedWait(priority, model, now);
  const auto longest = base::milliseconds(tree.integer(path, SettingKey::kQueueWaitMillis));
  const base::Duration allowed =
      request.deadline.count() > 0 ? std::min<base::Duration>(longest, request.deadline) : longest;
  if (wait > allowed) {
    return problem(RejectionReason::kOverloaded, "the expected wait is too long",
                   retryAfter(priority, model, now));
  }
  if (!state.bucket.take(now)) {
    return problem(RejectionReason::kRateLimited, "the workload's rate limit is reached",
                   state.bucket.untilNext(now));
  }
  return std::nullopt;
}

Gateway::WorkloadState& Gateway::workloadState(const base::WorkloadPath& workload,
                                               base::TimePoint now) {
  const control::SettingsTree& tree = view_.settings();
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
  const std::uint64_t ahead = queue_.tokensAhead(priority);
  if (ahead == 0 || capacity.load < capacity.slots) {
    return base::Duration{0};
  }
  // Without a measured rate yet, assume that the queue moves at one token a slot each 10 ms.
  constexpr double kAssumedTokensPerSlotSecond = 100.0;
  constexpr double kMicrosecondsPerSecond = 1e6;
  const double assumed = static_cast<double>(capacity.slots) * kAssumedTokensPerSlotSecond;
  const double rate = std::max(tokens_per_second_ > 1.0 ? tokens_per_second_ : assumed, 1.0);
  return base::Duration(
      static_cast<base::Duration::rep>(static_cast<double>(ahead) / rate * kMicrosecondsPerSecond));
}

base::Duration Gateway::retryAfter(std::uint32_t priority, const std::string& model,
                                   base::TimePoint now) const {
  constexpr base::Duration kShortest = base::seconds(1);
  constexpr base::Duration kLongest = base::seconds(60);
  return std::clamp<base::Duration>(expectedWait(priority, model, now) / 2, kShortest, kLongest);
}

Job& Gateway::createCallerJob(const CallerRequest& request, base::TimePoint now) {
  const control::SettingsTree& tree = view_.settings();
  const std::string& path = request.workload.value;
  Job job;
  job.id = {++counter_};
  job.caller = request;
  job.workload = request.workload;
  job.model = tree.text(path, SettingKey::kModel);
  job.prompt = request.prompt;
  job.seed = request.seed;
  job.maximumTokens = request.maximumTokens;
  job.priority = static_cast<std::uint32_t>(tree.integer(path, SettingKey::kPriority));
  job.arrivedAt = now;
  const auto usual = base::milliseconds(tree.integer(path, SettingKey::kDeadlineMillis));
  job.deadline = now + (request.deadline.count() > 0 ? request.deadline : usual);
  job.queueDeadline = std::min(
      job.deadline,
      now + base::Duration(base::milliseconds(tree.integer(path, SettingKey::kQueueWaitMillis))));
  ++workloadState(request.workload, now).inFlight;
  job_by_caller_[request.id] = job.id;
  return jobs_.emplace(job.id, std::move(job)).first->second;
}

void Gateway::requestClaim(Job& job, base::TimePoint now) {
  const CallerRequest& request = *job.caller;
  ledger::ClaimRequest claim;
  claim.tenant = request.tenant;
  claim.key = request.key;
  claim.requestHash = base::mix(base::hashBytes(request.prompt, request.maximumTokens),
                                base::hashBytes(request.workload.value));
  claim.claimant = uniqueNumber();
  job.claim = ClaimState::kRequested;
  job.claimant = claim.claimant;
  LedgerLink& link =
      ledgerFor(base::hashBytes(request.key.value, base::hashBytes(request.tenant.value)));
  job.ledgerGroup = link.client->group();
  callGroup(*link.client, transport::CommandKind::kCommand,
            base::encode(ledger::LedgerOperation{claim}), now,
            [this, id = job.id, claim](const base::Bytes* result, base::TimePoint at) {
              if (jobs_.contains(id)) {
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
  record.claimant = claim.claimant;
  record.outcome = ledger::ClaimOutcome::kNotRun;
  LedgerLink& link =
      ledgerFor(base::hashBytes(claim.key.value, base::hashBytes(claim.tenant.value)));
  callGroup(*link.client, transport::CommandKind::kCommand,
            base::encode(ledger::LedgerOperation{std::move(record)}), now,
            [](const base::Bytes*, base::TimePoint) {});
}

void Gateway::onClaimResult(JobId id, const base::Bytes* result, base::TimePoint now) {
  Job& job = jobs_.at(id);
  const auto decoded =
      result == nullptr ? std::nullopt : base::decode<ledger::LedgerResult>(*result);
  const base::CallerId caller = job.caller->id;
  if (!decoded) {
    // Nothing was dispatched, and the claimant number keeps anybody else's dispatch apart.
    refuse({caller, RejectionReason::kLedgerUnavailable, base::Verdict::kNotRun,
            "the claim could not be registered", base::seconds(2)});
    removeJob(id);
    return;
  }
  if (decoded->status == ledger::LedgerStatus::kOk) {
    job.claim = ClaimState::kHeld;
    enqueue(job, now);
    dispatch(now);
    return;
  }
  if (decoded->status == ledger::LedgerStatus::kRefused &&
      decoded->outcome == ledger::ClaimOutcome::kCompleted) {
    ++counters_.requestsCompleted;
    actions_.actions.emplace_back(ReplayResponse{caller, decoded->answer});
  } else if (decoded->status == ledger::LedgerStatus::kRefused) {
    refuse({caller, RejectionReason::kAlreadyClaimed, base::Verdict::kMayHaveRun,
            "a request with this idempotency key may have run", base::Duration{0}});
  } else {
    refuse({caller, RejectionReason::kKeyReused, base::Verdict::kNotRun, decoded->message,
            base::Duration{0}});
  }
  removeJob(id);
}

void Gateway::onCallerGone(base::CallerId caller, base::TimePoint now) {
  const auto found = job_by_caller_.find(caller);
  if (found == job_by_caller_.end()) {
    return;
  }
  Job& job = jobs_.at(found->second);
  // A not-repeatable request goes on: its recorded outcome answers a resend.
  if (job.claim == ClaimState::kNone && !job.finishing) {
    giveUp(job, RejectionReason::kDeadline, "the caller hung up", now);
  }
}

}  // namespace tackpick::gateway
