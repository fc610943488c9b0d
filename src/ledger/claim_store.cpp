#include "ledger/claim_store.h"

namespace tackpick::ledger {

LedgerResult ClaimStore::claim(const ClaimRequest& request, std::uint64_t wallClockSeconds) {
  LedgerResult result;
  const auto [entry, added] = claims_.try_emplace(Key{request.tenant, request.key});
  Claim& claim = entry->second;
  if (!added && claim.requestHash != request.requestHash) {
    result.status = LedgerStatus::kConflict;
    result.message = "the idempotency key was used for another request";
    return result;
  }
  const bool claimable = added || claim.outcome == ClaimOutcome::kNotRun;
  if (claimable) {
    claim = {request.requestHash, request.claimId, wallClockSeconds, ClaimOutcome::kUnknown, {}};
    result.status = LedgerStatus::kOk;
    return result;
  }
  if (claim.claimId == request.claimId && claim.outcome == ClaimOutcome::kUnknown) {
    result.status = LedgerStatus::kOk;  // the same call, resent after its response was lost
    return result;
  }
  result.status = LedgerStatus::kRejected;
  result.outcome = claim.outcome;
  result.answer = claim.answer;
  return result;
}

LedgerResult ClaimStore::record(const RecordOutcome& outcome, std::uint64_t wallClockSeconds) {
  LedgerResult result;
  const auto found = claims_.find(Key{outcome.tenant, outcome.key});
  if (found == claims_.end() || found->second.claimId != outcome.claimId) {
    result.status = LedgerStatus::kNotFound;
    return result;
  }
  Claim& claim = found->second;
  if (claim.outcome != ClaimOutcome::kUnknown) {
    result.status = LedgerStatus::kAlreadyApplied;
    return result;
  }
  claim.outcome = outcome.outcome;
  claim.answer = outcome.answer;
  claim.updatedAt = wallClockSeconds;
  result.status = LedgerStatus::kOk;
  return result;
}

void ClaimStore::removeOlderThan(std::uint64_t wallClockSeconds) {
  std::erase_if(claims_,
                [&](const auto& entry) { return entry.second.updatedAt < wallClockSeconds; });
}

}  // namespace tackpick::ledger
