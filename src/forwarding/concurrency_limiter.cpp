#include "forwarding/concurrency_limiter.h"

#include <algorithm>

namespace tackpick::forwarding {
namespace {

constexpr double kDecreaseFactor = 0.6;

}  // namespace

void ConcurrencyLimiter::onEnded(bool overloaded, base::TimePoint now) {
  m_running -= m_running > 0 ? 1 : 0;
  if (!overloaded) {
    m_limit = std::min(m_settings.maxLimit, m_limit + 1.0 / m_limit);
    return;
  }
  if (now - m_lastDecreaseAt >= m_settings.decreaseInterval) {
    m_lastDecreaseAt = now;
    m_limit = std::max(m_settings.minLimit, m_limit * kDecreaseFactor);
  }
}

}  // namespace tackpick::forwarding
