#include "duties/capacity_policy.h"

#include <algorithm>

namespace tackpick::duties {
namespace {

/// Waiting items for which there is no place, or none that they may use.
std::uint32_t itemsAtRisk(const CapacityDemand& demand, base::Duration patience) {
  std::uint32_t waited = 0;
  std::uint32_t urgent = 0;  // late by the time a new instance serves
  std::uint32_t running = 0;
  for (const auto& [model, works] : demand.works) {
    for (const jobs::OpenWork& work : works) {
      waited += work.age > patience ? work.waiting : 0;
      urgent += work.slack < demand.startTime ? work.waiting : 0;
      running += work.items - std::min(work.items, work.waiting);
    }
  }
  const std::uint32_t free = demand.placesThere - std::min(demand.placesThere, running);
  return std::max(waited, urgent - std::min(urgent, free));
}

}  // namespace

std::unique_ptr<CapacityPolicy> CapacityPolicy::make(CapacityMode mode) {
  switch (mode) {
    case CapacityMode::kHold:
      return nullptr;
    case CapacityMode::kWaitingWork:
      return std::make_unique<FollowWaitingWork>();
    case CapacityMode::kExpectedSteps:
      return std::make_unique<FollowExpectedSteps>();
  }
  return nullptr;
}

std::uint32_t FollowWaitingWork::placesWanted(const CapacityDemand& demand, base::TimePoint now) {
  const std::uint32_t atRisk = itemsAtRisk(demand, m_settings.patience);
  const std::uint32_t wanted = atRisk == 0 ? 0 : demand.placesThere + atRisk;
  if (wanted >= m_peak || now - m_peakAt > m_settings.memory) {
    m_peak = wanted;
    m_peakAt = now;
  }
  return m_peak;
}

void FollowExpectedSteps::note(const jobs::OpenWorks& works, base::TimePoint now) {
  for (const auto& [model, open] : works) {
    for (const jobs::OpenWork& work : open) {
      Step& largest = m_largest[model];
      const bool old = now - largest.seenAt > m_settings.memory;
      if (work.items >= largest.items || old) {
        largest = {work.items, now};
      }
    }
  }
  std::erase_if(m_largest,
                [&](const auto& entry) { return now - entry.second.seenAt > m_settings.memory; });
}

std::uint32_t FollowExpectedSteps::placesWanted(const CapacityDemand& demand, base::TimePoint now) {
  note(demand.works, now);
  std::uint32_t expected = 0;
  for (const auto& [model, step] : m_largest) {
    expected += step.items;
  }
  return std::max(expected, m_waiting.placesWanted(demand, now));
}

}  // namespace tackpick::duties
