#include "duties/capacity_state.h"

#include <algorithm>

namespace tackpick::duties {

void CapacityState::apply(const RecordBaseline& command) {
  std::uint32_t& count = m_baselines[command.subject];
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

std::optional<DesiredCapacity> CapacityState::desired(const InstancePool& subject) const {
  const auto known = m_desired.find(subject);
  return known == m_desired.end() ? std::nullopt : std::optional(known->second);
}

std::uint32_t CapacityState::baseline(const InstancePool& subject) const {
  const auto known = m_baselines.find(subject);
  return known == m_baselines.end() ? 0 : known->second;
}

std::set<std::string> CapacityState::zones(const std::string& service) const {
  std::set<std::string> zones;
  for (const auto& [subject, count] : m_baselines) {
    if (subject.service == service) {
      zones.insert(subject.zone);
    }
  }
  return zones;
}

}  // namespace tackpick::duties
