#include "directory/heartbeat_relay.h"

#include <utility>

namespace tackpick::directory {

HeartbeatRelay::Verdict HeartbeatRelay::accept(const DirectoryState& state,
                                               const InstanceHeartbeat& heartbeat,
                                               std::optional<base::TimePoint> lastContactAt,
                                               base::TimePoint now) {
  const std::string& id = heartbeat.record.id;
  const auto known = state.instances().find(id);
  const bool isUnchanged =
      known != state.instances().end() && matchesRegistration(known->second, heartbeat.record);
  if (!isUnchanged) {
    return Verdict::kForward;
  }
  if (!lastContactAt || now - *lastContactAt > m_settings.leaderTimeout) {
    return Verdict::kRefused;
  }
  RelayedHeartbeat& pending = m_pending[id];
  if (heartbeat.sequence < pending.sequence) {
    return Verdict::kAccepted;  // a delayed earlier heartbeat
  }
  pending = {id, heartbeat.sequence, std::nullopt};
  const auto sent = m_sentVersions.find(id);
  if (sent == m_sentVersions.end() || sent->second != heartbeat.versions) {
    pending.versions = heartbeat.versions;
  }
  return Verdict::kAccepted;
}

std::optional<RelayHeartbeats> HeartbeatRelay::takeBatch(base::TimePoint now) {
  if (m_inFlight || m_pending.empty() || now - m_sentAt < m_settings.interval) {
    return std::nullopt;
  }
  m_inFlight = true;
  m_sentAt = now;
  if (m_sentVersions.size() > kMaxKnownInstances) {
    m_sentVersions.clear();
  }
  RelayHeartbeats relayed;
  for (auto& [id, heartbeat] : std::exchange(m_pending, {})) {
    if (heartbeat.versions) {
      m_sentVersions[id] = *heartbeat.versions;
    }
    relayed.heartbeats.push_back(std::move(heartbeat));
  }
  return relayed;
}

void HeartbeatRelay::onBatchAcknowledged(bool acknowledged) {
  m_inFlight = false;
  if (!acknowledged) {
    m_sentVersions.clear();
  }
}

}  // namespace tackpick::directory
