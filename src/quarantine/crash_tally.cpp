#include "quarantine/crash_tally.h"

#include <algorithm>

#include "quarantine/quarantine_policy.h"

namespace tackpick::quarantine {

void CrashTally::note(const Crash& crash, base::TimePoint now) {
  if (!m_requests.contains(crash.request)) {
    makeRoom();
  }
  Suspect& suspect = m_requests[crash.request];
  suspect.instances.insert(crash.instance);
  suspect.lastAt = now;
}

std::set<std::string> CrashTally::instances(const RequestFingerprint& request) const {
  const auto known = m_requests.find(request);
  return known == m_requests.end() ? std::set<std::string>{} : known->second.instances;
}

void CrashTally::forgetOld(base::TimePoint now) {
  std::erase_if(m_requests,
                [&](const auto& entry) { return now - entry.second.lastAt > kCrashMemory; });
}

void CrashTally::makeRoom() {
  if (m_requests.size() < kMaxRequests) {
    return;
  }
  m_requests.erase(std::min_element(m_requests.begin(), m_requests.end(),
                                    [](const auto& left, const auto& right) {
                                      return left.second.lastAt < right.second.lastAt;
                                    }));
}

}  // namespace tackpick::quarantine
