#include "quarantine/request_gate.h"

#include <algorithm>

#include "quarantine/quarantine_policy.h"

namespace tackpick::quarantine {

HoldChanges RequestGate::onTold(const std::vector<HeldRequest>& held, base::WallTime clusterTime,
                                base::TimePoint now) {
  if (clusterTime != base::WallTime{}) {
    m_clusterTime.onLeaderTime(clusterTime, now);
  }
  HoldChanges changes;
  std::map<RequestFingerprint, base::WallTime> told;
  for (const HeldRequest& request : held) {
    told.emplace(request.request, request.trialAt);
    if (!m_held.contains(request.request)) {
      changes.held.push_back(request.request);
    }
  }
  for (const auto& [request, trialAt] : m_held) {
    if (!told.contains(request)) {
      changes.released.push_back(request);
      m_observer.forget(request);  // or this gateway's own count would go on holding it
    }
  }
  m_held = std::move(told);
  return changes;
}

Admission RequestGate::admit(const RequestFingerprint& request, base::TimePoint now,
                             base::WallTime wall) const {
  const auto held = m_held.find(request);
  if (held != m_held.end()) {
    return m_clusterTime.at(now, wall) >= held->second ? Admission::kTrialDue : Admission::kHeld;
  }
  return m_observer.crashes(request) >= kMaxCrashes ? Admission::kHeld : Admission::kFree;
}

base::Duration RequestGate::untilTrial(const RequestFingerprint& request, base::TimePoint now,
                                       base::WallTime wall) const {
  // After the last trial, and for what the controllers have not confirmed yet.
  constexpr base::Duration kLongest = std::chrono::hours(1);
  const auto held = m_held.find(request);
  if (held == m_held.end()) {
    return trialPause(0);
  }
  if (held->second == base::WallTime::max()) {
    return kLongest;
  }
  constexpr base::Duration kShortest = base::seconds(1);
  return std::clamp(held->second - m_clusterTime.at(now, wall), kShortest, kLongest);
}

}  // namespace tackpick::quarantine
