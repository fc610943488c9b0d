/// \file
/// One batch: its samples, who runs them, and their delivery.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "ledger/ledger_commands.h"
#include "ledger/length_estimates.h"

namespace tackpick::ledger {

/// Who holds a sample.
struct SampleHolder {
  base::NodeId gateway;
  base::Incarnation incarnation;

  auto operator<=>(const SampleHolder&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(gateway, incarnation);
  }
};

/// Deterministic. Invariants: a sample is pending, leased or committed; committed samples stand in
/// `order_` exactly once, in commit order; results before `acknowledged_` are dropped.
class Batch {
 public:
  struct Mutants {
    bool commitTwice = false;       ///< a second commit is delivered again
    bool skipVersionCheck = false;  ///< samples under the minimum version are taken
  };

  Batch() = default;
  /// Pending samples are leased longest expected first; without estimates by index.
  Batch(const SubmitBatch& submission, std::uint64_t contentHash, const LengthEstimates* estimates);

  /// Leases up to `maximum` pending samples to `holder`.
  void lease(const SampleHolder& holder, std::uint32_t maximum, std::vector<LeasedSample>& leased);
  /// The lease of a sample as its holder was told it.
  [[nodiscard]] LeasedSample describe(std::uint32_t index) const;
  [[nodiscard]] bool isHeldBy(std::uint32_t index, const SampleHolder& holder) const;
  void release(const SampleHolder& holder);
  LedgerStatus giveBack(std::uint32_t index, std::uint64_t fence);
  LedgerStatus commit(const CommitSample& commit, const Mutants& mutants);
  LedgerStatus acknowledge(std::uint32_t cursor);
  void tighten(base::WeightsVersion minimumVersion);
  [[nodiscard]] ReadResult read(std::uint32_t cursor, std::uint32_t maximum) const;
  [[nodiscard]] BatchSummary summary() const;

  [[nodiscard]] std::uint64_t contentHash() const { return content_hash_; }
  [[nodiscard]] bool hasPending() const { return !pending_.empty(); }
  [[nodiscard]] bool isDelivered() const { return acknowledged_ == samples_.size(); }
  [[nodiscard]] std::set<SampleHolder> holders() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id_, workload_, model_, minimum_version_, content_hash_, samples_, pending_, leases_,
            order_, acknowledged_);
  }

 private:
  /// A sample waiting to be leased, in the order of leasing.
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
    SampleSpec specification;
    std::uint32_t expectedTokens = 0;
    std::uint64_t fence = 0;
    bool committed = false;
    SampleResult result;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(specification, expectedTokens, fence, committed, result);
    }
  };

  base::BatchId id_;
  base::WorkloadPath workload_;
  std::string model_;
  base::WeightsVersion minimum_version_;
  std::uint64_t content_hash_ = 0;
  std::vector<Sample> samples_;
  [[nodiscard]] PendingSample pendingAt(std::uint32_t index) const {
    return {samples_[index].expectedTokens, index};
  }

  std::set<PendingSample> pending_;
  std::map<std::uint32_t, SampleHolder> leases_;
  std::vector<std::uint32_t> order_;
  std::uint32_t acknowledged_ = 0;
};

}  // namespace tackpick::ledger
