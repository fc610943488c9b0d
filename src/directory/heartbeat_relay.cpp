#include "directory/heartbeat_relay.h"

#include <utility>

namespace tackpick::directory {

HeartbeatRelay::Verdict HeartbeatRelay::take(const DirectoryState& state,
                                             const InstanceHeartbeat& heartbeat,
                                             std::optional<base::TimePoint> lastContactAt,
                                             base::TimePoint now) {
  const std::string& id = heartbeat.record.id;
  const auto known = state.instances().find(id);
  const bool changesNothing =
      known != state.instances().end() && confirmsRegistration(known->second, heartbeat.record);
  if (!changesNothing) {
    return Verdict::kForward;
  }
  if (!lastContactAt || now - *lastContactAt > m_settings.contact) {
    return Verdict::kRefused;
  }
  RelayedHeartbeat& heard = m_heard[id];
  if (heartbeat.sequence < heard.sequence) {
    return Verdict::kAccepted;  // an earlier one that comes late
  }
  heard = {id, heartbeat.sequence, std::nullopt};
  const auto told = m_told.find(id);
  if (told == m_told.end() || told->second != heartbeat.versions) {
    heard.versions = heartbeat.versions;
  }
  return Verdict::kAccepted;
}

std::optional<RelayHeartbeats> HeartbeatRelay::due(base::TimePoint now) {
  if (m_telling || m_heard.empty() || now - m_toldAt < m_settings.interval) {
    return std::nullopt;
  }
  m_telling = true;
  m_toldAt = now;
  if (m_told.size() > kMaxKnown) {
    m_told.clear();
  }
  RelayHeartbeats relayed;
  for (auto& [id, heartbeat] : std::exchange(m_heard, {})) {
    if (heartbeat.versions) {
      m_told[id] = *heartbeat.versions;
    }
    relayed.heartbeats.push_back(std::move(heartbeat));
  }
  return relayed;
}

void HeartbeatRelay::onTold(bool known) {
  m_telling = false;
  if (!known) {
    m_told.clear();
  }
}

}  // namespace tackpick::directory
