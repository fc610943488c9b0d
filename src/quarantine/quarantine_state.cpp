#include "quarantine/quarantine_state.h"

#include <algorithm>

#include "quarantine/quarantine_policy.h"

namespace tackpick::quarantine {

void QuarantineState::apply(const HoldRequest& command) {
  if (isHeld(command.request)) {
    return;
  }
  evictOldest();
  m_holds[command.request] = {command.service, command.instances, 0,
                              command.at,      command.at,        nextTrialTime(command.at, 0)};
}

void QuarantineState::apply(const RecordTrial& command) {
  const auto held = m_holds.find(command.request);
  if (held == m_holds.end()) {
    return;
  }
  Hold& hold = held->second;
  ++hold.trials;
  hold.lastEventAt = command.at;
  hold.nextTrialAt = nextTrialTime(command.at, hold.trials);
}

void QuarantineState::apply(const ReleaseRequest& command) { m_holds.erase(command.request); }

bool QuarantineState::isTrialDue(const RequestFingerprint& request, base::WallTime now) const {
  const auto held = m_holds.find(request);
  return held != m_holds.end() && now >= held->second.nextTrialAt;
}

std::vector<RequestFingerprint> QuarantineState::expired(base::WallTime now) const {
  std::vector<RequestFingerprint> requests;
  for (const auto& [request, hold] : m_holds) {
    if (now - hold.lastEventAt > kHoldRetention) {
      requests.push_back(request);
    }
  }
  return requests;
}

std::vector<HeldRequest> QuarantineState::heldRequests() const {
  std::vector<HeldRequest> held;
  held.reserve(m_holds.size());
  for (const auto& [request, hold] : m_holds) {
    held.push_back({request, hold.nextTrialAt});
  }
  return held;
}

std::vector<HoldSummary> QuarantineState::summaries(base::WallTime now) const {
  std::vector<HoldSummary> summaries;
  for (const auto& [request, hold] : m_holds) {
    const bool last = hold.nextTrialAt == base::WallTime::max();
    const base::Duration untilTrial = last ? base::Duration::max() : hold.nextTrialAt - now;
    summaries.push_back(
        {request, hold.service, hold.instances, hold.trials, now - hold.since, untilTrial});
  }
  return summaries;
}

void QuarantineState::evictOldest() {
  if (m_holds.size() < kMaxRequests) {
    return;
  }
  m_holds.erase(
      std::min_element(m_holds.begin(), m_holds.end(), [](const auto& left, const auto& right) {
        return left.second.lastEventAt < right.second.lastEventAt;
      }));
}

}  // namespace tackpick::quarantine
