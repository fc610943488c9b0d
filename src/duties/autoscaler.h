/// \file
/// Sets the instance counts of services at the platform. Runs on the leader of the controllers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/random.h"
#include "duties/capacity_planner.h"
#include "duties/capacity_state.h"

namespace tackpick::duties {

/// Settings of an Autoscaler.
struct AutoscalerSettings {
  CapacityPlannerSettings plan;
  /// Minimum time between two calls; the platform limits the rate of all calls.
  base::Duration minCallInterval = base::milliseconds(100);
  /// Time without calls after one that was throttled or whose outcome is unknown. Doubles with
  /// each such call up to maxRetryDelay.
  base::Duration initialRetryDelay = base::milliseconds(300);
  base::Duration maxRetryDelay = base::milliseconds(2400);
  /// Time beyond the startup duration for which a requested instance still counts as starting.
  /// Afterwards the call is repeated.
  base::Duration startupGrace = base::seconds(2);
  /// Time after which an accepted call is repeated while its instances do not register. Doubles
  /// with each repetition up to maxRepeatInterval.
  base::Duration initialRepeatInterval = base::seconds(4);
  base::Duration maxRepeatInterval = base::seconds(60);
  /// Time after which a call counts as ended even without an outcome.
  base::Duration callTimeout = base::seconds(3);
  /// Time after which a log entry that has not been applied is proposed again.
  base::Duration proposalTimeout = base::seconds(1);
  /// Maximum delay with which the platform may execute an unanswered call.
  base::Duration maxEffectDelay = base::seconds(15);
  /// Time for which no preemptible instances are requested from a zone that has none available.
  /// Doubles with each failure up to maxBackoff.
  base::Duration initialBackoff = base::seconds(3);
  base::Duration maxBackoff = base::seconds(60);
};

/// Registered instances of a service in a zone.
struct RegisteredInstances {
  std::uint32_t onDemand = 0;      ///< on-demand instances that are not draining
  std::uint32_t preemptible = 0;   ///< preemptible instances that are not draining
  std::uint32_t unresponsive = 0;  ///< unresponsive instances of both kinds that are not draining
  std::uint32_t onDemandDraining = 0;
  std::uint32_t preemptibleDraining = 0;
};

/// A service whose instances the platform starts and stops.
struct ScaledService {
  std::string name;
  Scaling scaling;
  std::uint32_t slots = 1;                           ///< slots per instance
  std::map<std::string, RegisteredInstances> zones;  ///< by zone
  std::optional<CapacityDemand> demand;              ///< std::nullopt if unknown or outdated
};

/// A new instance count of a pool and the inputs of the decision.
struct CapacityDecision {
  InstancePool subject;
  std::uint32_t count = 0;
  std::uint32_t previousCount = 0;  ///< count requested before this decision
  std::uint32_t active = 0;
  std::uint32_t draining = 0;
  std::uint32_t targetTotal = 0;  ///< planned instances in all zones, of both kinds
  bool demandKnown = false;       ///< whether `items`, `waiting` and `demandAge` are valid
  std::uint32_t items = 0;        ///< items of open jobs
  std::uint32_t waiting = 0;      ///< items that wait for a slot
  base::Duration demandAge{0};    ///< age of the report of open jobs
};

/// Actions that the leader has to carry out after a step.
struct AutoscalerActions {
  /// Commands to be written to the log.
  std::vector<std::variant<RecordBaseline, SetCapacity, ConfirmCapacity>> commands;
  std::optional<ScaleCall> call;            ///< call to be sent to the platform
  std::vector<CapacityDecision> decisions;  ///< decisions to be logged as events
};

/// Decides the instance counts of all scaled services and sends them to the platform. A count is
/// committed to the log before the platform is first called with it. At most one call is in flight,
/// and a fence that the platform rejected is not used again. Deterministic; owned by one thread.
class Autoscaler {
 public:
  Autoscaler(AutoscalerSettings settings, base::Random& random)
      : m_settings(settings), m_random(random) {}

  /// Must be called when this controller becomes leader. No call is made before `callsFrom`, nor
  /// before the end of a call from an earlier term of this controller.
  void reset(const CapacityState& state, base::TimePoint callsFrom, base::TimePoint now);
  /// Inputs of one step.
  struct StepInputs {
    std::vector<ScaledService> services;
    /// Whether the leader has led long enough to have received a heartbeat from every instance.
    bool warmedUp = false;
    std::uint64_t fence = 0;
    base::TimePoint now;
  };
  /// Makes the decisions that are due and returns the resulting actions.
  [[nodiscard]] AutoscalerActions step(const CapacityState& state, const StepInputs& stepInputs);
  /// Records the outcome of a call that step() returned.
  void onOutcome(const ScaleCall& call, ScaleOutcome outcome, base::TimePoint now);

