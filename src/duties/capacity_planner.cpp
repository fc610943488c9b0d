#include "duties/capacity_planner.h"

#include <algorithm>
#include <numeric>

namespace tackpick::duties {
namespace {

constexpr std::uint32_t kWholePercent = 100;

double priceOf(const std::string& zone, const Scaling& scaling) {
  const auto price = scaling.zonePrices.find(zone);
  return price == scaling.zonePrices.end() ? 1 : price->second;
}

std::uint32_t difference(std::uint32_t from, std::uint32_t other) {
  return from - std::min(from, other);
}

/// Many at once are more likely to be cut off from the controllers than lost.
bool silenceIsCredible(const CapacityInputs& inputs) {
  constexpr std::uint32_t kMaxSilent = 3;  // one in so many
  std::uint32_t unresponsive = 0;
  std::uint32_t there = 0;
  for (const ZoneCounts& zone : inputs.zones) {
    unresponsive += zone.unresponsive;
    there += zone.onDemand.there + zone.preemptible.there;
  }
  return inputs.settled && unresponsive * kMaxSilent <= there;
}

/// Those of the target's zone and kind that are there.
std::uint32_t thereOf(const CapacityTarget& target, const std::vector<ZoneCounts>& zones) {
  const auto zone = std::find_if(zones.begin(), zones.end(), [&](const ZoneCounts& candidate) {
    return candidate.zone == target.zone;
  });
  if (zone == zones.end()) {
    return 0;
  }
  return target.kind == InstanceKind::kOnDemand ? zone->onDemand.there : zone->preemptible.there;
}

}  // namespace

/// What a zone gets, as far as it is decided.
struct CapacityPlanner::ZonePlan {
  const ZoneCounts* counts = nullptr;
  double price = 1;
  std::uint32_t floor = 0;  ///< of on-demand instances
  std::uint32_t onDemand = 0;
  std::uint32_t preemptible = 0;

