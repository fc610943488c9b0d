#include "jobs/free_slots.h"

#include <algorithm>
#include <iterator>

namespace tackpick::jobs {

void FreeSlots::add(const std::string& model, std::uint64_t version, std::uint32_t slots) {
  SlotsByVersion& slotsByVersion = m_models[model];
  const auto newer = slotsByVersion.upper_bound(version);
  slotsByVersion.try_emplace(version, newer == slotsByVersion.end() ? 0 : newer->second);
  for (auto it = slotsByVersion.begin(); it != slotsByVersion.end() && it->first <= version; ++it) {
    it->second += slots;
  }
}

void FreeSlots::divide(std::uint32_t parts, std::uint32_t percent) {
  constexpr std::uint32_t kHundredPercent = 100;
  for (auto& [model, slotsByVersion] : m_models) {
    for (auto& [version, slots] : slotsByVersion) {
      slots = (slots * percent / kHundredPercent + parts - 1) / parts;
    }
  }
}

bool FreeSlots::take(const std::string& model, std::uint64_t minimumVersion) {
  const auto found = m_models.find(model);
  if (found == m_models.end()) {
    return false;
  }
  SlotsByVersion& slotsByVersion = found->second;
  const auto bucket = slotsByVersion.lower_bound(minimumVersion);
  if (bucket == slotsByVersion.end()) {
    return false;
  }
  const auto end = std::next(bucket);
  const bool full =
      std::any_of(slotsByVersion.begin(), end, [](const auto& entry) { return entry.second == 0; });
  if (full) {
    return false;
  }
  std::for_each(slotsByVersion.begin(), end, [](auto& entry) { --entry.second; });
  return true;
}

void FreeSlots::forceTake(const std::string& model, std::uint64_t minimumVersion) {
  const auto found = m_models.find(model);
  if (found == m_models.end()) {
    return;
  }
  for (auto& [version, slots] : found->second) {
    slots -= slots > 0 ? 1 : 0;
    if (version >= minimumVersion) {
      break;
    }
  }
}

bool FreeSlots::empty() const {
  return std::all_of(m_models.begin(), m_models.end(), [](const auto& model) {
    return model.second.empty() || model.second.begin()->second == 0;
  });
}

}  // namespace tackpick::jobs
