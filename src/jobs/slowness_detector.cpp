#include "jobs/slowness_detector.h"

#include <algorithm>

namespace tackpick::jobs {

void SlownessDetector::addSample(base::Duration lag, base::Duration baseline, base::TimePoint now) {
  const bool isLate = lag > std::max(m_settings.lagThreshold, baseline * m_settings.medianFactor);
  if (isLate == isSlow()) {
    m_changePendingSince.reset();
    return;
  }
  if (!m_changePendingSince) {
    m_changePendingSince = now;
  }
  const base::Duration needed = isSlow() ? m_recoveryTime : m_settings.confirmTime;
  if (now - *m_changePendingSince < needed) {
    return;
  }
  m_changePendingSince.reset();
  if (isLate) {
    markSlow(now);
  } else {
    m_slowSince.reset();
    m_recoveredAt = now;
  }
}

void SlownessDetector::markSlow(base::TimePoint now) {
  const bool relapsed = m_recoveredAt && now - *m_recoveredAt < m_settings.resetTime;
  const base::Duration doubled = std::min(m_recoveryTime * 2, m_settings.maxRecoveryTime);
  m_recoveryTime = relapsed ? doubled : m_settings.recoveryTime;
  m_slowSince = now;
}

}  // namespace tackpick::jobs
