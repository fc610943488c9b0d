/// \file
/// How many instances of a service each zone should have.
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

/// Instances of one kind in a zone.
struct PoolCounts {
  std::uint32_t there = 0;     ///< registered and not draining
  std::uint32_t starting = 0;  ///< asked for lately and not registered yet
  std::uint32_t desired = 0;   ///< what the platform was last asked for
  bool asked = false;          ///< ... if it ever was
  bool unavailable = false;    ///< none can be had now

  [[nodiscard]] std::uint32_t coming() const { return there + starting; }
};

/// A zone as the leader sees it.
struct ZoneCounts {
  std::string zone;
  PoolCounts onDemand;
  PoolCounts preemptible;
  std::uint32_t unresponsive = 0;  ///< of those there: their heartbeats are overdue
  std::uint32_t draining = 0;      ///< registered, get no new work
  std::uint32_t baseline = 0;      ///< on-demand instances before the first call
  std::uint32_t preemptibleBaseline = 0;

  [[nodiscard]] std::uint32_t coming() const { return onDemand.coming() + preemptible.coming(); }
};

/// All that a decision is made from.
struct CapacityInputs {
  Scaling scaling;
  std::uint32_t slots = 1;  ///< slots of an instance
  std::vector<ZoneCounts> zones;
  /// Nothing: it is not known, or too old.
  std::optional<CapacityDemand> demand;
  bool settled =
      false;  ///< the leader has led long enough to know which instances are unresponsive
  base::TimePoint now{};
};

/// Instances that a zone should have of one kind.
struct CapacityTarget {
  std::string zone;
  InstanceKind kind = InstanceKind::kOnDemand;
  std::uint32_t count = 0;
  bool givesBack = false;  ///< one fewer than there are

  bool operator==(const CapacityTarget&) const = default;
};

/// Knobs of a CapacityPlanner.
struct CapacityPlannerSettings {
  CapacityMode mode = CapacityMode::kHold;
  /// Ordered beyond the baseline at most, which bounds what a misjudged demand can cost.
  std::uint32_t maxExtraPercent = 50;
  /// Of what is ordered beyond the baseline: preemptible, as they cost less. The rest stays when
  /// a zone's are withdrawn.
  std::uint32_t preemptiblePercent = 50;
  /// More than is wanted is kept so long after the last that left; then one is given back.
  base::Duration keepUnused = base::seconds(30);
  /// Without any open work for so long, the baseline is given back too, down to the minimum.
  base::Duration longIdle = base::seconds(600);
};

/// Deterministic; one for each service. Never names fewer than there are, but to give one back.
class CapacityPlanner {
 public:
  explicit CapacityPlanner(CapacityPlannerSettings settings)
      : m_settings(settings), m_policy(CapacityPolicy::make(settings.mode)) {}

  /// Targets that differ from what is there or coming.
  [[nodiscard]] std::vector<CapacityTarget> step(const CapacityInputs& inputs);
  /// Instances that were last wanted, in all zones.
  [[nodiscard]] std::uint32_t wanted() const { return m_wanted; }

 private:
  struct ZonePlan;

  [[nodiscard]] bool longIdle(const CapacityInputs& inputs) const;
  /// Nothing shows that there is work, and a long idle service gave instances of its baseline back:
  /// they stay away.
  [[nodiscard]] static bool isResting(const CapacityInputs& inputs);
  /// Of `baseline` instances, those that are kept.
  [[nodiscard]] std::uint32_t keptOf(std::uint32_t baseline, const PoolCounts& kind,
                                     const CapacityInputs& inputs) const;
  /// Ordinary instances that a zone keeps.
  [[nodiscard]] std::uint32_t floorOf(const ZoneCounts& zone, const CapacityInputs& inputs) const;
  /// Instances of both kinds that a service keeps, in whatever zones.
  [[nodiscard]] std::uint32_t keptOf(const CapacityInputs& inputs) const;
  [[nodiscard]] std::vector<ZonePlan> hold(const CapacityInputs& inputs) const;
  void noteDemand(const CapacityInputs& inputs);
  [[nodiscard]] std::uint32_t wantedNow(const CapacityInputs& inputs);
  void add(std::vector<ZonePlan>& plans, std::uint32_t missing, const CapacityInputs& inputs) const;
  [[nodiscard]] static std::optional<CapacityTarget> dearest(const std::vector<ZonePlan>& plans);
  [[nodiscard]] std::optional<CapacityTarget> giveBack(const std::vector<ZonePlan>& plans,
                                                       const CapacityInputs& inputs);

  const CapacityPlannerSettings m_settings;
  const std::unique_ptr<CapacityPolicy> m_policy;
  std::uint32_t m_wanted = 0;
  std::optional<base::TimePoint> m_idleSince;    ///< there is no open work since then
  std::optional<base::TimePoint> m_unusedSince;  ///< there is more than is wanted since then
  std::optional<CapacityTarget> m_givingBack;    ///< until it has left
};

}  // namespace tackpick::duties