  /// Returns the summaries of all pools as of the last step.
  [[nodiscard]] const std::vector<PoolSummary>& summaries() const { return m_summaries; }
  [[nodiscard]] bool enabled() const { return m_settings.plan.mode != CapacityMode::kFixed; }

 private:
  /// Registered instances of a pool.
  struct RegisteredCounts {
    std::uint32_t active = 0;
    std::uint32_t draining = 0;
  };
  /// State of a pool that only this leader holds; it is not replicated.
  struct PoolState {
    std::optional<base::TimePoint> requestedAt;  ///< time of the last call
    base::Duration repeatInterval{0};            ///< time until an accepted call is repeated
    std::optional<std::uint32_t> proposed;       ///< count whose log entry is not applied yet
    base::TimePoint proposedAt{};                ///< when `proposed` was proposed
    /// Count accepted by the platform, possibly not yet confirmed in the log.
    std::optional<std::uint32_t> acceptedCount;
    bool unanswered = false;  ///< whether the last call has no answer
    /// Whether instances have left since the last call. If so, the call is repeated.
    bool instancesLost = false;
    RegisteredCounts lastCounts;  ///< as of the last step
    /// Lowest count of the unanswered calls that the platform may still execute.
    std::optional<std::uint32_t> minUncertainCount;
    /// Time until which the platform may still execute an unanswered call.
    base::TimePoint uncertainUntil{};
    base::TimePoint availableFrom{};  ///< end of the backoff of the pool
    base::Duration backoff{0};        ///< current duration of the backoff
    std::uint32_t consecutiveFailures = 0;
  };
  /// A target of the current step.
  struct PendingTarget {
    CapacityTarget target;
    base::Duration startupDuration{0};
  };

  [[nodiscard]] std::vector<ZoneCounts> countZones(const ScaledService& service,
                                                   const CapacityState& state, base::TimePoint now);
  [[nodiscard]] PoolCounts poolCounts(const InstancePool& pool, RegisteredCounts registered,
                                      const CapacityState& state, base::Duration startupDuration,
                                      base::TimePoint now);
  static void recordBaselines(const ScaledService& service, const CapacityState& state,
                              AutoscalerActions& actions);
  /// Lowers the targets of preemptible pools without available capacity to their active instances.
  void dropUnavailableTargets(const ScaledService& service, const std::vector<ZoneCounts>& zones,
                              base::TimePoint now, AutoscalerActions& actions);
  /// Proposes a log entry with the count. Returns false if the same entry is already proposed.
  [[nodiscard]] bool propose(const InstancePool& pool, std::uint32_t count, base::TimePoint now,
                             AutoscalerActions& actions);
  void planService(const ScaledService& service, const CapacityState& state,
                   const StepInputs& stepInputs, AutoscalerActions& actions);
  /// Proposes the decided count if it is new; sets `decision.previousCount`.
  void proposeDecision(CapacityDecision decision, const CapacityState& state, base::TimePoint now,
                       AutoscalerActions& actions);
  [[nodiscard]] bool isCallDue(const InstancePool& pool, const PendingTarget& pendingTarget,
                               const CapacityState& state, base::TimePoint now);
  /// Returns the next call to be sent, std::nullopt if none is due.
  [[nodiscard]] std::optional<ScaleCall> nextCall(const CapacityState& state,
                                                  const StepInputs& stepInputs);
  /// Returns a call that repeats the current count of a pool, in case the platform executed an
  /// earlier unanswered call late; std::nullopt if none is needed.
  [[nodiscard]] std::optional<ScaleCall> reassertionCall(const CapacityState& state,
                                                         const StepInputs& stepInputs);
  void onSent(const ScaleCall& call, base::TimePoint now);
  /// Starts an exponential backoff of a pool without available capacity.
  void backOffPool(PoolState& poolState, base::TimePoint now) const;
  /// Starts an exponential backoff of all calls, with jitter.
  void backOffCalls(base::TimePoint now);

  const AutoscalerSettings m_settings;
  base::Random& m_random;
  std::map<std::string, CapacityPlanner> m_planners;  ///< by service
  std::map<InstancePool, PoolState> m_pools;
  std::map<InstancePool, PendingTarget> m_pendingTargets;  ///< targets of the current step
  std::vector<PoolSummary> m_summaries;
  std::vector<ConfirmCapacity> m_pendingConfirmations;  ///< confirmations to be written to the log
  struct InFlightCall {
    std::uint64_t fence = 0;
    base::TimePoint since{};
  };
  std::optional<InFlightCall> m_inFlightCall;
  std::uint64_t m_staleFence = 0;  ///< fence that the platform rejected; zero: none
  base::TimePoint m_nextCallAt{};  ///< earliest time of the next call
  base::Duration m_retryDelay{0};
};

}  // namespace tackpick::duties
