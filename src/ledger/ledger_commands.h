/// \file
/// Commands and queries of a ledger group: batches, sample leases, delivery, claims.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/identifiers.h"
#include "base/serialization.h"

namespace tackpick::ledger {

/// Tokens [first, first + count) were produced under `version`.
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

/// A sample to be produced.
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

/// A sample as an engine produced it. The spans cover every token.
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

/// Oldest version among the spans; none when there are none.
[[nodiscard]] base::WeightsVersion oldestVersion(const std::vector<VersionSpan>& spans);
/// True when the spans are adjacent, start at zero and cover exactly `tokenCount` tokens.
[[nodiscard]] bool spansCoverTokens(const std::vector<VersionSpan>& spans, std::size_t tokenCount);

/// Repeating it with the same content is harmless; with other content it is refused.
struct SubmitBatch {
  base::BatchId batch;
  base::WorkloadPath workload;
  std::string model;
  base::WeightsVersion minimumVersion;  ///< fixed now from the agreed staleness bound
  std::vector<SampleSpec> samples;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(batch, workload, model, minimumVersion, samples);
  }
};

/// Raises the minimum version of a batch that is still running.
struct RaiseMinimumVersion {
  base::BatchId batch;
  base::WeightsVersion minimumVersion;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(batch, minimumVersion);
  }
};

/// A gateway asks for samples to run, and at the same time says that it is alive.
struct LeaseSamples {
  base::NodeId gateway;
  base::Incarnation incarnation;
  std::uint64_t request = 0;  ///< rises; repeating the latest gives the same samples again
  std::uint32_t maximum = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(gateway, incarnation, request, maximum);
  }
};

/// Takes back all leases of a gateway run that became unresponsive. Proposed by the leading ledger.
struct ReleaseLeases {
  base::NodeId gateway;
  base::Incarnation incarnation;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(gateway, incarnation);
  }
};

/// Gives one sample back, for example because the gateway is stopping.
struct ReturnSample {
  base::BatchId batch;
  std::uint32_t index = 0;
  std::uint64_t fence = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(batch, index, fence);
  }
};

/// The first commit of a sample wins.
struct CommitSample {
  base::BatchId batch;
  std::uint64_t fence = 0;
  SampleResult result;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(batch, fence, result);
  }
};

/// The trainer holds everything before `cursor`; it is never delivered again.
struct AcknowledgeSamples {
  base::BatchId batch;
  std::uint32_t cursor = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(batch, cursor);
  }
};

/// Registers a not-repeatable request before it is dispatched.
struct ClaimRequest {
  base::TenantName tenant;
  base::IdempotencyKey key;
  std::uint64_t requestHash = 0;
  std::uint64_t claimant = 0;  ///< unique to this arrival; tells a resent call from a second claim

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, key, requestHash, claimant);
  }
};

/// How a claimed request ended.
enum class ClaimOutcome : std::uint8_t {
  kUnknown,    ///< dispatched or about to be; it may have run
  kNotRun,     ///< certainly did not run: the key may be claimed again
  kCompleted,  ///< ran; `answer` is what the caller got
};

struct RecordOutcome {
  base::TenantName tenant;
  base::IdempotencyKey key;
  std::uint64_t claimant = 0;
  ClaimOutcome outcome = ClaimOutcome::kUnknown;
  base::Bytes answer;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, key, claimant, outcome, answer);
  }
};

using LedgerOperation =
    std::variant<SubmitBatch, RaiseMinimumVersion, LeaseSamples, ReleaseLeases, ReturnSample,
                 CommitSample, AcknowledgeSamples, ClaimRequest, RecordOutcome>;

/// `wallSeconds` is the proposing leader's wall clock; it only drives retention.
struct LedgerCommand {
  std::uint64_t wallSeconds = 0;
  LedgerOperation operation;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(wallSeconds, operation);
  }
};

enum class LedgerStatus : std::uint8_t {
  kOk,
  kAlreadyDone,  ///< an earlier equal command had this effect
  kNotFound,
  kConflict,  ///< same name, other content
  kTooOld,    ///< a version span lies under the batch's minimum
  kInvalid,
  kRefused,  ///< the claim is taken; `outcome` says what is known
  kExpired,  ///< the batch was dropped after delivery
};

/// A sample handed to a gateway.
struct LeasedSample {
  base::BatchId batch;
  base::WorkloadPath workload;
  std::string model;
  base::WeightsVersion minimumVersion;
  std::uint64_t fence = 0;
  std::uint32_t remaining = 0;       ///< samples of the batch not yet committed
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

/// Reads committed samples from `cursor` on, in commit order.
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

/// A gateway that holds samples says that it is alive.
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
  std::uint32_t cursor = 0;  ///< where the next read continues
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
