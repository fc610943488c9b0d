#include "quarantine/crash_detector.h"

#include <algorithm>

#include "quarantine/quarantine_policy.h"

namespace tackpick::quarantine {
namespace {

constexpr base::Duration kEvictionInterval = base::seconds(10);

}  // namespace

void CrashDetector::onConnectionLost(const Crash& crash, base::TimePoint now) {
  if (!m_suspects.contains(crash.request)) {
    evictOldest();
  }
  SuspectedCrash& suspected = m_suspects[crash.request][crash.instance];
  suspected.crash = crash;
  suspected.connectionLostAt = now;
  m_nextCheckAt = std::min(m_nextCheckAt, now + m_settings.confirmationDelay);
}

// Whether a response shows that the suspected process did not crash. If the request was sent after
// the connection was lost, a response after minRestartTime may come from the restarted process. If
// it was sent earlier, a response within maxResponseDelay may have been sent before the crash.
bool CrashDetector::provesAlive(const SuspectedCrash& suspected, base::TimePoint sentAt,
                                base::TimePoint now) const {
  const base::Duration since = now - suspected.connectionLostAt;
  return sentAt > suspected.connectionLostAt ? since < m_settings.minRestartTime
                                             : since >= m_settings.maxResponseDelay;
}

void CrashDetector::onAnswered(const std::string& instance, base::TimePoint sentAt,
                               base::TimePoint now) {
  for (auto& [request, suspectedCrashes] : m_suspects) {
    const auto found = suspectedCrashes.find(instance);
    if (found != suspectedCrashes.end() && !found->second.confirmed &&
        provesAlive(found->second, sentAt, now)) {
      suspectedCrashes.erase(found);
    }
  }
  removeEmpty();
}

std::size_t CrashDetector::crashCount(const RequestFingerprint& request) const {
  const auto found = m_suspects.find(request);
  return found == m_suspects.end() ? 0 : found->second.size();
}

std::vector<Crash> CrashDetector::takeConfirmed(base::TimePoint now) {
  if (now < m_nextCheckAt) {
    return {};
  }
  evictExpired(now);
  m_nextCheckAt = now + kEvictionInterval;
  std::vector<Crash> confirmed;
  for (auto& [request, suspectedCrashes] : m_suspects) {
    for (auto& [instance, suspected] : suspectedCrashes) {
      suspected.confirmed =
          suspected.confirmed || now - suspected.connectionLostAt >= m_settings.confirmationDelay;
      if (suspected.confirmed && !suspected.reported) {
        suspected.reported = true;
        confirmed.push_back(suspected.crash);
      } else if (!suspected.confirmed) {
        m_nextCheckAt =
            std::min(m_nextCheckAt, suspected.connectionLostAt + m_settings.confirmationDelay);
      }
    }
  }
  return confirmed;
}

void CrashDetector::resetReported() {
  for (auto& [request, suspectedCrashes] : m_suspects) {
    for (auto& [instance, suspected] : suspectedCrashes) {
      suspected.reported = false;
    }
  }
  m_nextCheckAt = base::TimePoint::min();
}

void CrashDetector::evictExpired(base::TimePoint now) {
  for (auto& [request, suspectedCrashes] : m_suspects) {
    std::erase_if(suspectedCrashes, [&](const auto& entry) {
      return now - entry.second.connectionLostAt > kCrashRetention;
    });
  }
  removeEmpty();
}

void CrashDetector::removeEmpty() {
  std::erase_if(m_suspects, [](const auto& suspect) { return suspect.second.empty(); });
}

void CrashDetector::evictOldest() {
  if (m_suspects.size() < kMaxRequests) {
    return;
  }
  const auto newest = [](const auto& suspect) {
    base::TimePoint at{};
    for (const auto& [instance, suspected] : suspect.second) {
      at = std::max(at, suspected.connectionLostAt);
    }
    return at;
  };
  const auto oldest = std::min_element(
      m_suspects.begin(), m_suspects.end(),
      [&](const auto& left, const auto& right) { return newest(left) < newest(right); });
  m_suspects.erase(oldest);
}

}  // namespace tackpick::quarantine
