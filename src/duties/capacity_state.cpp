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
  const auto found = m_desired.find(command.subject);
  if (found != m_desired.end() && found->second.count == command.count) {
    found->second.accepted = true;
  }
}

std::optional<DesiredCapacity> CapacityState::desired(const InstancePool& pool) const {
  const auto found = m_desired.find(pool);
  return found == m_desired.end() ? std::nullopt : std::optional(found->second);
}

std::uint32_t CapacityState::baseline(const InstancePool& pool) const {
  const auto found = m_baselines.find(pool);
  return found == m_baselines.end() ? 0 : found->second;
}

std::set<std::string> CapacityState::zones(const std::string& service) const {
  std::set<std::string> zones;
  for (const auto& [pool, count] : m_baselines) {
    if (pool.service == service) {
      zones.insert(pool.zone);
    }
  }
  return zones;
}

}  // namespace tackpick::duties
