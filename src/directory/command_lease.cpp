#include "directory/command_lease.h"

#include <algorithm>

namespace tackpick::directory {

void CommandLease::onClaim(base::NodeId holder, consensus::LogIndex index, base::TimePoint now) {
  if (base::nodeNumber(holder) == base::nodeNumber(m_self) &&
      (!m_ownClaim || m_ownClaim->index < index)) {
    m_ownClaim = LeaseClaim{holder, index, now};
  }
  if (!m_latestClaim || m_latestClaim->index < index) {
    m_latestClaim = LeaseClaim{holder, index, now};
  }
}

bool CommandLease::wouldAlternate(const LeaseClaim& other) const {
  return m_ownClaim &&
         latestCommandTime(other) - latestCommandTime(*m_ownClaim) <= m_settings.duration;
}

base::TimePoint CommandLease::earliestCommandTime(base::TimePoint leaderSince) const {
  if (!m_latestClaim || m_latestClaim->holder == m_self) {
    return {};
  }
  const base::TimePoint arrived = leaderSince + m_settings.maxTransitTime;
  if (base::nodeNumber(m_latestClaim->holder) == base::nodeNumber(m_self)) {
    return arrived;
  }
  return wouldAlternate(*m_latestClaim) ? std::max(arrived, leaseExpiry()) : arrived;
}

base::TimePoint CommandLease::leaseExpiry() const {
  if (!m_latestClaim || m_latestClaim->holder == m_self) {
    return {};
  }
  // Engines reject delayed commands of a leader that was replaced before this process started.
  if (predatesProcess(*m_latestClaim) && m_settings.enginesEnforceFences) {
    return {};
  }
  return latestCommandTime(*m_latestClaim) + m_settings.duration;
}

}  // namespace tackpick::directory
