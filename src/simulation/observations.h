/// \file
/// The checkers: judges a run by what callers, trainers, operators and engines saw.
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
#include "checking/answer_check.h"
#include "engine/engine_simulator.h"

namespace tackpick::simulation {

/// What must always hold, and that everything ends.
enum class Promise : std::uint8_t {
  kTrueVersions,
  kStalenessBound,
  kExactlyOnce,
  kWholeAnswer,
  kNotRunIsTrue,
  kAtMostOnce,
  kLeavingEngine,
  kPlannedStop,
  kConfiguration,
  kProgress,  ///< once faults end, everything asked for comes to an end
};

[[nodiscard]] std::string_view toString(Promise promise);

/// Value of the operators' counter before any of their changes.
inline constexpr std::int64_t kFirstCounter = 1000;

struct Violation {
  Promise promise = Promise::kProgress;
  base::TimePoint at{};
  std::string what;
};

/// A caller's request as its caller knows it. Arrivals under one key share the prompt.
struct SentRequest {
  std::string prompt;  ///< unique to the request, shared by its resends
  std::uint64_t seed = 0;
  std::uint32_t maximumTokens = 0;
  bool notRepeatable = false;
};

/// A batch as its trainer knows it.
struct SentBatch {
  base::BatchId batch;
  base::WeightsVersion oldestAllowed;
  std::vector<ledger::SampleSpec> samples;
};

/// How often things happened, to show that a scenario exercised what it claims.
struct RunFigures {
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
  std::uint64_t engineRuns = 0;
  std::uint64_t tokensReceived = 0;       ///< by gateways, from engines
  std::uint64_t tokensDiscarded = 0;      ///< of these, thrown away
  std::vector<double> changeSeconds;      ///< from an operator's submission to its acceptance
  std::vector<double> firstTokenSeconds;  ///< callers, from sending
  std::vector<double> answerSeconds;      ///< callers, from sending to the whole answer
  std::vector<double> batchSeconds;       ///< trainers, from submission to whole
  std::vector<double> rolloutSeconds;     ///< from publishing weights to the last engine
};

/// Collects what happened outside of the modules and notes every broken promise. It knows nothing
/// of their insides.
class Observations {
 public:
  explicit Observations(const base::TimeSource& clock) : clock_(clock) {}

  // Callers.
  void onRequestSent(const SentRequest& request);
  void onResponse(const SentRequest& request, const checking::ReceivedAnswer& answer);
  /// Tokens of a stream, which must agree with the final answer.
  void onRefusal(const SentRequest& request, base::Verdict verdict, bool invalid,
                 const std::string& message);
  void onConnectionLost(const SentRequest& request, bool byPlannedStop);

  // Engines.
  void onWorkGiven(base::EngineId engine, base::Incarnation incarnation);
  void onEngineDraining(base::EngineId engine, base::Incarnation incarnation);
  /// An operator is about to end a drain.
  void onEngineBack(base::EngineId engine, base::Incarnation incarnation) {
    leaving_since_.erase({engine, incarnation});
  }
  /// Everything one incarnation of an engine ran, told when it ends.
  void onEngineRuns(const engine::EngineSimulator& model);
  void onVersionPublished(base::WeightsVersion version) { published_at_[version] = clock_.now(); }
  /// How many engines there are, for the time a rollout takes.
  void setEngineCount(std::size_t count) { engine_count_ = count; }
  void onVersionActive(base::EngineId engine, base::Incarnation incarnation,
                       base::WeightsVersion version);

  // Trainers.
  void onBatchAccepted(const SentBatch& batch);
  /// A sample at a position of the delivery order; a position read again must hold the same.
  void onSample(const SentBatch& batch, std::uint32_t position, const ledger::SampleResult& sample);
  void onBatchMissing(const SentBatch& batch);
  void onBatchWhole(const SentBatch& batch);
  /// Samples from `position` on must be no older than `oldest`.
  void onBatchTightened(const base::BatchId& batch, std::uint32_t position,
                        base::WeightsVersion oldest);

  // Operators. Each change adds one to the counter that is kept as a setting.
  void onChangeAccepted(const std::string& requestId, base::Revision revision,
                        std::int64_t counter);
  /// An operator read the counter; `acceptedBefore` is what was accepted when it asked.
  void onCounterRead(std::int64_t counter, std::int64_t acceptedBefore);
  [[nodiscard]] std::int64_t acceptedCounter() const { return accepted_counter_; }

  void broken(Promise promise, std::string what);
  /// Judges what can only be judged at the end. `finalCounter` is the counter in every view.
  void finish(const std::vector<std::int64_t>& finalCounters);

  [[nodiscard]] const std::vector<Violation>& violations() const { return violations_; }
  [[nodiscard]] RunFigures& figures() { return figures_; }
  [[nodiscard]] const RunFigures& figures() const { return figures_; }

 private:
  struct PromptRecord {
    std::uint64_t runs = 0;  ///< attempts that an engine took
    std::uint64_t arrivals = 0;
    std::uint64_t notRun = 0;  ///< arrivals refused as not run
    bool notRepeatable = false;
  };
  struct BatchRecord {
    std::map<std::uint32_t, std::uint64_t> contentByPosition;
    std::set<std::uint32_t> delivered;
    std::uint32_t tightenedFrom = 0;
    base::WeightsVersion tightenedTo;
  };
  using EngineRun = std::pair<base::EngineId, base::Incarnation>;

  const base::TimeSource& clock_;
  std::vector<Violation> violations_;
  RunFigures figures_;
  std::map<std::string, PromptRecord> prompts_;
  std::map<base::BatchId, BatchRecord> batches_;
  std::map<EngineRun, base::TimePoint> leaving_since_;
  std::map<EngineRun, base::WeightsVersion> active_;
  std::map<base::WeightsVersion, base::TimePoint> published_at_;
  std::map<base::WeightsVersion, std::size_t> engines_at_version_;
  std::size_t engine_count_ = 0;
  std::map<std::string, base::Revision> accepted_requests_;
  std::int64_t accepted_counter_ = kFirstCounter;
  std::uint64_t accepted_changes_ = 0;
};

}  // namespace tackpick::simulation
