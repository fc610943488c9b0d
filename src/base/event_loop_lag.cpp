#include "base/event_loop_lag.h"

#include <algorithm>

namespace tackpick::base {

void EventLoopLag::onTick(TimePoint now) {
  if (m_lastTickAt == TimePoint{}) {
    m_lastTickAt = now;
    m_windowStart = now;
    return;
  }
  const Duration gap = now - m_lastTickAt;
  const Duration lag = std::max(gap - m_interval, Duration{0});
  m_lastTickAt = now;
  m_weightedLag += static_cast<double>(lag.count()) * static_cast<double>(gap.count());
  const Duration window = now - m_windowStart;
  if (window < m_window) {
    return;
  }
  m_average =
      Duration(static_cast<Duration::rep>(m_weightedLag / static_cast<double>(window.count())));
  m_weightedLag = 0;
  m_windowStart = now;
}

}  // namespace tackpick::base
