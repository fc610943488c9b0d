#include "duties/capacity_planner.h"

#include <algorithm>
#include <numeric>

namespace tackpick::duties {
namespace {

constexpr std::uint32_t kHundredPercent = 100;

double priceOf(const std::string& zone, const Scaling& scaling) {
  const auto price = scaling.zonePrices.find(zone);
  return price == scaling.zonePrices.end() ? 1 : price->second;
}

std::uint32_t saturatingSubtract(std::uint32_t from, std::uint32_t other) {
  return from - std::min(from, other);
}

/// Whether to replace unresponsive instances. If many instances are unresponsive, a partition
/// between them and the controllers is more likely than their loss.
bool shouldReplaceUnresponsive(const CapacityInputs& inputs) {
  constexpr std::uint32_t kMinActivePerUnresponsive = 3;
  std::uint32_t unresponsive = 0;
  std::uint32_t active = 0;
  for (const ZoneCounts& zone : inputs.zones) {
    unresponsive += zone.unresponsive;
    active += zone.onDemand.active + zone.preemptible.active;
  }
  return inputs.warmedUp && unresponsive * kMinActivePerUnresponsive <= active;
}

/// Returns the number of active instances in the pool of the target.
std::uint32_t activeCount(const CapacityTarget& target, const std::vector<ZoneCounts>& zones) {
  const auto zone = std::find_if(zones.begin(), zones.end(), [&](const ZoneCounts& candidate) {
    return candidate.zone == target.zone;
  });
  if (zone == zones.end()) {
    return 0;
  }
  return target.kind == InstanceKind::kOnDemand ? zone->onDemand.active : zone->preemptible.active;
}

}  // namespace

/// Planned instances of a zone.
struct CapacityPlanner::ZonePlan {
  const ZoneCounts* counts = nullptr;
  double price = 1;
  std::uint32_t minOnDemand = 0;  ///< minimum number of on-demand instances
  std::uint32_t onDemand = 0;
  std::uint32_t preemptible = 0;

