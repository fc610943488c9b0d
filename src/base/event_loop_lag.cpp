#include "base/event_loop_lag.h"

#include <algorithm>

namespace tackpick::base {

void EventLoopLag::onTick(TimePoint now) {
  if (m_tickedAt == TimePoint{}) {
    m_tickedAt = now;
    m_windowFrom = now;
    return;
  }
  const Duration gap = now - m_tickedAt;
  const Duration late = std::max(gap - m_interval, Duration{0});
  m_tickedAt = now;
  m_weighted += static_cast<double>(late.count()) * static_cast<double>(gap.count());
  const Duration window = now - m_windowFrom;
  if (window < m_window) {
    return;
  }
  m_average =
      Duration(static_cast<Duration::rep>(m_weighted / static_cast<double>(window.count())));
  m_weighted = 0;
  m_windowFrom = now;
}

}  // namespace tackpick::base
