#include "quarantine/crash_observer.h"

#include <algorithm>

#include "quarantine/quarantine_policy.h"

namespace tackpick::quarantine {
namespace {

constexpr base::Duration kForgetInterval = base::seconds(10);

}  // namespace

void CrashObserver::onBroken(const Crash& crash, base::TimePoint now) {
  if (!m_suspects.contains(crash.request)) {
    makeRoom();
  }
  SuspectedCrash& suspected = m_suspects[crash.request][crash.instance];
  suspected.crash = crash;
  suspected.brokenAt = now;
  m_dueAt = std::min(m_dueAt, now + m_settings.certainty);
}

// A run that was sent after the break is answered only by a process that lives: this one, or its
// successor under the same name, which takes some time to be there. A run that was sent before may
// have been answered before the process ended.
bool CrashObserver::showsLife(const SuspectedCrash& suspected, base::TimePoint sentAt,
                              base::TimePoint now) const {
  const base::Duration since = now - suspected.brokenAt;
  return sentAt > suspected.brokenAt ? since < m_settings.minRestartTime
                                     : since >= m_settings.maxResponseDelay;
}

void CrashObserver::onAnswered(const std::string& instance, base::TimePoint sentAt,
                               base::TimePoint now) {
  for (auto& [request, suspectedCrashes] : m_suspects) {
    const auto seen = suspectedCrashes.find(instance);
    if (seen != suspectedCrashes.end() && !seen->second.certain &&
        showsLife(seen->second, sentAt, now)) {
      suspectedCrashes.erase(seen);
    }
  }
  dropCleared();
}

std::size_t CrashObserver::crashes(const RequestFingerprint& request) const {
  const auto known = m_suspects.find(request);
  return known == m_suspects.end() ? 0 : known->second.size();
}

std::vector<Crash> CrashObserver::takeCertain(base::TimePoint now) {
  if (now < m_dueAt) {
    return {};
  }
  forgetOld(now);
  m_dueAt = now + kForgetInterval;
  std::vector<Crash> certain;
  for (auto& [request, suspectedCrashes] : m_suspects) {
    for (auto& [instance, suspected] : suspectedCrashes) {
      suspected.certain = suspected.certain || now - suspected.brokenAt >= m_settings.certainty;
      if (suspected.certain && !suspected.told) {
        suspected.told = true;
        certain.push_back(suspected.crash);
      } else if (!suspected.certain) {
        m_dueAt = std::min(m_dueAt, suspected.brokenAt + m_settings.certainty);
      }
    }
  }
  return certain;
}

void CrashObserver::tellAgain() {
  for (auto& [request, suspectedCrashes] : m_suspects) {
    for (auto& [instance, suspected] : suspectedCrashes) {
      suspected.told = false;
    }
  }
  m_dueAt = base::TimePoint::min();
}

void CrashObserver::forgetOld(base::TimePoint now) {
  for (auto& [request, suspectedCrashes] : m_suspects) {
    std::erase_if(suspectedCrashes,
                  [&](const auto& entry) { return now - entry.second.brokenAt > kCrashMemory; });
  }
  dropCleared();
}

void CrashObserver::dropCleared() {
  std::erase_if(m_suspects, [](const auto& suspect) { return suspect.second.empty(); });
}

void CrashObserver::makeRoom() {
  if (m_suspects.size() < kMaxRequests) {
    return;
  }
  const auto newest = [](const auto& suspect) {
    base::TimePoint at{};
    for (const auto& [instance, suspected] : suspect.second) {
      at = std::max(at, suspected.brokenAt);
    }
    return at;
  };
  const auto oldest = std::min_element(
      m_suspects.begin(), m_suspects.end(),
      [&](const auto& left, const auto& right) { return newest(left) < newest(right); });
  m_suspects.erase(oldest);
}

}  // namespace tackpick::quarantine