  [[nodiscard]] std::uint32_t total() const { return onDemand + preemptible; }
};

bool CapacityPlanner::isIdleTimeoutExpired(const CapacityInputs& inputs) const {
  return inputs.demand && m_idleSince && inputs.now - *m_idleSince >= m_settings.idleTimeout;
}

bool CapacityPlanner::isScaledBelowBaseline(const CapacityInputs& inputs) {
  const bool hasWork = inputs.demand && !inputs.demand->idle();
  return !hasWork &&
         std::any_of(inputs.zones.begin(), inputs.zones.end(), [&](const ZoneCounts& zone) {
           return zone.onDemand.requested &&
                  zone.onDemand.desired < std::min(zone.baseline, inputs.scaling.maxInstances);
         });
}

std::uint32_t CapacityPlanner::retainedCount(std::uint32_t baseline, const PoolCounts& counts,
                                             const CapacityInputs& inputs) const {
  if (isIdleTimeoutExpired(inputs)) {
    return 0;
  }
  return counts.requested && isScaledBelowBaseline(inputs) ? std::min(baseline, counts.desired)
                                                           : baseline;
}

std::uint32_t CapacityPlanner::minOnDemandOf(const ZoneCounts& zone,
                                             const CapacityInputs& inputs) const {
  const std::uint32_t retained = retainedCount(zone.baseline, zone.onDemand, inputs);
  return std::clamp(retained, inputs.scaling.minInstances, inputs.scaling.maxInstances);
}

std::uint32_t CapacityPlanner::retainedTotal(const CapacityInputs& inputs) const {
  std::uint32_t total = 0;
  for (const ZoneCounts& zone : inputs.zones) {
    const std::uint32_t preemptible =
        retainedCount(zone.preemptibleBaseline, zone.preemptible, inputs);
    total += std::min(minOnDemandOf(zone, inputs) + preemptible, inputs.scaling.maxInstances);
  }
  return total;
}

std::vector<CapacityPlanner::ZonePlan> CapacityPlanner::currentPlans(
    const CapacityInputs& inputs) const {
  const bool replaceUnresponsive = shouldReplaceUnresponsive(inputs);
  std::vector<ZonePlan> plans;
  for (const ZoneCounts& zone : inputs.zones) {
    ZonePlan plan;
    plan.counts = &zone;
    plan.price = priceOf(zone.zone, inputs.scaling);
    plan.minOnDemand = minOnDemandOf(zone, inputs);
    plan.preemptible = zone.preemptible.provisioned();
    const std::uint32_t room = saturatingSubtract(inputs.scaling.maxInstances, plan.preemptible);
    const std::uint32_t replacements = replaceUnresponsive ? zone.unresponsive : 0;
    const std::uint32_t requestedCount =
        std::max(zone.onDemand.desired, plan.minOnDemand + replacements);
    plan.onDemand = std::max(zone.onDemand.provisioned(), std::min(requestedCount, room));
    plans.push_back(plan);
  }
  std::stable_sort(plans.begin(), plans.end(),
                   [](const ZonePlan& a, const ZonePlan& b) { return a.price < b.price; });
  return plans;
}

void CapacityPlanner::updateIdleSince(const CapacityInputs& inputs) {
  if (!inputs.demand || !inputs.demand->idle()) {
    m_idleSince.reset();
  } else if (!m_idleSince) {
    m_idleSince = inputs.now;
  }
}

std::uint32_t CapacityPlanner::computeTargetCount(const CapacityInputs& inputs) {
  const std::uint32_t retained = retainedTotal(inputs);
  std::uint32_t requestedTotal = 0;
  for (const ZoneCounts& zone : inputs.zones) {
    requestedTotal += zone.onDemand.desired + zone.preemptible.desired;
  }
  const std::uint32_t maxCount = retained + retained * m_settings.maxExtraPercent / kHundredPercent;
  if (!inputs.demand) {
    // Without a report of open jobs, for instance after a change of leader, keep the requested
    // count.
    return std::clamp(std::max(requestedTotal, m_targetCount), retained, maxCount);
  }
  const std::uint32_t requiredSlots = m_policy->targetSlots(*inputs.demand, inputs.now);
  const std::uint32_t slots = std::max(inputs.slots, 1U);
  return std::clamp((requiredSlots + slots - 1) / slots, retained, maxCount);
}

void CapacityPlanner::addInstances(std::vector<ZonePlan>& plans, std::uint32_t missing,
                                   const CapacityInputs& inputs) const {
  std::uint32_t preemptible = 0;
  std::uint32_t preemptibleTarget = 0;
  for (const ZonePlan& plan : plans) {
    preemptible += plan.preemptible;
    preemptibleTarget += plan.counts->preemptibleBaseline;
  }
  const std::uint32_t extra = saturatingSubtract(m_targetCount, retainedTotal(inputs));
  preemptibleTarget += extra * m_settings.preemptiblePercent / kHundredPercent;
  std::uint32_t preemptibleToAdd =
      std::min(missing, saturatingSubtract(preemptibleTarget, preemptible));
  const auto spread = [&](std::uint32_t& count, auto assign) {
    for (bool assigned = true; assigned && count > 0;) {
      assigned = false;
      for (ZonePlan& plan : plans) {
        if (count > 0 && plan.total() < inputs.scaling.maxInstances && assign(plan)) {
          --count;
          assigned = true;
        }
      }
    }
  };
  const std::uint32_t planned = preemptibleToAdd;
  spread(preemptibleToAdd, [](ZonePlan& plan) {
    plan.preemptible += plan.counts->preemptible.unavailable ? 0 : 1;
    return !plan.counts->preemptible.unavailable;
  });
  std::uint32_t onDemandToAdd = missing - (planned - preemptibleToAdd);
  spread(onDemandToAdd, [](ZonePlan& plan) {
    ++plan.onDemand;
    return true;
  });
}

std::optional<CapacityTarget> CapacityPlanner::selectScaleInTarget(
    const std::vector<ZonePlan>& plans) {
  for (auto plan = plans.rbegin(); plan != plans.rend(); ++plan) {
    const std::uint32_t onDemand = plan->counts->onDemand.active;
    if (onDemand > plan->minOnDemand) {
      return CapacityTarget{plan->counts->zone, InstanceKind::kOnDemand, onDemand - 1, true};
    }
  }
  for (auto plan = plans.rbegin(); plan != plans.rend(); ++plan) {
    const std::uint32_t preemptible = plan->counts->preemptible.active;
    if (preemptible > 0) {
      return CapacityTarget{plan->counts->zone, InstanceKind::kPreemptible, preemptible - 1, true};
    }
  }
  return std::nullopt;
}

std::optional<CapacityTarget> CapacityPlanner::scaleIn(const std::vector<ZonePlan>& plans,
                                                       const CapacityInputs& inputs) {
  std::uint32_t active = 0;
  bool stable = inputs.warmedUp && inputs.demand.has_value();
  for (const ZonePlan& plan : plans) {
    const ZoneCounts& zone = *plan.counts;
    active += zone.onDemand.active + zone.preemptible.active;
    stable = stable && zone.unresponsive == 0 && zone.draining == 0 &&
             zone.onDemand.starting == 0 && zone.preemptible.starting == 0;
  }
  if (!stable || active <= m_targetCount) {
    m_surplusSince.reset();
    m_scaleInTarget.reset();
    return std::nullopt;
  }
  if (m_scaleInTarget) {
    const std::uint32_t poolActive = activeCount(*m_scaleInTarget, inputs.zones);
    if (poolActive <= m_scaleInTarget->count) {
      m_scaleInTarget.reset();
      m_surplusSince = inputs.now;
    } else if (poolActive > m_scaleInTarget->count + 1) {
      // More instances became active, so the earlier target would release more than one.
      m_scaleInTarget.reset();
    }
  }
  m_surplusSince = m_surplusSince.value_or(inputs.now);
  if (inputs.now - *m_surplusSince < m_settings.scaleInCooldown) {
    return std::nullopt;
  }
  // Keep the same target until its instance has left; then the cooldown restarts.
  if (!m_scaleInTarget) {
    m_scaleInTarget = selectScaleInTarget(plans);
  }
  return m_scaleInTarget;
}

std::vector<CapacityTarget> CapacityPlanner::step(const CapacityInputs& inputs) {
  if (m_policy == nullptr) {
    return {};
  }
  updateIdleSince(inputs);
  m_targetCount = computeTargetCount(inputs);
  std::vector<ZonePlan> plans = currentPlans(inputs);
  const std::uint32_t plannedTotal =
      std::accumulate(plans.begin(), plans.end(), 0U,
                      [](std::uint32_t sum, const ZonePlan& plan) { return sum + plan.total(); });
  addInstances(plans, saturatingSubtract(m_targetCount, plannedTotal), inputs);
  std::vector<CapacityTarget> targets;
  for (const ZonePlan& plan : plans) {
    const ZoneCounts& zone = *plan.counts;
    if (plan.onDemand > zone.onDemand.active) {
      targets.push_back({zone.zone, InstanceKind::kOnDemand, plan.onDemand});
    }
    if (plan.preemptible > zone.preemptible.active) {
      targets.push_back({zone.zone, InstanceKind::kPreemptible, plan.preemptible});
    }
  }
  if (const auto scaleInTarget = scaleIn(plans, inputs)) {
    targets.push_back(*scaleInTarget);
  }
  return targets;
}

}  // namespace tackpick::duties
