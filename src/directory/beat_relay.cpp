#include "directory/beat_relay.h"

#include <utility>

namespace tackpick::directory {

BeatRelay::Verdict BeatRelay::take(const DirectoryState& state, const InstanceBeat& beat,
                                   std::optional<base::TimePoint> heardAt, base::TimePoint now) {
  const std::string& id = beat.record.id;
  const auto known = state.instances().find(id);
  const bool changesNothing =
      known != state.instances().end() && confirmsRegistration(known->second, beat.record);
  if (!changesNothing) {
    return Verdict::kPassOn;
  }
  if (!heardAt || now - *heardAt > m_settings.contact) {
    return Verdict::kRefused;
  }
  RelayedBeat& heard = m_heard[id];
  if (beat.sequence < heard.sequence) {
    return Verdict::kTaken;  // an earlier one that comes late
  }
  heard = {id, beat.sequence, std::nullopt};
  const auto told = m_told.find(id);
  if (told == m_told.end() || told->second != beat.versions) {
    heard.versions = beat.versions;
  }
  return Verdict::kTaken;
}

std::optional<RelayBeats> BeatRelay::due(base::TimePoint now) {
  if (m_telling || m_heard.empty() || now - m_toldAt < m_settings.interval) {
    return std::nullopt;
  }
  m_telling = true;
  m_toldAt = now;
  if (m_told.size() > kMostKnown) {
    m_told.clear();
  }
  RelayBeats relayed;
  for (auto& [id, beat] : std::exchange(m_heard, {})) {
    if (beat.versions) {
      m_told[id] = *beat.versions;
    }
    relayed.beats.push_back(std::move(beat));
  }
  return relayed;
}

void BeatRelay::onTold(bool known) {
  m_telling = false;
  if (!known) {
    m_told.clear();
  }
}

}  // namespace tackpick::directory
