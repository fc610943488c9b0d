/// \file
/// InstanceTable: which instance takes a request.
#include <algorithm>
#include <array>

#include "base/random.h"
#include "forwarding/instance_table.h"

namespace tackpick::forwarding {
namespace {

/// Instances drawn at random, of which the cheapest is taken.
constexpr int kDraws = 2;
constexpr int kDrawsWhenLong = 6;

}  // namespace

const InstanceEntry* InstanceTable::drawCheaper(const std::vector<const InstanceEntry*>& candidates,
                                                int draws, const InstanceRequirements& need,
                                                base::Random& random, base::TimePoint now) const {
  const InstanceEntry* best = nullptr;
  for (int draw = 0; draw < draws && !candidates.empty(); ++draw) {
    const InstanceEntry* drawn = candidates[random.below(candidates.size())];
    if (best == nullptr || cost(*drawn, need, now) < cost(*best, need, now)) {
      best = drawn;
    }
  }
  return best;
}

const InstanceEntry* InstanceTable::findFaster(const InstanceRequirements& need,
                                               const std::string& current, double gain,
                                               base::Random& random, base::TimePoint now) const {
  const InstanceEntry* here = find(current);
  return here == nullptr || here->eventIntervalMs <= 0
             ? nullptr
             : findWithinInterval(need, current, here->eventIntervalMs / gain, random, now);
}

const InstanceEntry* InstanceTable::findWithinInterval(const InstanceRequirements& need,
                                                       const std::string& current,
                                                       double maxEventIntervalMs,
                                                       base::Random& random,
                                                       base::TimePoint now) const {
  const InstanceEntry* here = find(current);
  if (here == nullptr || here->loading) {
    return nullptr;
  }
  std::vector<const InstanceEntry*> faster;
  for (const std::string& id : m_measured) {
    const InstanceEntry& entry = entries_.at(id);
    if (id != current && isSound(entry, need, now) && hasFreeSlot(entry, now) &&
        entry.eventIntervalMs <= maxEventIntervalMs) {
      faster.push_back(&entry);
    }
  }
  return drawCheaper(faster, kDraws, need, random, now);
}

const InstanceEntry* InstanceTable::findIdle(const InstanceRequirements& need,
                                             const std::set<std::string>& tried,
                                             base::Random& random, base::TimePoint now) const {
  std::vector<const InstanceEntry*> idle;
  for (const auto& [id, entry] : instancesOf(need.service)) {
    if (!entry->standby && isSound(*entry, need, now) && hasFreeSlot(*entry, now) &&
        !tried.contains(id)) {
      idle.push_back(entry);
    }
  }
  return drawCheaper(idle, kDraws, need, random, now);
}

const InstanceEntry* InstanceTable::selectFavourite(std::vector<const InstanceEntry*> candidates,
                                                    const InstanceRequirements& need,
                                                    base::TimePoint now) const {
  if (!need.model.empty() || candidates.size() <= settings_.fewInstances) {
    return nullptr;
  }
  const auto last = candidates.begin() + static_cast<std::ptrdiff_t>(settings_.favourites);
  const auto rank = [&](const InstanceEntry* entry) {
    return std::pair(entry->record.zone != settings_.zone, entry->favour);
  };
  std::partial_sort(candidates.begin(), last, candidates.end(),
                    [&](const InstanceEntry* left, const InstanceEntry* right) {
                      return rank(left) < rank(right);
                    });
  const InstanceEntry* best = *std::min_element(
      candidates.begin(), last, [&](const InstanceEntry* left, const InstanceEntry* right) {
        return cost(*left, need, now) < cost(*right, need, now);
      });
  constexpr double kHalf = 0.5;
  const bool busy = busyness(*best, now) + 1 > kHalf * best->record.slots;
  return busy ? nullptr : best;
}

const InstanceEntry* InstanceTable::leastBusy(const std::vector<const InstanceEntry*>& candidates,
                                              base::TimePoint now) {
  const auto least = std::min_element(candidates.begin(), candidates.end(),
                                      [&](const InstanceEntry* left, const InstanceEntry* right) {
                                        return busyness(*left, now) < busyness(*right, now);
                                      });
  return least == candidates.end() ? nullptr : *least;
}

const InstanceEntry* InstanceTable::select(const InstanceRequirements& need,
                                           const std::set<std::string>& tried, base::Random& random,
                                           base::TimePoint now) const {
  // Lower is better: sound, then unresponsive or just full or failed, then tried before.
  enum Rank : std::uint8_t { kSound, kStandby, kUnresponsive, kAvoided, kTried, kRanks };
  std::array<std::vector<const InstanceEntry*>, kRanks> ranked;
  for (const auto& [id, entry] : instancesOf(need.service)) {
    if (!serves(*entry, need)) {
      continue;
    }
    Rank rank = kSound;
    if (tried.contains(id)) {
      rank = kTried;
    } else if (now < entry->avoidUntil || (entry->loading && !need.model.empty())) {
      rank = kAvoided;
    } else if (entry->unresponsive) {
      rank = kUnresponsive;
    } else if (entry->standby) {
      rank = kStandby;
    }
    ranked.at(rank).push_back(entry);
  }
  if (need.alone) {
    return leastBusy(ranked[kSound], now);
  }
  if (const InstanceEntry* favourite = selectFavourite(ranked[kSound], need, now)) {
    return favourite;
  }
  for (const auto& candidates : ranked) {
    if (!candidates.empty()) {
      return drawCheaper(candidates, need.longRunning ? kDrawsWhenLong : kDraws, need, random, now);
    }
  }
  return nullptr;
}

}  // namespace tackpick::forwarding
