#include "duties/capacity_state.h"

#include <algorithm>

namespace tackpick::duties {

void CapacityState::apply(const NoteBaseline& command) {
  std::uint32_t& count = m_baselines[{command.service, command.zone}];
  count = std::max(count, command.count);
}

void CapacityState::apply(const SetCapacity& command) {
  m_desired[command.subject] = {command.count, false};
}

void CapacityState::apply(const ConfirmCapacity& command) {
  const auto known = m_desired.find(command.subject);
  if (known != m_desired.end() && known->second.count == command.count) {
    known->second.taken = true;
  }
}

std::optional<DesiredCapacity> CapacityState::desired(const CapacitySubject& subject) const {
  const auto known = m_desired.find(subject);
  return known == m_desired.end() ? std::nullopt : std::optional(known->second);
}

std::uint32_t CapacityState::baseline(const std::string& service, const std::string& zone) const {
  const auto known = m_baselines.find({service, zone});
  return known == m_baselines.end() ? 0 : known->second;
}

std::vector<std::string> CapacityState::zones(const std::string& service) const {
  std::vector<std::string> zones;
  for (const auto& [place, count] : m_baselines) {
    if (place.first == service) {
      zones.push_back(place.second);
    }
  }
  return zones;
}

}  // namespace tackpick::duties
