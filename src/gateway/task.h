/// \file
/// Unit of work of a gateway: a caller's request or a leased sample.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"
#include "base/verdict.h"
#include "engine/generation.h"
#include "ledger/ledger_commands.h"
#include "routing/dispatch_queue.h"

namespace tackpick::gateway {

using routing::TaskId;

/// Tokens with the weights versions that produced them.
struct VersionedTokens {
  std::vector<engine::Token> tokens;
  std::vector<ledger::VersionSpan> spans;

  /// Appends tokens produced under one version.
  void append(base::WeightsVersion version, const std::vector<engine::Token>& newTokens);
};

/// One dispatch of a task to an engine.
struct Attempt {
  base::AttemptId id;
  base::EngineId engine;
  base::TimePoint startedAt{};
  base::TimePoint lastProgressAt{};
  std::uint32_t resumeOffset = 0;  ///< number of tokens kept from earlier attempts
  bool isHedge = false;
  VersionedTokens output;  ///< includes the tokens kept from earlier attempts
};

/// Request of a caller.
struct CallerRequest {
  base::CallerId id;
  base::TenantName tenant;
  base::WorkloadPath workload;
  std::string prompt;
  std::uint64_t seed = 0;
  std::uint32_t maximumTokens = 0;
  base::Duration deadline{0};  ///< relative to arrival; zero: default of the workload
  bool stream = false;
  bool notRepeatable = false;
  base::IdempotencyKey key;  ///< required when not repeatable
};

/// State of the claim of a not-repeatable request.
enum class ClaimState { kNone, kRequested, kHeld };

/// Caller's request or leased sample. A task is waiting for its claim, queued, waiting for a retry,
/// running (with a second attempt if hedged), or having its outcome recorded. Owned by Gateway.
struct Task {
  TaskId id;
  std::optional<CallerRequest> caller;         ///< set for callers' requests
  std::optional<ledger::LeasedSample> sample;  ///< set for samples
  base::GroupId ledgerGroup;                   ///< group of the sample or of the claim
  base::WorkloadPath workload;
  std::string model;
  std::string prompt;
  std::uint64_t seed = 0;
  std::uint32_t maximumTokens = 0;
  std::uint32_t priority = 0;
  base::WeightsVersion minimumVersion;
  bool hedgingAllowed = false;
  base::TimePoint arrivedAt{};
  base::TimePoint deadline{};        ///< callers' requests only
  base::TimePoint queueDeadline{};   ///< callers' requests only: latest time of the first dispatch
  base::TimePoint retryNotBefore{};  ///< earliest time at which a waiting retry is queued

  base::Verdict verdict = base::Verdict::kNotRun;  ///< combined over all attempts
  VersionedTokens partialOutput;                   ///< longest output of ended attempts
  std::vector<Attempt> attempts;
  std::uint32_t attemptCount = 0;
  std::set<base::EngineId> excludedEngines;  ///< engines that rejected, failed or stalled this task
  std::uint32_t streamedTokens = 0;
  bool queued = false;
  bool outcomeDecided = false;  ///< the outcome is final and is being recorded
  ClaimState claim = ClaimState::kNone;
  std::uint64_t claimId = 0;
};

}  // namespace tackpick::gateway
