#include "routing/engine_selector.h"

#include <algorithm>

namespace tackpick::routing {

std::optional<base::EngineId> EngineSelector::select(const EngineTable& table,
                                                     const OutlierDetector& outliers,
                                                     const EngineDemand& demand,
                                                     base::TimePoint now) {
  std::vector<const EngineEntry*> usable;
  for (const auto& [id, entry] : table.entries()) {
    if (table.isEligible(entry, demand.model, demand.minimumVersion, now) &&
        !outliers.isEjected(id, now) && !demand.excluded.contains(id) &&
        hasFreeSlot(entry, outliers, demand)) {
      usable.push_back(&entry);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  if (settings_.policy == SelectionPolicy::kRoundRobin) {
    return usable[turn_++ % usable.size()]->record.engine;
  }
  // Two random choices keep many gateways with equally old reports from all choosing the engine
  // that looked emptiest; the engine with the best cached prefix joins as a third.
  std::vector<const EngineEntry*> drawn = {usable[random_.below(usable.size())],
                                           usable[random_.below(usable.size())]};
  if (!demand.prefixBlocks.empty()) {
    drawn.push_back(*std::min_element(usable.begin(), usable.end(),
                                      [&](const EngineEntry* left, const EngineEntry* right) {
                                        return cost(*left, demand) < cost(*right, demand);
                                      }));
  }
  const auto best = std::min_element(drawn.begin(), drawn.end(),
                                     [&](const EngineEntry* left, const EngineEntry* right) {
                                       return cost(*left, demand) < cost(*right, demand);
                                     });
  return (*best)->record.engine;
}

bool EngineSelector::hasFreeSlot(const EngineEntry& entry, const OutlierDetector& outliers,
                                 const EngineDemand& demand) const {
  if (outliers.onProbation(entry.record.engine) && entry.inFlight > 0) {
    return false;
  }
  const double allowed = entry.status.slots * (demand.urgent ? settings_.urgentOvercommit : 1.0);
  return EngineTable::load(entry) < allowed;
}

double EngineSelector::cost(const EngineEntry& entry, const EngineDemand& demand) const {
  const double slots = std::max<std::uint32_t>(entry.status.slots, 1);
  double cost = EngineTable::load(entry) / slots;
  if (entry.record.zone != settings_.zone) {
    cost += settings_.zonePenalty;
  }
  if (!demand.prefixBlocks.empty()) {
    std::size_t matched = 0;
    while (matched < demand.prefixBlocks.size() &&
           entry.cachedBlocks.contains(demand.prefixBlocks[matched])) {
      ++matched;
    }
    cost -= settings_.affinityBonus * static_cast<double>(matched) /
            static_cast<double>(demand.prefixBlocks.size());
  }
  return cost;
}

}  // namespace tackpick::routing
