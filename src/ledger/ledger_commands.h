/// \file
/// Commands and queries of a ledger group.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/identifiers.h"
#include "base/serialization.h"

namespace tackpick::ledger {

/// Weights version under which the tokens [first, first + count) were generated.
struct VersionSpan {
  base::WeightsVersion version;
  std::uint32_t first = 0;
  std::uint32_t count = 0;

  bool operator==(const VersionSpan&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, first, count);
  }
};

/// Specification of a sample to generate.
struct SampleSpec {
  std::uint32_t index = 0;
  std::string prompt;
  std::uint64_t seed = 0;
  std::uint32_t maximumTokens = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, prompt, seed, maximumTokens);
  }
};

/// Generated sample. The spans cover every token.
struct SampleResult {
  std::uint32_t index = 0;
  std::vector<std::uint32_t> tokens;
  std::vector<VersionSpan> spans;
  std::string finishReason;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(index, tokens, spans, finishReason);
  }
};

/// Returns the oldest version of the spans; invalid if there are no spans.
[[nodiscard]] base::WeightsVersion oldestVersion(const std::vector<VersionSpan>& spans);
/// Whether the spans are contiguous, start at zero and cover exactly `tokenCount` tokens.
[[nodiscard]] bool spansCoverTokens(const std::vector<VersionSpan>& spans, std::size_t tokenCount);

/// Submits a batch. Repeating it with the same samples has no effect; other samples are a conflict.
struct SubmitBatch {
  base::BatchId batch;
  base::WorkloadPath workload;
  std::string model;
  base::WeightsVersion minimumVersion;  ///< derived from the staleness limit at submission
  std::vector<SampleSpec> samples;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(batch, workload, model, minimumVersion, samples);
  }
};

/// Raises the minimum version of an unfinished batch.
struct RaiseMinimumVersion {
  base::BatchId batch;
  base::WeightsVersion minimumVersion;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(batch, minimumVersion);
  }
};

/// Request of a gateway for samples to run; also counts as a heartbeat.
struct LeaseSamples {
  base::NodeId gateway;
  base::Incarnation incarnation;
  std::uint64_t sequence = 0;  ///< ascending; resending the latest returns the same samples
  std::uint32_t maximum = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(gateway, incarnation, sequence, maximum);
  }
};

/// Releases all leases of an unresponsive gateway run. Proposed by the leader of the ledger group.
struct ReleaseLeases {
  base::NodeId gateway;
  base::Incarnation incarnation;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(gateway, incarnation);
  }
};

/// Ends the lease of one sample, for example because the gateway is draining.
struct ReturnSample {
  base::BatchId batch;
  std::uint32_t index = 0;
  std::uint64_t fence = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(batch, index, fence);
  }
};

/// Commits the result of a sample. The first commit wins.
struct CommitSample {
  base::BatchId batch;
  std::uint64_t fence = 0;
  SampleResult result;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(batch, fence, result);
  }
};

/// Confirms that the trainer has received the samples before `cursor`; their results are removed.
struct AcknowledgeSamples {
  base::BatchId batch;
  std::uint32_t cursor = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(batch, cursor);
  }
};

/// Claims the idempotency key of a not-repeatable request before dispatch.
struct ClaimRequest {
  base::TenantName tenant;
  base::IdempotencyKey key;
  std::uint64_t requestHash = 0;
  std::uint64_t claimId =
      0;  ///< unique per request; distinguishes a resent call from a second claim

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, key, requestHash, claimId);
  }
};

/// Outcome of a claimed request.
enum class ClaimOutcome : std::uint8_t {
  kUnknown,    ///< it may have run or may still run
  kNotRun,     ///< it did not run; the key may be claimed again
  kCompleted,  ///< it ran; the answer is recorded
};

/// Records the outcome of a claimed request.
struct RecordOutcome {
  base::TenantName tenant;
  base::IdempotencyKey key;
  std::uint64_t claimId = 0;
  ClaimOutcome outcome = ClaimOutcome::kUnknown;
  base::Bytes answer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, key, claimId, outcome, answer);
  }
};

using LedgerOperation =
    std::variant<SubmitBatch, RaiseMinimumVersion, LeaseSamples, ReleaseLeases, ReturnSample,
                 CommitSample, AcknowledgeSamples, ClaimRequest, RecordOutcome>;

/// Replicated command. `wallClockSeconds` is the wall clock of the leader, used for retention only.
struct LedgerCommand {
  std::uint64_t wallClockSeconds = 0;
  LedgerOperation operation;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(wallClockSeconds, operation);
  }
};

enum class LedgerStatus : std::uint8_t {
  kOk,
  kAlreadyApplied,  ///< the effect was already in place
  kNotFound,
  kConflict,      ///< same batch or key with other content
  kStaleVersion,  ///< a weights version is below the minimum of the batch
  kInvalid,
  kRejected,  ///< the key is claimed (see `outcome`), or the gateway run is outdated
  kExpired,   ///< the batch or the results were removed after acknowledgement
};

/// Sample leased to a gateway.
struct LeasedSample {
  base::BatchId batch;
  base::WorkloadPath workload;
  std::string model;
  base::WeightsVersion minimumVersion;
  std::uint64_t fence = 0;
  std::uint32_t remaining = 0;       ///< uncommitted samples of the batch
  std::uint32_t expectedTokens = 0;  ///< estimated from earlier samples
  SampleSpec sample;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(batch, workload, model, minimumVersion, fence, remaining, expectedTokens, sample);
  }
};

struct LedgerResult {
  LedgerStatus status = LedgerStatus::kInvalid;
  std::string message;
  std::vector<LeasedSample> leased;
  ClaimOutcome outcome = ClaimOutcome::kUnknown;
  base::Bytes answer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(status, message, leased, outcome, answer);
  }
};

/// Reads committed samples in commit order, starting at `cursor`.
struct ReadSamples {
  base::BatchId batch;
  std::uint32_t cursor = 0;
  std::uint32_t maximum = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(batch, cursor, maximum);
  }
};

struct ListBatches {
  template <class Archive>
  void serialize(Archive& /*archive*/) {}
};

/// Heartbeat of a gateway that holds samples.
struct GatewayHeartbeat {
  base::NodeId gateway;
  base::Incarnation incarnation;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(gateway, incarnation);
  }
};

using LedgerQuery = std::variant<ReadSamples, ListBatches, GatewayHeartbeat>;

struct ReadResult {
  LedgerStatus status = LedgerStatus::kNotFound;
  std::vector<SampleResult> samples;
  std::uint32_t cursor = 0;  ///< start of the next read
  std::uint32_t total = 0;
  std::uint32_t committed = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(status, samples, cursor, total, committed);
  }
};

struct BatchSummary {
  base::BatchId batch;
  base::WorkloadPath workload;
  std::uint32_t total = 0;
  std::uint32_t committed = 0;
  std::uint32_t leased = 0;
  std::uint32_t acknowledged = 0;
  base::WeightsVersion minimumVersion;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(batch, workload, total, committed, leased, acknowledged, minimumVersion);
  }
};

struct BatchList {
  std::vector<BatchSummary> batches;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(batches);
  }
};

}  // namespace tackpick::ledger
