#include "directory/engine_requirements.h"

#include <algorithm>

namespace tackpick::directory {

void EngineRequirements::note(const OpenItems& items, base::TimePoint now) {
  for (const auto& [model, open] : items) {
    noteModel(m_peaks[model], open, now);
  }
  for (auto& [model, peak] : m_peaks) {
    if (!items.contains(model)) {
      noteModel(peak, 0, now);
    }
  }
  std::erase_if(m_peaks, [](const auto& entry) { return entry.second.items == 0; });
}

void EngineRequirements::noteModel(Peak& peak, std::uint32_t open, base::TimePoint now) const {
  if (open >= peak.items) {
    peak = {open, 0, now};
    return;
  }
  peak.since = std::max(peak.since, open);
  if (now - peak.at > m_settings.memory) {
    peak = {peak.since, open, now};
  }
}

std::uint32_t EngineRequirements::openItems(const std::string& model) const {
  const auto found = m_peaks.find(model);
  return found == m_peaks.end() ? 0 : found->second.items;
}

std::size_t EngineRequirements::of(const std::string& model, std::uint32_t slots) const {
  const auto found = m_peaks.find(model);
  if (found == m_peaks.end()) {
    return m_settings.minEngines;
  }
  constexpr std::uint32_t kWholePercent = 100;
  const std::uint32_t perEngine = std::max(slots, 1U) * kWholePercent;
  const std::uint32_t requiredSlots = found->second.items * m_settings.headroomPercent;
  return std::max<std::size_t>(m_settings.minEngines, (requiredSlots + perEngine - 1) / perEngine);
}

}  // namespace tackpick::directory
