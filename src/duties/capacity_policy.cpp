#include "duties/capacity_policy.h"

#include <algorithm>
#include <utility>

namespace tackpick::duties {
namespace {

/// Returns the number of waiting items beyond the free slots. If slots are free, items wait because
/// weights are being loaded, which additional engines do not accelerate.
std::uint32_t slotShortage(const CapacityDemand& demand) {
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  for (const auto& [model, openJobs] : demand.openJobs) {
    for (const jobs::OpenJob& job : openJobs) {
      waiting += job.waiting;
      running += job.items - std::min(job.items, job.waiting);
    }
  }
  const std::uint32_t free = demand.activeSlots - std::min(demand.activeSlots, running);
  return waiting - std::min(waiting, free);
}

}  // namespace

std::unique_ptr<CapacityPolicy> CapacityPolicy::make(CapacityMode mode) {
  switch (mode) {
    case CapacityMode::kFixed:
      return nullptr;
    case CapacityMode::kReactive:
      return std::make_unique<ReactivePolicy>();
    case CapacityMode::kPredictive:
      return std::make_unique<PredictivePolicy>();
  }
  return nullptr;
}

std::uint32_t ReactivePolicy::sustainedShortage(const CapacityDemand& demand, base::TimePoint now) {
  // The duration of a shortage is measured between reports, so that repeated evaluation of the
  // same report does not extend it.
  const base::TimePoint reportedAt = now - demand.reportAge;
  const std::uint32_t shortage = slotShortage(demand);
  if (shortage == 0) {
    m_shortageSince.reset();
    return 0;
  }
  if (!m_shortageSince) {
    m_shortageSince = reportedAt;
    m_minShortage = shortage;
  }
  m_minShortage = std::min(m_minShortage, shortage);
  if (reportedAt - *m_shortageSince < m_settings.stabilizationWindow) {
    return 0;
  }
  m_shortageSince = reportedAt;
  return std::exchange(m_minShortage, shortage);
}

std::uint32_t ReactivePolicy::targetSlots(const CapacityDemand& demand, base::TimePoint now) {
  const std::uint32_t shortage = sustainedShortage(demand, now);
  const std::uint32_t target = shortage == 0 ? 0 : demand.activeSlots + shortage;
  if (target >= m_peak || now - m_peakAt > m_settings.peakRetention) {
    m_peak = target;
    m_peakAt = now;
  }
  return m_peak;
}

void PredictivePolicy::recordLargestSteps(const jobs::OpenJobsByModel& openJobs,
                                          base::TimePoint now) {
  for (const auto& [model, modelJobs] : openJobs) {
    for (const jobs::OpenJob& job : modelJobs) {
      StepSize& largest = m_largestSteps[model];
      const bool expired = now - largest.seenAt > m_settings.stepRetention;
      if (job.items >= largest.items || expired) {
        largest = {job.items, now};
      }
    }
  }
  std::erase_if(m_largestSteps, [&](const auto& entry) {
    return now - entry.second.seenAt > m_settings.stepRetention;
  });
}

std::uint32_t PredictivePolicy::targetSlots(const CapacityDemand& demand, base::TimePoint now) {
  recordLargestSteps(demand.openJobs, now);
  std::uint32_t expected = 0;
  for (const auto& [model, step] : m_largestSteps) {
    expected += step.items;
  }
  return std::max(expected, m_reactivePolicy.targetSlots(demand, now));
}

}  // namespace tackpick::duties
