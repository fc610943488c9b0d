#include "quarantine/crash_registry.h"

#include <algorithm>

#include "quarantine/quarantine_policy.h"

namespace tackpick::quarantine {

void CrashRegistry::record(const Crash& crash, base::TimePoint now) {
  if (!m_requests.contains(crash.request)) {
    evictOldest();
  }
  Suspect& suspect = m_requests[crash.request];
  suspect.instances.insert(crash.instance);
  suspect.lastCrashAt = now;
}

std::set<std::string> CrashRegistry::instances(const RequestFingerprint& request) const {
  const auto found = m_requests.find(request);
  return found == m_requests.end() ? std::set<std::string>{} : found->second.instances;
}

void CrashRegistry::evictExpired(base::TimePoint now) {
  std::erase_if(m_requests, [&](const auto& entry) {
    return now - entry.second.lastCrashAt > kCrashRetention;
  });
}

void CrashRegistry::evictOldest() {
  if (m_requests.size() < kMaxRequests) {
    return;
  }
  m_requests.erase(std::min_element(m_requests.begin(), m_requests.end(),
                                    [](const auto& left, const auto& right) {
                                      return left.second.lastCrashAt < right.second.lastCrashAt;
                                    }));
}

}  // namespace tackpick::quarantine
