/// \file
/// Checks of the invariants of a simulated run.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"
#include "base/verdict.h"
#include "checking/response_check.h"
#include "engine/engine_simulator.h"

namespace tackpick::simulation {

/// Properties that every run must have.
enum class Invariant : std::uint8_t {
  kCorrectVersions,
  kStalenessBound,
  kExactlyOnce,
  kCompleteResponse,
  kNotRunVerdict,
  kAtMostOnce,
  kDrainingEngine,
  kGracefulShutdown,
  kConfigurationConsistency,
  kLiveness,  ///< all outstanding work ends after the faults have ended
};

[[nodiscard]] std::string_view toString(Invariant invariant);

/// Initial value of the operators' counter.
inline constexpr std::int64_t kInitialCounter = 1000;

struct Violation {
  Invariant invariant = Invariant::kLiveness;
  base::TimePoint at{};
  std::string description;
};

/// A request as its caller sent it.
struct SentRequest {
  std::string prompt;  ///< unique to the request; resends under the same key share it
  std::uint64_t seed = 0;
  std::uint32_t maximumTokens = 0;
  bool notRepeatable = false;
};

/// A batch as its trainer submitted it.
struct SentBatch {
  base::BatchId batch;
  base::WeightsVersion minVersion;
  std::vector<ledger::SampleSpec> samples;
};

/// Counters and latencies of a run.
struct RunStatistics {
  std::uint64_t requestsSent = 0;
  std::uint64_t requestsCompleted = 0;
  std::uint64_t requestsNotRun = 0;
  std::uint64_t requestsIndeterminate = 0;
  std::uint64_t connectionsLost = 0;
  std::uint64_t samplesDelivered = 0;
  std::uint64_t batchesDelivered = 0;
  std::uint64_t changesAccepted = 0;
  std::uint64_t versionsPublished = 0;
  std::uint64_t kills = 0;
  std::uint64_t engineExecutions = 0;
  std::uint64_t tokensReceived = 0;   ///< received by gateways from engines
  std::uint64_t tokensDiscarded = 0;  ///< received tokens that gateways discarded
  std::vector<double> changeSeconds;  ///< time from the submission of a change to its acceptance
  /// Time from the arrival of a streamed request to its first token.
  std::vector<double> firstTokenSeconds;
  /// Time from the arrival of a request to its response; not recorded.
  std::vector<double> responseSeconds;
  /// Time from the submission of a batch to the delivery of its last sample.
  std::vector<double> batchSeconds;
  /// Time from the publication of weights until all engines run them.
  std::vector<double> rolloutSeconds;
};

/// Collects what callers, trainers, operators and engines observe and records violated invariants.
/// Does not inspect the state of the modules under test.
class InvariantChecker {
 public:
  explicit InvariantChecker(const base::TimeSource& clock) : clock_(clock) {}

  // Callers.
  void onRequestSent(const SentRequest& request);
  void onResponse(const SentRequest& request, const checking::ReceivedResponse& response);
  void onRejection(const SentRequest& request, base::Verdict verdict, bool invalid,
                   const std::string& message);
  void onConnectionLost(const SentRequest& request, bool byGracefulShutdown);

  // Engines.
  void onRequestDispatched(base::EngineId engine, base::Incarnation incarnation);
  void onEngineDraining(base::EngineId engine, base::Incarnation incarnation);
  /// Ends the check for new work on a draining engine. Call before an operator ends a drain.
  void onDrainEnding(base::EngineId engine, base::Incarnation incarnation) {
    m_drainingSince.erase({engine, incarnation});
  }
  /// Adds the attempts that an engine incarnation executed. Call once per incarnation, at its end.
  void onEngineExecutions(const engine::EngineSimulator& model);
  void onVersionPublished(base::WeightsVersion version) { published_at_[version] = clock_.now(); }
  /// Sets the number of engines that a rollout of weights has to reach.
  void setEngineCount(std::size_t count) { engine_count_ = count; }
  void onVersionActive(base::EngineId engine, base::Incarnation incarnation,
                       base::WeightsVersion version);

  // Trainers.
  void onBatchAccepted(const SentBatch& batch);
  /// Checks the sample at a position of the delivery order. A repeated read must return the same
  /// sample.
  void onSample(const SentBatch& batch, std::uint32_t position, const ledger::SampleResult& sample);
  void onBatchMissing(const SentBatch& batch);
  void onBatchComplete(const SentBatch& batch);
  /// Requires that samples from `position` on have at least the version `minVersion`.
  void onMinVersionRaised(const base::BatchId& batch, std::uint32_t position,
                          base::WeightsVersion minVersion);

  // Operators. Each change increments a counter that is stored as a setting.
  void onChangeAccepted(const std::string& requestId, base::Revision revision,
                        std::int64_t counter);
  /// Checks a counter that an operator read. `acceptedBefore` is the accepted counter at the start
  /// of the read.
  void onCounterRead(std::int64_t counter, std::int64_t acceptedBefore);
  [[nodiscard]] std::int64_t acceptedCounter() const { return accepted_counter_; }

  void reportViolation(Invariant invariant, std::string description);
  /// Runs the checks that need the complete run. `finalCounters` holds the counter in the view of
  /// each running gateway.
  void checkFinalState(const std::vector<std::int64_t>& finalCounters);

  [[nodiscard]] const std::vector<Violation>& violations() const { return violations_; }
  [[nodiscard]] RunStatistics& statistics() { return m_statistics; }
  [[nodiscard]] const RunStatistics& statistics() const { return m_statistics; }

 private:
  struct PromptRecord {
    std::uint64_t executions = 0;  ///< attempts that engines executed
    std::uint64_t arrivals = 0;
    std::uint64_t notRun = 0;  ///< arrivals rejected as not run
    bool notRepeatable = false;
  };
  struct BatchRecord {
    std::map<std::uint32_t, std::uint64_t> hashByPosition;
    std::set<std::uint32_t> delivered;
    std::uint32_t minVersionFrom = 0;
    base::WeightsVersion raisedMinVersion;
  };
  using EngineIncarnation = std::pair<base::EngineId, base::Incarnation>;

  const base::TimeSource& clock_;
  std::vector<Violation> violations_;
  RunStatistics m_statistics;
  std::map<std::string, PromptRecord> prompts_;
  std::map<base::BatchId, BatchRecord> batches_;
  std::map<EngineIncarnation, base::TimePoint> m_drainingSince;
  std::map<EngineIncarnation, base::WeightsVersion> active_;
  std::map<base::WeightsVersion, base::TimePoint> published_at_;
  std::map<base::WeightsVersion, std::size_t> engines_at_version_;
  std::size_t engine_count_ = 0;
  std::map<std::string, base::Revision> accepted_requests_;
  std::int64_t accepted_counter_ = kInitialCounter;
  std::uint64_t accepted_changes_ = 0;
};

}  // namespace tackpick::simulation
