#include "directory/command_lease.h"

#include <algorithm>

namespace tackpick::directory {

void CommandLease::onNote(base::NodeId holder, consensus::LogIndex index, base::TimePoint now) {
  if (base::nodeNumber(holder) == base::nodeNumber(m_self) && (!m_own || m_own->index < index)) {
    m_own = Note{holder, index, now};
  }
  if (!m_newest || m_newest->index < index) {
    m_newest = Note{holder, index, now};
  }
}

bool CommandLease::wouldAlternate(const Note& other) const {
  return m_own && latestCommandTime(other) - latestCommandTime(*m_own) <= m_settings.duration;
}

base::TimePoint CommandLease::freeFrom(base::TimePoint leadingSince) const {
  if (!m_newest || m_newest->holder == m_self) {
    return {};
  }
  const base::TimePoint arrived = leadingSince + m_settings.transit;
  if (base::nodeNumber(m_newest->holder) == base::nodeNumber(m_self)) {
    return arrived;
  }
  return wouldAlternate(*m_newest) ? std::max(arrived, restOfLease()) : arrived;
}

base::TimePoint CommandLease::restOfLease() const {
  if (!m_newest || m_newest->holder == m_self) {
    return {};
  }
  // How much older than this process the orders are is not known.
  if (isOlderThanProcess(*m_newest) && m_settings.enginesEnforceFences) {
    return {};
  }
  return latestCommandTime(*m_newest) + m_settings.duration;
}

}  // namespace tackpick::directory
