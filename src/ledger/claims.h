/// \file
/// Claims of not-repeatable requests: at most one dispatch per tenant and idempotency key.
#pragma once

#include <map>

#include "ledger/ledger_commands.h"

namespace tackpick::ledger {

/// Deterministic part of the ledger's state.
class Claims {
 public:
  LedgerResult claim(const ClaimRequest& request, std::uint64_t wallSeconds);
  LedgerResult record(const RecordOutcome& outcome, std::uint64_t wallSeconds);
  /// Forgets claims last touched before `wallSeconds`.
  void dropOlderThan(std::uint64_t wallSeconds);
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
    std::uint64_t claimant = 0;
    std::uint64_t touchedAt = 0;  ///< wall clock, seconds
    ClaimOutcome outcome = ClaimOutcome::kUnknown;
    base::Bytes answer;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(requestHash, claimant, touchedAt, outcome, answer);
    }
  };

  std::map<Key, Claim> claims_;
};

}  // namespace tackpick::ledger
