/// \file
/// Replicated state of one batch: its samples, their leases, and the delivery of results.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "ledger/ledger_commands.h"
#include "ledger/length_estimator.h"

namespace tackpick::ledger {

/// Gateway run that holds sample leases.
struct LeaseHolder {
  base::NodeId gateway;
  base::Incarnation incarnation;

  auto operator<=>(const LeaseHolder&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(gateway, incarnation);
  }
};

/// Samples of a batch. A sample is pending, leased or committed. `m_commitOrder` contains each
/// committed sample once; results before `m_acknowledgedCursor` have been removed. Deterministic.
class Batch {
 public:
  struct Mutants {
    bool acceptSecondCommit = false;  ///< deliver a sample again after a second commit
    bool skipVersionCheck = false;    ///< accept samples below the minimum version
  };

  Batch() = default;
  /// With `lengthEstimator`, samples are leased in descending order of expected length; if it is
  /// null, by index.
  Batch(const SubmitBatch& submission, std::uint64_t contentHash,
        const LengthEstimator* lengthEstimator);

  /// Leases up to `maximum` pending samples to `holder`.
  void lease(const LeaseHolder& holder, std::uint32_t maximum, std::vector<LeasedSample>& leased);
  /// Returns the lease of a sample as sent to its holder.
  [[nodiscard]] LeasedSample leasedSample(std::uint32_t index) const;
  [[nodiscard]] bool isLeasedTo(std::uint32_t index, const LeaseHolder& holder) const;
  /// Ends all leases of a holder; its samples are pending again.
  void releaseLeases(const LeaseHolder& holder);
  /// Ends the lease of one sample if `fence` is current; the sample is pending again.
  LedgerStatus returnLease(std::uint32_t index, std::uint64_t fence);
  /// Stores a result if the sample has none and its weights are recent enough.
  LedgerStatus commit(const CommitSample& commit, const Mutants& mutants);
  /// Removes the results before `cursor`.
  LedgerStatus acknowledge(std::uint32_t cursor);
  /// Raises the minimum version; never lowers it.
  void raiseMinimumVersion(base::WeightsVersion minimumVersion);
  [[nodiscard]] ReadResult read(std::uint32_t cursor, std::uint32_t maximum) const;
  [[nodiscard]] BatchSummary summary() const;

  [[nodiscard]] std::uint64_t contentHash() const { return content_hash_; }
  [[nodiscard]] bool hasPending() const { return !pending_.empty(); }
  [[nodiscard]] bool isFullyAcknowledged() const { return m_acknowledgedCursor == samples_.size(); }
  [[nodiscard]] std::set<LeaseHolder> leaseHolders() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id_, workload_, model_, m_minimumVersion, content_hash_, samples_, pending_, leases_,
            m_commitOrder, m_acknowledgedCursor);
  }

 private:
  /// Pending sample. Sorted by lease order.
  struct PendingSample {
    std::uint32_t expectedTokens = 0;
    std::uint32_t index = 0;

    bool operator<(const PendingSample& other) const {
      return expectedTokens != other.expectedTokens ? expectedTokens > other.expectedTokens
                                                    : index < other.index;
    }

    template <class Archive>
    void serialize(Archive& archive) {
      archive(expectedTokens, index);
    }
  };
  struct Sample {
    SampleSpec spec;
    std::uint32_t expectedTokens = 0;
    std::uint64_t fence = 0;
    bool committed = false;
    SampleResult result;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(spec, expectedTokens, fence, committed, result);
    }
  };

  base::BatchId id_;
  base::WorkloadPath workload_;
  std::string model_;
  base::WeightsVersion m_minimumVersion;
  std::uint64_t content_hash_ = 0;
  std::vector<Sample> samples_;
  [[nodiscard]] PendingSample makePending(std::uint32_t index) const {
    return {samples_[index].expectedTokens, index};
  }

  std::set<PendingSample> pending_;
  std::map<std::uint32_t, LeaseHolder> leases_;
  std::vector<std::uint32_t> m_commitOrder;
  std::uint32_t m_acknowledgedCursor = 0;
};

}  // namespace tackpick::ledger
