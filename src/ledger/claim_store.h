/// \file
/// Claims of not-repeatable requests.
#pragma once

#include <map>

#include "ledger/ledger_commands.h"

namespace tackpick::ledger {

/// Claims by tenant and idempotency key, with recorded outcomes; ensures that a not-repeatable
/// request is dispatched at most once. Part of the replicated state. Deterministic.
class ClaimStore {
 public:
  /// Grants the claim if the key is new or its request did not run. Otherwise returns the recorded
  /// outcome.
  LedgerResult claim(const ClaimRequest& request, std::uint64_t wallClockSeconds);
  /// Records the outcome of a granted claim; the first outcome is final.
  LedgerResult record(const RecordOutcome& outcome, std::uint64_t wallClockSeconds);
  /// Removes claims last updated before `wallClockSeconds`.
  void removeOlderThan(std::uint64_t wallClockSeconds);
  [[nodiscard]] std::size_t size() const { return claims_.size(); }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(claims_);
  }

 private:
  struct Key {
    base::TenantName tenant;
    base::IdempotencyKey key;
    auto operator<=>(const Key&) const = default;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(tenant, key);
    }
  };
  struct Claim {
    std::uint64_t requestHash = 0;
    std::uint64_t claimId = 0;
    std::uint64_t updatedAt = 0;  ///< wall clock, seconds
    ClaimOutcome outcome = ClaimOutcome::kUnknown;
    base::Bytes answer;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(requestHash, claimId, updatedAt, outcome, answer);
    }
  };

  std::map<Key, Claim> claims_;
};

}  // namespace tackpick::ledger
