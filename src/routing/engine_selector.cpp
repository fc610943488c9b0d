#include "routing/engine_selector.h"

#include <algorithm>

namespace tackpick::routing {

std::optional<base::EngineId> EngineSelector::select(const EngineTable& table,
                                                     const OutlierDetector& outliers,
                                                     const SelectionCriteria& criteria,
                                                     base::TimePoint now) {
  std::vector<const EngineEntry*> candidates;
  for (const auto& [id, entry] : table.entries()) {
    if (table.isEligible(entry, criteria.model, criteria.minimumVersion, now) &&
        !outliers.isEjected(id, now) && !criteria.excluded.contains(id) &&
        hasFreeSlot(entry, outliers, criteria)) {
      candidates.push_back(&entry);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  if (settings_.policy == SelectionPolicy::kRoundRobin) {
    return candidates[m_nextRoundRobin++ % candidates.size()]->record.engine;
  }
  // Two random choices prevent gateways with equally outdated reports from all selecting the same
  // engine. The engine with the lowest cost is a third choice if the prompt may be cached.
  std::vector<const EngineEntry*> finalists = {candidates[random_.below(candidates.size())],
                                               candidates[random_.below(candidates.size())]};
  if (!criteria.prefixBlockHashes.empty()) {
    finalists.push_back(*std::min_element(candidates.begin(), candidates.end(),
                                          [&](const EngineEntry* left, const EngineEntry* right) {
                                            return cost(*left, criteria) < cost(*right, criteria);
                                          }));
  }
  const auto best = std::min_element(finalists.begin(), finalists.end(),
                                     [&](const EngineEntry* left, const EngineEntry* right) {
                                       return cost(*left, criteria) < cost(*right, criteria);
                                     });
  return (*best)->record.engine;
}

bool EngineSelector::hasFreeSlot(const EngineEntry& entry, const OutlierDetector& outliers,
                                 const SelectionCriteria& criteria) const {
  if (outliers.isHalfOpen(entry.record.engine) && entry.inFlight > 0) {
    return false;
  }
  const double maxLoad =
      entry.status.slots * (criteria.mayPreempt ? settings_.preemptOvercommit : 1.0);
  return EngineTable::load(entry) < maxLoad;
}

double EngineSelector::cost(const EngineEntry& entry, const SelectionCriteria& criteria) const {
  const double slots = std::max<std::uint32_t>(entry.status.slots, 1);
  double cost = EngineTable::load(entry) / slots;
  if (entry.record.zone != settings_.zone) {
    cost += settings_.crossZonePenalty;
  }
  if (!criteria.prefixBlockHashes.empty()) {
    std::size_t matched = 0;
    while (matched < criteria.prefixBlockHashes.size() &&
           entry.cachedBlocks.contains(criteria.prefixBlockHashes[matched])) {
      ++matched;
    }
    cost -= settings_.prefixAffinityBonus * static_cast<double>(matched) /
            static_cast<double>(criteria.prefixBlockHashes.size());
  }
  return cost;
}

}  // namespace tackpick::routing
