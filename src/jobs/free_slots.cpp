#include "jobs/free_slots.h"

#include <algorithm>
#include <iterator>

namespace tackpick::jobs {

void FreeSlots::add(const std::string& model, std::uint64_t version, std::uint32_t slots) {
  Room& room = m_rooms[model];
  const auto newer = room.upper_bound(version);
  room.try_emplace(version, newer == room.end() ? 0 : newer->second);
  for (auto it = room.begin(); it != room.end() && it->first <= version; ++it) {
    it->second += slots;
  }
}

void FreeSlots::share(std::uint32_t parts, std::uint32_t percent) {
  constexpr std::uint32_t kWholePercent = 100;
  for (auto& [model, room] : m_rooms) {
    for (auto& [version, slots] : room) {
      slots = (slots * percent / kWholePercent + parts - 1) / parts;
    }
  }
}

bool FreeSlots::take(const std::string& model, std::uint64_t minimumVersion) {
  const auto found = m_rooms.find(model);
  if (found == m_rooms.end()) {
    return false;
  }
  Room& room = found->second;
  const auto narrowest = room.lower_bound(minimumVersion);
  if (narrowest == room.end()) {
    return false;
  }
  const auto end = std::next(narrowest);
  const bool full =
      std::any_of(room.begin(), end, [](const auto& entry) { return entry.second == 0; });
  if (full) {
    return false;
  }
  std::for_each(room.begin(), end, [](auto& entry) { --entry.second; });
  return true;
}

void FreeSlots::occupy(const std::string& model, std::uint64_t minimumVersion) {
  const auto found = m_rooms.find(model);
  if (found == m_rooms.end()) {
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
  return std::all_of(m_rooms.begin(), m_rooms.end(), [](const auto& model) {
    return model.second.empty() || model.second.begin()->second == 0;
  });
}

}  // namespace tackpick::jobs
