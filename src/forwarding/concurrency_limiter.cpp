#include "forwarding/concurrency_limiter.h"

#include <algorithm>

namespace tackpick::forwarding {
namespace {

constexpr double kShrink = 0.6;

}  // namespace

void ConcurrencyLimiter::onEnded(bool crowded, base::TimePoint now) {
  m_running -= m_running > 0 ? 1 : 0;
  if (!crowded) {
    m_size = std::min(m_settings.most, m_size + 1.0 / m_size);
    return;
  }
  if (now - m_shrunkAt >= m_settings.shrinkInterval) {
    m_shrunkAt = now;
    m_size = std::max(m_settings.least, m_size * kShrink);
  }
}

}  // namespace tackpick::forwarding