  [[nodiscard]] std::uint32_t total() const { return onDemand + preemptible; }
};

bool CapacityPlanner::longIdle(const CapacityInputs& inputs) const {
  return inputs.demand && m_idleSince && inputs.now - *m_idleSince >= m_settings.longIdle;
}

bool CapacityPlanner::isResting(const CapacityInputs& inputs) {
  const bool hasWork = inputs.demand && !inputs.demand->idle();
  return !hasWork &&
         std::any_of(inputs.zones.begin(), inputs.zones.end(), [&](const ZoneCounts& zone) {
           return zone.onDemand.asked &&
                  zone.onDemand.desired < std::min(zone.baseline, inputs.scaling.maximum);
         });
}

std::uint32_t CapacityPlanner::keptOf(std::uint32_t baseline, const PoolCounts& kind,
                                      const CapacityInputs& inputs) const {
  if (longIdle(inputs)) {
    return 0;
  }
  return kind.asked && isResting(inputs) ? std::min(baseline, kind.desired) : baseline;
}

std::uint32_t CapacityPlanner::floorOf(const ZoneCounts& zone, const CapacityInputs& inputs) const {
  const std::uint32_t kept = keptOf(zone.baseline, zone.onDemand, inputs);
  return std::clamp(kept, inputs.scaling.minimum, inputs.scaling.maximum);
}

std::uint32_t CapacityPlanner::keptOf(const CapacityInputs& inputs) const {
  std::uint32_t kept = 0;
  for (const ZoneCounts& zone : inputs.zones) {
    const std::uint32_t preemptible = keptOf(zone.preemptibleBaseline, zone.preemptible, inputs);
    kept += std::min(floorOf(zone, inputs) + preemptible, inputs.scaling.maximum);
  }
  return kept;
}

/// What there is, what was there before the first call, and one for each that seems lost.
std::vector<CapacityPlanner::ZonePlan> CapacityPlanner::hold(const CapacityInputs& inputs) const {
  const bool replaceSilent = silenceIsCredible(inputs);
  std::vector<ZonePlan> plans;
  for (const ZoneCounts& zone : inputs.zones) {
    ZonePlan plan;
    plan.counts = &zone;
    plan.price = priceOf(zone.zone, inputs.scaling);
    plan.floor = floorOf(zone, inputs);
    plan.preemptible = zone.preemptible.coming();
    const std::uint32_t room = difference(inputs.scaling.maximum, plan.preemptible);
    const std::uint32_t lost = replaceSilent ? zone.unresponsive : 0;
    const std::uint32_t asked = std::max(zone.onDemand.desired, plan.floor + lost);
    plan.onDemand = std::max(zone.onDemand.coming(), std::min(asked, room));
    plans.push_back(plan);
  }
  std::stable_sort(plans.begin(), plans.end(),
                   [](const ZonePlan& a, const ZonePlan& b) { return a.price < b.price; });
  return plans;
}

void CapacityPlanner::noteDemand(const CapacityInputs& inputs) {
  if (!inputs.demand || !inputs.demand->idle()) {
    m_idleSince.reset();
  } else if (!m_idleSince) {
    m_idleSince = inputs.now;
  }
}

std::uint32_t CapacityPlanner::wantedNow(const CapacityInputs& inputs) {
  const std::uint32_t kept = keptOf(inputs);
  std::uint32_t asked = 0;
  for (const ZoneCounts& zone : inputs.zones) {
    asked += zone.onDemand.desired + zone.preemptible.desired;
  }
  const std::uint32_t most = kept + kept * m_settings.maxExtraPercent / kWholePercent;
  if (!inputs.demand) {
    // Who follows a lost leader, or hears nothing, keeps to what was asked for.
    return std::clamp(std::max(asked, m_wanted), kept, most);
  }
  const std::uint32_t requiredSlots = m_policy->targetSlots(*inputs.demand, inputs.now);
  const std::uint32_t slots = std::max(inputs.slots, 1U);
  return std::clamp((requiredSlots + slots - 1) / slots, kept, most);
}

/// One instance after the other, each in the next zone by price, so that no zone carries them all.
void CapacityPlanner::add(std::vector<ZonePlan>& plans, std::uint32_t missing,
                          const CapacityInputs& inputs) const {
  std::uint32_t preemptible = 0;
  std::uint32_t share = 0;
  for (const ZonePlan& plan : plans) {
    preemptible += plan.preemptible;
    share += plan.counts->preemptibleBaseline;
  }
  const std::uint32_t extra = difference(m_wanted, keptOf(inputs));
  share += extra * m_settings.preemptiblePercent / kWholePercent;
  std::uint32_t cheaper = std::min(missing, difference(share, preemptible));
  const auto spread = [&](std::uint32_t& count, auto take) {
    for (bool took = true; took && count > 0;) {
      took = false;
      for (ZonePlan& plan : plans) {
        if (count > 0 && plan.total() < inputs.scaling.maximum && take(plan)) {
          --count;
          took = true;
        }
      }
    }
  };
  const std::uint32_t planned = cheaper;
  spread(cheaper, [](ZonePlan& plan) {
    plan.preemptible += plan.counts->preemptible.unavailable ? 0 : 1;
    return !plan.counts->preemptible.unavailable;
  });
  std::uint32_t rest = missing - (planned - cheaper);
  spread(rest, [](ZonePlan& plan) {
    ++plan.onDemand;
    return true;
  });
}

/// Ordinary ones of the dearest zone first.
std::optional<CapacityTarget> CapacityPlanner::dearest(const std::vector<ZonePlan>& plans) {
  for (auto plan = plans.rbegin(); plan != plans.rend(); ++plan) {
    const std::uint32_t onDemand = plan->counts->onDemand.there;
    if (onDemand > plan->floor) {
      return CapacityTarget{plan->counts->zone, InstanceKind::kOnDemand, onDemand - 1, true};
    }
  }
  for (auto plan = plans.rbegin(); plan != plans.rend(); ++plan) {
    const std::uint32_t preemptible = plan->counts->preemptible.there;
    if (preemptible > 0) {
      return CapacityTarget{plan->counts->zone, InstanceKind::kPreemptible, preemptible - 1, true};
    }
  }
  return std::nullopt;
}

std::optional<CapacityTarget> CapacityPlanner::giveBack(const std::vector<ZonePlan>& plans,
                                                        const CapacityInputs& inputs) {
  std::uint32_t there = 0;
  bool quiet = inputs.settled && inputs.demand.has_value();
  for (const ZonePlan& plan : plans) {
    const ZoneCounts& zone = *plan.counts;
    there += zone.onDemand.there + zone.preemptible.there;
    quiet = quiet && zone.unresponsive == 0 && zone.draining == 0 && zone.onDemand.starting == 0 &&
            zone.preemptible.starting == 0;
  }
  if (!quiet || there <= m_wanted) {
    m_unusedSince.reset();
    m_givingBack.reset();
    return std::nullopt;
  }
  if (m_givingBack) {
    const std::uint32_t left = thereOf(*m_givingBack, inputs.zones);
    if (left <= m_givingBack->count) {
      m_givingBack.reset();
      m_unusedSince = inputs.now;
    } else if (left > m_givingBack->count + 1) {
      m_givingBack.reset();  // others came: that count would take several away
    }
  }
  m_unusedSince = m_unusedSince.value_or(inputs.now);
  if (inputs.now - *m_unusedSince < m_settings.keepUnused) {
    return std::nullopt;
  }
  // The same until it has gone: then something leaves, and the time begins anew.
  if (!m_givingBack) {
    m_givingBack = dearest(plans);
  }
  return m_givingBack;
}

std::vector<CapacityTarget> CapacityPlanner::step(const CapacityInputs& inputs) {
  if (m_policy == nullptr) {
    return {};
  }
  noteDemand(inputs);
  m_wanted = wantedNow(inputs);
  std::vector<ZonePlan> plans = hold(inputs);
  const std::uint32_t held =
      std::accumulate(plans.begin(), plans.end(), 0U,
                      [](std::uint32_t sum, const ZonePlan& plan) { return sum + plan.total(); });
  add(plans, difference(m_wanted, held), inputs);
  std::vector<CapacityTarget> targets;
  for (const ZonePlan& plan : plans) {
    const ZoneCounts& zone = *plan.counts;
    if (plan.onDemand > zone.onDemand.there) {
      targets.push_back({zone.zone, InstanceKind::kOnDemand, plan.onDemand});
    }
    if (plan.preemptible > zone.preemptible.there) {
      targets.push_back({zone.zone, InstanceKind::kPreemptible, plan.preemptible});
    }
  }
  if (const auto less = giveBack(plans, inputs)) {
    targets.push_back(*less);
  }
  return targets;
}

}  // namespace tackpick::duties
