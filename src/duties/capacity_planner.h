/// \file
/// Plans how many instances of a service each zone should have.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "duties/capacity_messages.h"
#include "duties/capacity_policy.h"
#include "duties/scaling.h"

namespace tackpick::duties {

/// Instances of a pool.
struct PoolCounts {
  std::uint32_t active = 0;    ///< registered and not draining
  std::uint32_t starting = 0;  ///< requested recently and not registered yet
  std::uint32_t desired = 0;   ///< count last requested from the platform
  bool requested = false;      ///< whether a count was ever requested
  bool unavailable = false;    ///< no capacity is available at present

  /// Returns the active and starting instances.
  [[nodiscard]] std::uint32_t provisioned() const { return active + starting; }
};

/// Instances of a service in a zone.
struct ZoneCounts {
  std::string zone;
  PoolCounts onDemand;
  PoolCounts preemptible;
  std::uint32_t unresponsive = 0;  ///< active instances whose heartbeats are overdue
  std::uint32_t draining = 0;      ///< draining instances of both kinds
  std::uint32_t baseline = 0;      ///< on-demand instances before the first call to the platform
  std::uint32_t preemptibleBaseline = 0;  ///< preemptible instances before the first call

  /// Returns the active and starting instances of both kinds.
  [[nodiscard]] std::uint32_t provisioned() const {
    return onDemand.provisioned() + preemptible.provisioned();
  }
};

/// Inputs of a decision.
struct CapacityInputs {
  Scaling scaling;
  std::uint32_t slots = 1;  ///< slots per instance
  std::vector<ZoneCounts> zones;
  /// Demand of the service; std::nullopt if unknown or outdated.
  std::optional<CapacityDemand> demand;
  /// Whether the leader has led long enough to have received a heartbeat from every instance.
  bool warmedUp = false;
  base::TimePoint now{};
};

/// Target count of a pool.
struct CapacityTarget {
  std::string zone;
  InstanceKind kind = InstanceKind::kOnDemand;
  std::uint32_t count = 0;
  bool isScaleIn = false;  ///< whether the target releases one active instance

  bool operator==(const CapacityTarget&) const = default;
};

/// Settings of a CapacityPlanner.
struct CapacityPlannerSettings {
  CapacityMode mode = CapacityMode::kFixed;
  /// Maximum number of instances beyond the baseline, in percent of the baseline. Bounds the cost
  /// of a wrong estimate of the demand.
  std::uint32_t maxExtraPercent = 50;
  /// Percentage of preemptible instances, which cost less, among the instances beyond the baseline.
  /// The on-demand instances remain when the preemptible instances of a zone are terminated.
  std::uint32_t preemptiblePercent = 50;
  /// Time for which surplus instances are kept. Each scale-in step restarts it.
  base::Duration scaleInCooldown = base::seconds(30);
  /// Time without open work after which the instances of the baseline are also released, down to
  /// the minimum.
  base::Duration idleTimeout = base::seconds(600);
};

/// Plans the instances of one service. A target is never below the active instances of its pool,
/// except for a scale-in step, which releases one instance. Deterministic.
class CapacityPlanner {
 public:
  explicit CapacityPlanner(CapacityPlannerSettings settings)
      : m_settings(settings), m_policy(CapacityPolicy::make(settings.mode)) {}

  /// Returns the targets of pools that need a call to the platform.
  [[nodiscard]] std::vector<CapacityTarget> step(const CapacityInputs& inputs);
  /// Returns the number of instances in all zones that the last step planned for.
  [[nodiscard]] std::uint32_t targetCount() const { return m_targetCount; }

 private:
  struct ZonePlan;

  [[nodiscard]] bool isIdleTimeoutExpired(const CapacityInputs& inputs) const;
  /// Whether no work is reported and part of the baseline was released after the idle timeout.
  /// The released instances are not requested again until there is work.
  [[nodiscard]] static bool isScaledBelowBaseline(const CapacityInputs& inputs);
  /// Returns how many of the `baseline` instances of a pool are retained.
  [[nodiscard]] std::uint32_t retainedCount(std::uint32_t baseline, const PoolCounts& counts,
                                            const CapacityInputs& inputs) const;
  /// Returns the minimum number of on-demand instances of a zone.
  [[nodiscard]] std::uint32_t minOnDemandOf(const ZoneCounts& zone,
                                            const CapacityInputs& inputs) const;
  /// Returns how many instances of both kinds are retained in all zones.
  [[nodiscard]] std::uint32_t retainedTotal(const CapacityInputs& inputs) const;
  /// Returns plans with the provisioned instances, the retained baseline, and replacements of
  /// unresponsive instances, ordered by price.
  [[nodiscard]] std::vector<ZonePlan> currentPlans(const CapacityInputs& inputs) const;
  void updateIdleSince(const CapacityInputs& inputs);
  /// Returns the number of instances in all zones that the demand requires.
  [[nodiscard]] std::uint32_t computeTargetCount(const CapacityInputs& inputs);
  /// Adds the missing instances to the plans one by one, cheapest zone first, spread over the zones
  /// so that only some of them are lost if a zone fails.
  void addInstances(std::vector<ZonePlan>& plans, std::uint32_t missing,
                    const CapacityInputs& inputs) const;
  /// Returns a target that releases one instance of the most expensive zone, on-demand ones first;
  /// std::nullopt if none may be released.
  [[nodiscard]] static std::optional<CapacityTarget> selectScaleInTarget(
      const std::vector<ZonePlan>& plans);
  /// Returns the scale-in target while a surplus has lasted for the cooldown.
  [[nodiscard]] std::optional<CapacityTarget> scaleIn(const std::vector<ZonePlan>& plans,
                                                      const CapacityInputs& inputs);

  const CapacityPlannerSettings m_settings;
  const std::unique_ptr<CapacityPolicy> m_policy;
  std::uint32_t m_targetCount = 0;
  std::optional<base::TimePoint> m_idleSince;     ///< start of the time without open work
  std::optional<base::TimePoint> m_surplusSince;  ///< start of the surplus or last scale-in step
  std::optional<CapacityTarget> m_scaleInTarget;  ///< unchanged until the instance has left
};

}  // namespace tackpick::duties
