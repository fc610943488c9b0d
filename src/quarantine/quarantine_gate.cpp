#include "quarantine/quarantine_gate.h"

#include <algorithm>

#include "quarantine/quarantine_policy.h"

namespace tackpick::quarantine {

HoldChanges QuarantineGate::onHeldRequests(const std::vector<HeldRequest>& held,
                                           base::WallTime clusterTime, base::TimePoint now) {
  if (clusterTime != base::WallTime{}) {
    m_clusterTime.onLeaderTime(clusterTime, now);
  }
  HoldChanges changes;
  std::map<RequestFingerprint, base::WallTime> updated;
  for (const HeldRequest& request : held) {
    updated.emplace(request.request, request.nextTrialAt);
    if (!m_held.contains(request.request)) {
      changes.held.push_back(request.request);
    }
  }
  for (const auto& [request, nextTrialAt] : m_held) {
    if (!updated.contains(request)) {
      changes.released.push_back(request);
      // Otherwise admit() would still hold the request because of the local crash count.
      m_detector.remove(request);
    }
  }
  m_held = std::move(updated);
  return changes;
}

Admission QuarantineGate::admit(const RequestFingerprint& request, base::TimePoint now,
                                base::WallTime wall) const {
  const auto held = m_held.find(request);
  if (held != m_held.end()) {
    return m_clusterTime.at(now, wall) >= held->second ? Admission::kTrialDue : Admission::kHeld;
  }
  return m_detector.crashCount(request) >= kMaxCrashes ? Admission::kHeld : Admission::kFree;
}

base::Duration QuarantineGate::untilTrial(const RequestFingerprint& request, base::TimePoint now,
                                          base::WallTime wall) const {
  // Maximum delay returned to callers; also used if no further trial follows.
  constexpr base::Duration kMaxRetryAfter = std::chrono::hours(1);
  const auto held = m_held.find(request);
  if (held == m_held.end()) {
    return trialDelay(0);
  }
  if (held->second == base::WallTime::max()) {
    return kMaxRetryAfter;
  }
  constexpr base::Duration kMinRetryAfter = base::seconds(1);
  return std::clamp(held->second - m_clusterTime.at(now, wall), kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace tackpick::quarantine
