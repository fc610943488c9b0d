#include "routing/outlier_detector.h"

#include <algorithm>

namespace tackpick::routing {

void OutlierDetector::onSuccess(base::EngineId engine) {
  const auto found = m_engines.find(engine);
  if (found != m_engines.end()) {
    m_engines.erase(found);
  }
}

void OutlierDetector::onFailure(base::EngineId engine, base::TimePoint now) {
  EngineHealth& health = m_engines[engine];
  if (now < health.ejectedUntil) {
    return;
  }
  if (now > health.ejectedUntil + settings_.ejectionResetInterval) {
    health.ejections = 0;
  }
  ++health.failures;
  if (!health.halfOpen && health.failures < settings_.consecutiveFailures) {
    return;
  }
  constexpr std::uint32_t kMaxBackoffShift = 16;
  const auto factor = base::Duration::rep{1} << std::min(health.ejections, kMaxBackoffShift);
  health.ejectedUntil = now + std::min(settings_.baseEjectionTime * factor, settings_.maxEjection);
  ++health.ejections;
  health.failures = 0;
  health.halfOpen = true;
}

bool OutlierDetector::isEjected(base::EngineId engine, base::TimePoint now) const {
  const auto found = m_engines.find(engine);
  return found != m_engines.end() && now < found->second.ejectedUntil;
}

bool OutlierDetector::isHalfOpen(base::EngineId engine) const {
  const auto found = m_engines.find(engine);
  return found != m_engines.end() && found->second.halfOpen;
}

std::size_t OutlierDetector::ejectedCount(base::TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(m_engines.begin(), m_engines.end(),
                    [&](const auto& entry) { return now < entry.second.ejectedUntil; }));
}

}  // namespace tackpick::routing
