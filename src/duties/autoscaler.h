/// \file
/// The duty to set the numbers of instances, as the controllers' leader does it.
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

/// Knobs of an Autoscaler.
struct AutoscalerSettings {
  CapacityPlannerSettings plan;
  /// Between two calls at least; the platform limits the rate of all of them.
  base::Duration minCallInterval = base::milliseconds(100);
  /// A call without an answer is repeated after this time, and then after twice as long each time.
  base::Duration firstRetry = base::milliseconds(300);
  base::Duration maxRetry = base::milliseconds(2400);
  /// A new instance has registered so long after its start time, or the call is repeated.
  base::Duration startMargin = base::seconds(2);
  /// ... and then after twice as long each time.
  base::Duration firstRepeat = base::seconds(4);
  base::Duration maxRepeat = base::seconds(60);
  /// A call has ended by then, or was never sent.
  base::Duration callLimit = base::seconds(3);
  /// An entry of the log that was not applied in this time is proposed again.
  base::Duration noteTime = base::seconds(1);
  /// A call without an answer may be carried out so late.
  base::Duration latestEffect = base::seconds(15);
  /// No preemptible instances are asked for in a zone that has none for this time, and then twice
  /// as long each time.
  base::Duration firstPause = base::seconds(3);
  base::Duration maxPause = base::seconds(60);
};

/// Instances of a service in a zone, as they are registered.
struct RegisteredInstances {
  std::uint32_t onDemand = 0;  ///< not draining
  std::uint32_t preemptible = 0;
  std::uint32_t unresponsive = 0;  ///< of both
  std::uint32_t onDemandDraining = 0;
  std::uint32_t preemptibleDraining = 0;
};

/// A service whose instances the platform starts and stops.
struct ScaledService {
  std::string name;
  Scaling scaling;
  std::uint32_t slots = 1;
  std::map<std::string, RegisteredInstances> zones;
  std::optional<CapacityDemand> demand;  ///< nothing: it is not known, or too old
};

/// A new number of instances, and what it was decided from.
struct CapacityDecision {
  InstancePool subject;
  std::uint32_t count = 0;
  std::uint32_t before = 0;  ///< the count that was asked for until now
  std::uint32_t there = 0;
  std::uint32_t draining = 0;
  std::uint32_t wanted = 0;  ///< in all zones, of both kinds
  bool demandKnown = false;  ///< the open work below decided too
  std::uint32_t items = 0;   ///< open ones
  std::uint32_t waiting = 0;
  base::Duration demandAge{0};  ///< since the open work was told
};

/// What the leader is to do now.
struct AutoscalerActions {
  /// To be written to the log.
  std::vector<std::variant<RecordBaseline, SetCapacity, ConfirmCapacity>> commands;
  std::optional<ScaleCall> call;  ///< to be sent
  std::vector<CapacityDecision> decisions;
};

/// Deterministic; owned by one thread. A count stands in the log before the platform is first asked
/// for it. One call is under way at a time; a fence that was refused is not used again.
class Autoscaler {
 public:
  Autoscaler(AutoscalerSettings settings, base::Random& random)
      : m_settings(settings), m_random(random) {}

  /// Call when this controller becomes leader. It makes no call before `callsFrom`, nor before the
  /// end of one that it made when it led before.
  void reset(const CapacityState& state, base::TimePoint callsFrom, base::TimePoint now);
  struct Present {
    std::vector<ScaledService> services;
    /// The leader has led long enough to have heard of every instance.
    bool settled = false;
    std::uint64_t fence = 0;
    base::TimePoint now;
  };
  [[nodiscard]] AutoscalerActions step(const CapacityState& state, const Present& present);
  void onOutcome(const ScaleCall& call, ScaleOutcome outcome, base::TimePoint now);

  [[nodiscard]] const std::vector<PoolSummary>& summaries() const { return m_summaries; }
  [[nodiscard]] bool enabled() const { return m_settings.plan.mode != CapacityMode::kHold; }

 private:
  /// Instances of one kind in a zone.
  struct RegisteredKind {
    std::uint32_t there = 0;
    std::uint32_t draining = 0;
  };
  /// What this leader knows of a subject.
  struct Subject {
    std::optional<base::TimePoint> askedAt;  ///< the platform, for the present count
    base::Duration repeat{0};                ///< until it is asked again
    std::optional<std::uint32_t> proposed;   ///< its entry is on its way to the log ...
    base::TimePoint proposedAt{};            ///< ... since then
    std::optional<std::uint32_t> taken;      ///< the confirmation may be on its way
    bool unanswered = false;                 ///< the last call
    bool lost = false;  ///< instances left since the last call: it is due again at once
    RegisteredKind seen;
    /// The lowest count of calls without an answer, which may still be carried out ...
    std::optional<std::uint32_t> uncertain;
    base::TimePoint uncertainUntil{};  ///< ... until then
    base::TimePoint availableFrom{};
    base::Duration pause{0};
    std::uint32_t refusals = 0;
  };
  struct Wish {
    CapacityTarget target;
    base::Duration startupDuration{0};
  };

  [[nodiscard]] std::vector<ZoneCounts> zonesOf(const ScaledService& service,
                                                const CapacityState& state, base::TimePoint now);
  [[nodiscard]] PoolCounts poolCounts(const InstancePool& subject, RegisteredKind registered,
                                      const CapacityState& state, base::Duration startupDuration,
                                      base::TimePoint now);
  static void noteBaselines(const ScaledService& service, const CapacityState& state,
                            AutoscalerActions& work);
  /// What was withdrawn or refused is not counted on.
  void noteWithdrawn(const ScaledService& service, const std::vector<ZoneCounts>& zones,
                     base::TimePoint now, AutoscalerActions& work);
  /// Writes a count to the log; false when that is under way.
  [[nodiscard]] bool propose(const InstancePool& subject, std::uint32_t count, base::TimePoint now,
                             AutoscalerActions& work);
  void plan(const ScaledService& service, const CapacityState& state, const Present& present,
            AutoscalerActions& work);
  /// `decision.before` is not known yet.
  void decide(CapacityDecision decision, const CapacityState& state, base::TimePoint now,
              AutoscalerActions& work);
  [[nodiscard]] bool isDue(const InstancePool& subject, const Wish& wish,
                           const CapacityState& state, base::TimePoint now);
  [[nodiscard]] std::optional<ScaleCall> nextCall(const CapacityState& state,
                                                  const Present& present);
  [[nodiscard]] std::optional<ScaleCall> assertedCall(const CapacityState& state,
                                                      const Present& present);
  void onSent(const ScaleCall& call, base::TimePoint now);
  void noteUnavailable(Subject& subject, base::TimePoint now) const;
  void pauseCalls(base::TimePoint now);

  const AutoscalerSettings m_settings;
  base::Random& m_random;
  std::map<std::string, CapacityPlanner> m_plans;  ///< by service
  std::map<InstancePool, Subject> m_subjects;
  std::map<InstancePool, Wish> m_wishes;  ///< of the present step
  std::vector<PoolSummary> m_summaries;
  std::vector<ConfirmCapacity> m_confirm;  ///< to be written to the log
  struct CallUnderWay {
    std::uint64_t fence = 0;
    base::TimePoint since{};
  };
  std::optional<CallUnderWay> m_calling;
  std::uint64_t m_refusedFence = 0;
  base::TimePoint m_callAt{};  ///< not before
  base::Duration m_retry{0};
};

}  // namespace tackpick::duties
