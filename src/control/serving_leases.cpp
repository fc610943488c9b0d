#include "control/serving_leases.h"

#include <algorithm>

namespace tackpick::control {

void ServingLeases::onBecameLeader(base::TimePoint now) {
  leases_.clear();
  m_previousLeasesEnd = settings_.mutants.forgetEarlierLeases ? now : now + maxDuration();
}

base::Duration ServingLeases::grant(base::NodeId gateway, base::Incarnation incarnation,
                                    base::Revision acknowledged, base::TimePoint now) {
  Lease& lease = leases_[gateway];
  if (incarnation < lease.incarnation) {
    return base::Duration{0};
  }
  const bool sameIncarnation = incarnation == lease.incarnation;
  lease.incarnation = incarnation;
  lease.acknowledged = sameIncarnation ? std::max(lease.acknowledged, acknowledged) : acknowledged;
  lease.expiresAt = now + maxDuration();
  return settings_.duration;
}

void ServingLeases::release(base::NodeId gateway) { leases_.erase(gateway); }

bool ServingLeases::isAppliedEverywhere(base::Revision revision, base::TimePoint now) const {
  if (now < m_previousLeasesEnd) {
    return false;
  }
  return std::all_of(leases_.begin(), leases_.end(), [&](const auto& entry) {
    return entry.second.acknowledged >= revision || now >= entry.second.expiresAt;
  });
}

std::size_t ServingLeases::size(base::TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(leases_.begin(), leases_.end(),
                    [&](const auto& entry) { return now < entry.second.expiresAt; }));
}

bool ServingLeases::dropExpired(base::TimePoint now) {
  return std::erase_if(leases_, [&](const auto& entry) { return now >= entry.second.expiresAt; }) >
         0;
}

base::Duration ServingLeases::maxDuration() const {
  constexpr int kHundredPercent = 100;
  return settings_.duration * (kHundredPercent + settings_.clockDriftPercent) / kHundredPercent;
}

}  // namespace tackpick::control
