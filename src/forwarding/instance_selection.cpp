/// \file
/// InstanceTable: selection of instances.
#include <algorithm>
#include <array>

#include "base/random.h"
#include "forwarding/instance_table.h"

namespace tackpick::forwarding {
namespace {

/// Number of random candidates from which the cheapest is selected.
constexpr int kChoices = 2;
constexpr int kLongRunChoices = 6;

}  // namespace

const InstanceEntry* InstanceTable::pickCheapest(
    const std::vector<const InstanceEntry*>& candidates, int choices,
    const InstanceRequirements& requirements, base::Random& random, base::TimePoint now) const {
  const InstanceEntry* best = nullptr;
  for (int i = 0; i < choices && !candidates.empty(); ++i) {
    const InstanceEntry* candidate = candidates[random.below(candidates.size())];
    if (best == nullptr || cost(*candidate, requirements, now) < cost(*best, requirements, now)) {
      best = candidate;
    }
  }
  return best;
}

const InstanceEntry* InstanceTable::findFaster(const InstanceRequirements& requirements,
                                               const std::string& current, double minSpeedup,
                                               base::Random& random, base::TimePoint now) const {
  const InstanceEntry* currentEntry = find(current);
  return currentEntry == nullptr || currentEntry->eventIntervalMs <= 0
             ? nullptr
             : findWithinInterval(requirements, current, currentEntry->eventIntervalMs / minSpeedup,
                                  random, now);
}

const InstanceEntry* InstanceTable::findWithinInterval(const InstanceRequirements& requirements,
                                                       const std::string& current,
                                                       double maxEventIntervalMs,
                                                       base::Random& random,
                                                       base::TimePoint now) const {
  const InstanceEntry* currentEntry = find(current);
  if (currentEntry == nullptr || currentEntry->loading) {
    return nullptr;
  }
  std::vector<const InstanceEntry*> faster;
  for (const std::string& id : m_measured) {
    const InstanceEntry& entry = m_entries.at(id);
    if (id != current && isEligible(entry, requirements, now) && hasFreeSlot(entry, now) &&
        entry.eventIntervalMs <= maxEventIntervalMs) {
      faster.push_back(&entry);
    }
  }
  return pickCheapest(faster, kChoices, requirements, random, now);
}

const InstanceEntry* InstanceTable::findWithFreeSlot(const InstanceRequirements& requirements,
                                                     const std::set<std::string>& triedInstances,
                                                     base::Random& random,
                                                     base::TimePoint now) const {
  std::vector<const InstanceEntry*> idle;
  for (const auto& [id, entry] : instancesOf(requirements.service)) {
    if (!entry->standby && isEligible(*entry, requirements, now) && hasFreeSlot(*entry, now) &&
        !triedInstances.contains(id)) {
      idle.push_back(entry);
    }
  }
  return pickCheapest(idle, kChoices, requirements, random, now);
}

const InstanceEntry* InstanceTable::selectFromSubset(std::vector<const InstanceEntry*> candidates,
                                                     const InstanceRequirements& requirements,
                                                     base::TimePoint now) const {
  if (!requirements.model.empty() || candidates.size() <= m_settings.subsetThreshold) {
    return nullptr;
  }
  const auto last = candidates.begin() + static_cast<std::ptrdiff_t>(m_settings.subsetSize);
  const auto rank = [&](const InstanceEntry* entry) {
    return std::pair(entry->record.zone != m_settings.zone, entry->subsetHash);
  };
  std::partial_sort(candidates.begin(), last, candidates.end(),
                    [&](const InstanceEntry* left, const InstanceEntry* right) {
                      return rank(left) < rank(right);
                    });
  const InstanceEntry* best = *std::min_element(
      candidates.begin(), last, [&](const InstanceEntry* left, const InstanceEntry* right) {
        return cost(*left, requirements, now) < cost(*right, requirements, now);
      });
  constexpr double kHalf = 0.5;
  const bool busy = activeRequests(*best, now) + 1 > kHalf * best->record.slots;
  return busy ? nullptr : best;
}

const InstanceEntry* InstanceTable::leastLoaded(const std::vector<const InstanceEntry*>& candidates,
                                                base::TimePoint now) {
  const auto minEntry =
      std::min_element(candidates.begin(), candidates.end(),
                       [&](const InstanceEntry* left, const InstanceEntry* right) {
                         return activeRequests(*left, now) < activeRequests(*right, now);
                       });
  return minEntry == candidates.end() ? nullptr : *minEntry;
}

const InstanceEntry* InstanceTable::select(const InstanceRequirements& requirements,
                                           const std::set<std::string>& triedInstances,
                                           base::Random& random, base::TimePoint now) const {
  // Lower ranks are preferred.
  enum Rank : std::uint8_t { kHealthy, kStandby, kUnresponsive, kEjected, kTried, kRankCount };
  std::array<std::vector<const InstanceEntry*>, kRankCount> ranked;
  for (const auto& [id, entry] : instancesOf(requirements.service)) {
    if (!serves(*entry, requirements)) {
      continue;
    }
    Rank rank = kHealthy;
    if (triedInstances.contains(id)) {
      rank = kTried;
    } else if (now < entry->ejectedUntil || (entry->loading && !requirements.model.empty())) {
      rank = kEjected;
    } else if (entry->unresponsive) {
      rank = kUnresponsive;
    } else if (entry->standby) {
      rank = kStandby;
    }
    ranked.at(rank).push_back(entry);
  }
  if (requirements.preferIdle) {
    return leastLoaded(ranked[kHealthy], now);
  }
  if (const InstanceEntry* selected = selectFromSubset(ranked[kHealthy], requirements, now)) {
    return selected;
  }
  for (const auto& candidates : ranked) {
    if (!candidates.empty()) {
      return pickCheapest(candidates, requirements.longRunning ? kLongRunChoices : kChoices,
                          requirements, random, now);
    }
  }
  return nullptr;
}

}  // namespace tackpick::forwarding
