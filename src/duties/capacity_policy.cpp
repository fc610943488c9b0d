#include "duties/capacity_policy.h"

#include <algorithm>
#include <utility>

namespace tackpick::duties {
namespace {

/// Waiting items beyond the free slots. Items that wait although slots are free wait for weights:
/// more engines would share the same loads.
std::uint32_t shortageOf(const CapacityDemand& demand) {
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  for (const auto& [model, works] : demand.works) {
    for (const jobs::OpenJob& work : works) {
      waiting += work.waiting;
      running += work.items - std::min(work.items, work.waiting);
    }
  }
  const std::uint32_t free = demand.activeSlots - std::min(demand.activeSlots, running);
  return waiting - std::min(waiting, free);
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

std::uint32_t FollowWaitingWork::lastingShortage(const CapacityDemand& demand,
                                                 base::TimePoint now) {
  // The same figures, seen again, are no news.
  const base::TimePoint reportedAt = now - demand.reportAge;
  const std::uint32_t shortage = shortageOf(demand);
  if (shortage == 0) {
    m_shortSince.reset();
    return 0;
  }
  if (!m_shortSince) {
    m_shortSince = reportedAt;
    m_minShortage = shortage;
  }
  m_minShortage = std::min(m_minShortage, shortage);
  if (reportedAt - *m_shortSince < m_settings.patience) {
    return 0;
  }
  m_shortSince = reportedAt;
  return std::exchange(m_minShortage, shortage);
}

std::uint32_t FollowWaitingWork::targetSlots(const CapacityDemand& demand, base::TimePoint now) {
  const std::uint32_t shortage = lastingShortage(demand, now);
  const std::uint32_t wanted = shortage == 0 ? 0 : demand.activeSlots + shortage;
  if (wanted >= m_peak || now - m_peakAt > m_settings.memory) {
    m_peak = wanted;
    m_peakAt = now;
  }
  return m_peak;
}

void FollowExpectedSteps::note(const jobs::OpenJobsByModel& works, base::TimePoint now) {
  for (const auto& [model, open] : works) {
    for (const jobs::OpenJob& work : open) {
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

std::uint32_t FollowExpectedSteps::targetSlots(const CapacityDemand& demand, base::TimePoint now) {
  note(demand.works, now);
  std::uint32_t expected = 0;
  for (const auto& [model, step] : m_largest) {
    expected += step.items;
  }
  return std::max(expected, m_waiting.targetSlots(demand, now));
}

}  // namespace tackpick::duties
