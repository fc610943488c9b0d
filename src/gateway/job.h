/// \file
/// A unit of work inside a gateway: a caller's request or a leased sample.
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

using routing::JobId;

/// Tokens with the versions that produced them.
struct VersionedTokens {
  std::vector<engine::Token> tokens;
  std::vector<ledger::VersionSpan> spans;

  /// Appends tokens produced under one version.
  void append(base::WeightsVersion version, const std::vector<engine::Token>& more);
};

/// One dispatch of a job to an engine. It begins with the tokens that earlier attempts left.
struct Attempt {
  base::AttemptId id;
  base::EngineId engine;
  base::TimePoint startedAt{};
  base::TimePoint progressAt{};
  std::uint32_t resumedFrom = 0;
  bool isHedge = false;
  VersionedTokens output;
};

/// What a caller asked for.
struct CallerRequest {
  base::CallerId id;
  base::TenantName tenant;
  base::WorkloadPath workload;
  std::string prompt;
  std::uint64_t seed = 0;
  std::uint32_t maximumTokens = 0;
  base::Duration deadline{0};  ///< from arrival; zero: the workload's default
  bool stream = false;
  bool notRepeatable = false;
  base::IdempotencyKey key;  ///< required when not repeatable
};

/// State of a not-repeatable request's claim.
enum class ClaimState { kNone, kRequested, kHeld };

/// Owned by Gateway. At any time a job is waiting in the queue, or has attempts, or both a hedge
/// and none in the queue, or is being claimed or recorded.
struct Job {
  JobId id;
  std::optional<CallerRequest> caller;         ///< set for callers' requests
  std::optional<ledger::LeasedSample> sample;  ///< set for samples
  base::GroupId ledgerGroup;                   ///< of the sample or claim
  base::WorkloadPath workload;
  std::string model;
  std::string prompt;
  std::uint64_t seed = 0;
  std::uint32_t maximumTokens = 0;
  std::uint32_t priority = 0;
  base::WeightsVersion minimumVersion;
  bool hedgingAllowed = false;
  base::TimePoint arrivedAt{};
  base::TimePoint deadline{};       ///< callers only
  base::TimePoint queueDeadline{};  ///< callers only: give up waiting in the queue
  base::TimePoint retryAt{};        ///< waits outside the queue until then

  base::Verdict verdict = base::Verdict::kNotRun;  ///< over all attempts so far
  VersionedTokens partial;                         ///< what ended attempts left
  std::vector<Attempt> attempts;
  std::uint32_t attemptCount = 0;
  std::set<base::EngineId> refusedBy;
  std::uint32_t streamedTokens = 0;
  bool queued = false;
  bool finishing = false;  ///< the outcome is decided and is being recorded
  ClaimState claim = ClaimState::kNone;
  std::uint64_t claimant = 0;
};

}  // namespace tackpick::gateway
