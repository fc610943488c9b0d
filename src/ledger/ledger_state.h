/// \file
/// Replicated state of one ledger group.
#pragma once

#include <map>
#include <set>

#include "consensus/state_machine.h"
#include "ledger/batch.h"
#include "ledger/claim_store.h"

namespace tackpick::ledger {

/// Settings of LedgerState; must be equal on all replicas of a group.
struct LedgerStateSettings {
  /// Time after the last change for which claims and the ids of delivered batches are kept.
  std::uint64_t retentionSeconds = 86'400;
  std::uint32_t samplesPerRead = 256;
  /// Whether samples are leased in descending order of expected length; otherwise by index.
  bool longestFirst = true;
  Batch::Mutants batchMutants;

  struct Mutants {
    bool grantDuplicateClaims = false;  ///< grant a second claim of the same key
  } mutants;
};

/// Batches, claims and length estimates of a ledger group. A batch is kept until its trainer has
/// acknowledged every sample; its id is kept for the retention time. Deterministic.
class LedgerState final : public consensus::StateMachine {
 public:
  explicit LedgerState(LedgerStateSettings settings = {}) : m_settings(settings) {}

  base::Bytes apply(consensus::LogIndex index, const base::Bytes& command) override;
  [[nodiscard]] base::Bytes query(const base::Bytes& query) const override;
  [[nodiscard]] base::Bytes takeSnapshot() const override;
  void loadSnapshot(const base::Bytes& snapshot) override;

  /// Returns the gateway runs that hold leases.
  [[nodiscard]] std::set<LeaseHolder> leaseHolders() const;
  [[nodiscard]] std::size_t batchCount() const { return m_data.batches.size(); }
  [[nodiscard]] std::size_t claimCount() const { return m_data.claims.size(); }

 private:
  /// Record of a batch that was completely acknowledged.
  struct DeliveredBatch {
    std::uint64_t contentHash = 0;
    std::uint32_t total = 0;
    std::uint64_t deliveredAt = 0;  ///< wall clock, seconds

    template <class Archive>
    void serialize(Archive& archive) {
      archive(contentHash, total, deliveredAt);
    }
  };
  /// Identifies a sample.
  struct SampleKey {
    base::BatchId batch;
    std::uint32_t index = 0;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(batch, index);
    }
  };
  /// Latest lease request of a gateway and the samples leased for it, kept to answer a resent
  /// request.
  struct LastLeaseResponse {
    base::Incarnation incarnation;
    std::uint64_t sequence = 0;
    std::vector<SampleKey> leasedSamples;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(incarnation, sequence, leasedSamples);
    }
  };
  /// Data that replicas share; the content of a snapshot.
  struct ReplicatedData {
    std::uint64_t wallClockSeconds = 0;  ///< maximum of all commands; never decreases
    std::uint64_t lastPrunedAt = 0;      ///< wall clock, seconds
    std::map<base::BatchId, Batch> batches;
    std::vector<base::BatchId> submissionOrder;  ///< order in which batches are leased
    std::map<base::BatchId, DeliveredBatch> delivered;
    std::map<base::NodeId, LastLeaseResponse> lastLeaseResponses;
    ClaimStore claims;
    LengthEstimator lengthEstimator;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(wallClockSeconds, lastPrunedAt, batches, submissionOrder, delivered,
              lastLeaseResponses, claims, lengthEstimator);
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
  /// Returns kExpired for a delivered batch and kNotFound for an unknown one.
  [[nodiscard]] LedgerResult notFoundResult(const base::BatchId& batch) const;
  /// Returns the samples of the latest lease request that its holder still holds.
  [[nodiscard]] LedgerResult resendLease(const LeaseSamples& command,
                                         const LastLeaseResponse& lastResponse) const;
  void releaseLeasesOf(const LeaseHolder& holder);
  /// Removes claims and ids of delivered batches whose retention time has passed.
  void pruneExpired();

  LedgerStateSettings m_settings;
  ReplicatedData m_data;
};

}  // namespace tackpick::ledger
