/// \file
/// The replicated state of one ledger group.
#pragma once

#include <map>
#include <set>

#include "consensus/state_machine.h"
#include "ledger/batch.h"
#include "ledger/claims.h"

namespace tackpick::ledger {

/// Knobs of LedgerState; part of the replicated behaviour, so the same on every replica.
struct LedgerLimits {
  /// A claim or the name of a delivered batch is remembered this long after its last change.
  std::uint64_t retentionSeconds = 86'400;
  std::uint32_t samplesPerRead = 256;
  /// Lease the samples expected to run longest first; else by index, for comparison.
  bool longestFirst = true;
  Batch::Mutants batchMutants;

  struct Mutants {
    bool grantEveryClaim = false;  ///< a second claim of the same key is granted too
  } mutants;
};

/// Deterministic. Batches live until their trainer has acknowledged every sample; of delivered
/// batches only the name remains, for the retention.
class LedgerState final : public consensus::StateMachine {
 public:
  explicit LedgerState(LedgerLimits limits = {}) : limits_(limits) {}

  base::Bytes apply(consensus::LogIndex index, const base::Bytes& command) override;
  [[nodiscard]] base::Bytes query(const base::Bytes& query) const override;
  [[nodiscard]] base::Bytes takeSnapshot() const override;
  void loadSnapshot(const base::Bytes& snapshot) override;

  /// Every gateway run that holds a sample.
  [[nodiscard]] std::set<SampleHolder> holders() const;
  [[nodiscard]] std::size_t batchCount() const { return content_.batches.size(); }
  [[nodiscard]] std::size_t claimCount() const { return content_.claims.size(); }

 private:
  /// What is kept of a delivered batch.
  struct DeliveredBatch {
    std::uint64_t contentHash = 0;
    std::uint32_t total = 0;
    std::uint64_t deliveredAt = 0;  ///< wall clock, seconds

    template <class Archive>
    void serialize(Archive& archive) {
      archive(contentHash, total, deliveredAt);
    }
  };
  /// Names one sample of one batch.
  struct SampleName {
    base::BatchId batch;
    std::uint32_t index = 0;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(batch, index);
    }
  };
  /// The latest request for samples of a gateway, with its answer for a repeat.
  struct LatestLease {
    base::Incarnation incarnation;
    std::uint64_t request = 0;
    std::vector<SampleName> granted;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(incarnation, request, granted);
    }
  };
  struct Content {
    std::uint64_t wallSeconds = 0;  ///< the highest seen; never goes back
    std::uint64_t prunedAt = 0;
    std::map<base::BatchId, Batch> batches;
    std::vector<base::BatchId> arrival;  ///< batches with pending samples are leased in this order
    std::map<base::BatchId, DeliveredBatch> delivered;
    std::map<base::NodeId, LatestLease> latestLeases;
    Claims claims;
    LengthEstimates lengths;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(wallSeconds, prunedAt, batches, arrival, delivered, latestLeases, claims, lengths);
    }
  };

  LedgerResult applyOperation(const SubmitBatch& command);
  LedgerResult applyOperation(const RaiseMinimumVersion& command);
  LedgerResult applyOperation(const LeaseSamples& command);
  LedgerResult applyOperation(const ReleaseLeases& command);
  LedgerResult applyOperation(const ReturnSample& command);
  LedgerResult applyOperation(const CommitSample& command);
  LedgerResult applyOperation(const AcknowledgeSamples& command);
  LedgerResult applyOperation(const ClaimRequest& command);
  LedgerResult applyOperation(const RecordOutcome& command);
  [[nodiscard]] Batch* find(const base::BatchId& batch);
  [[nodiscard]] LedgerResult missing(const base::BatchId& batch) const;
  [[nodiscard]] LedgerResult repeatLease(const LeaseSamples& command,
                                         const LatestLease& latest) const;
  void releaseHolder(const SampleHolder& holder);
  void forgetOld();

  LedgerLimits limits_;
  Content content_;
};

}  // namespace tackpick::ledger
