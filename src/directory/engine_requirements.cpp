#include "directory/engine_requirements.h"

#include <algorithm>

namespace tackpick::directory {

void EngineRequirements::update(const OpenItems& items, base::TimePoint now) {
  for (const auto& [model, open] : items) {
    updateModel(m_peaks[model], open, now);
  }
  for (auto& [model, peak] : m_peaks) {
    if (!items.contains(model)) {
      updateModel(peak, 0, now);
    }
  }
  std::erase_if(m_peaks, [](const auto& entry) { return entry.second.items == 0; });
}

void EngineRequirements::updateModel(Peak& peak, std::uint32_t open, base::TimePoint now) const {
  if (open >= peak.items) {
    peak = {open, 0, now};
    return;
  }
  peak.laterMax = std::max(peak.laterMax, open);
  if (now - peak.at > m_settings.peakRetention) {
    peak = {peak.laterMax, open, now};
  }
}

std::uint32_t EngineRequirements::openItems(const std::string& model) const {
  const auto found = m_peaks.find(model);
  return found == m_peaks.end() ? 0 : found->second.items;
}

std::size_t EngineRequirements::enginesFor(const std::string& model, std::uint32_t slots) const {
  const auto found = m_peaks.find(model);
  if (found == m_peaks.end()) {
    return m_settings.minEngines;
  }
  constexpr std::uint32_t kHundredPercent = 100;
  const std::uint32_t perEngine = std::max(slots, 1U) * kHundredPercent;
  const std::uint32_t requiredSlots = found->second.items * m_settings.headroomPercent;
  return std::max<std::size_t>(m_settings.minEngines, (requiredSlots + perEngine - 1) / perEngine);
}

}  // namespace tackpick::directory
