#include "jobs/slowness_detector.h"

#include <algorithm>

namespace tackpick::jobs {

void SlownessDetector::note(base::Duration lateness, base::Duration usual, base::TimePoint now) {
  const bool late = lateness > std::max(m_settings.late, usual * m_settings.timesUsual);
  if (late == isSlow()) {
    m_otherSince.reset();
    return;
  }
  if (!m_otherSince) {
    m_otherSince = now;
  }
  const base::Duration needed = isSlow() ? m_recover : m_settings.confirm;
  if (now - *m_otherSince < needed) {
    return;
  }
  m_otherSince.reset();
  if (late) {
    beginSlow(now);
  } else {
    m_slowSince.reset();
    m_recoveredAt = now;
  }
}

void SlownessDetector::beginSlow(base::TimePoint now) {
  const bool again = m_recoveredAt && now - *m_recoveredAt < m_settings.forgive;
  const base::Duration doubled = std::min(m_recover * 2, m_settings.maxRecover);
  m_recover = again ? doubled : m_settings.recover;
  m_slowSince = now;
}

}  // namespace tackpick::jobs
