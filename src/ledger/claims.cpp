#include "ledger/claims.h"

namespace tackpick::ledger {

LedgerResult Claims::claim(const ClaimRequest& request, std::uint64_t wallSeconds) {
  LedgerResult result;
  const auto [entry, added] = claims_.try_emplace(Key{request.tenant, request.key});
  Claim& claim = entry->second;
  if (!added && claim.requestHash != request.requestHash) {
    result.status = LedgerStatus::kConflict;
    result.message = "the idempotency key was used for another request";
    return result;
  }
  const bool free = added || claim.outcome == ClaimOutcome::kNotRun;
  if (free) {
    claim = {request.requestHash, request.claimant, wallSeconds, ClaimOutcome::kUnknown, {}};
    result.status = LedgerStatus::kOk;
    return result;
  }
  if (claim.claimant == request.claimant && claim.outcome == ClaimOutcome::kUnknown) {
    result.status = LedgerStatus::kOk;  // the same call, resent after its answer was lost
    return result;
  }
  result.status = LedgerStatus::kRefused;
  result.outcome = claim.outcome;
  result.answer = claim.answer;
  return result;
}

LedgerResult Claims::record(const RecordOutcome& outcome, std::uint64_t wallSeconds) {
  LedgerResult result;
  const auto found = claims_.find(Key{outcome.tenant, outcome.key});
  if (found == claims_.end() || found->second.claimant != outcome.claimant) {
    result.status = LedgerStatus::kNotFound;
    return result;
  }
  Claim& claim = found->second;
  if (claim.outcome != ClaimOutcome::kUnknown) {
    result.status = LedgerStatus::kAlreadyDone;
    return result;
  }
  claim.outcome = outcome.outcome;
  claim.answer = outcome.answer;
  claim.touchedAt = wallSeconds;
  result.status = LedgerStatus::kOk;
  return result;
}

void Claims::dropOlderThan(std::uint64_t wallSeconds) {
  std::erase_if(claims_, [&](const auto& entry) { return entry.second.touchedAt < wallSeconds; });
}

}  // namespace tackpick::ledger
