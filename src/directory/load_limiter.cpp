#include "directory/load_limiter.h"

#include <algorithm>

namespace tackpick::directory {

void LoadLimiter::reset() {
  m_limit = m_minLimit;
  m_started.clear();
  m_samples = 0;
  m_sum = base::Duration{0};
  m_baselineLoadTime.reset();
  m_loadTime.reset();
  m_saturatedAt.reset();
}

void LoadLimiter::setMinLimit(std::size_t minLimit) {
  m_minLimit = minLimit;
  m_limit = std::clamp(m_limit, m_minLimit, m_minLimit * m_settings.maxLimitFactor);
}

void LoadLimiter::onStarted(const std::string& instance, std::size_t running, base::TimePoint now) {
  const bool atLimit = running >= m_limit;
  m_started[instance] = {now, atLimit};
  if (!atLimit) {
    return;
  }
  for (auto& [other, started] : m_started) {
    started.atLimit = started.atLimit || started.at == now;
  }
}

void LoadLimiter::onLoaded(const std::string& instance, base::TimePoint now) {
  const auto found = m_started.find(instance);
  if (found == m_started.end()) {
    return;
  }
  const StartedLoad started = found->second;
  m_started.erase(found);
  const base::Duration elapsed = now - started.at;
  constexpr int kSmoothingWeight =
      7;  // weight of the previous mean; limits the effect of single slow engines
  m_loadTime =
      m_loadTime ? (*m_loadTime * kSmoothingWeight + elapsed) / (kSmoothingWeight + 1) : elapsed;
  if (!started.atLimit) {
    return;
  }
  ++m_samples;
  m_sum += elapsed;
  if (m_samples >= m_limit) {
    adjustLimit(m_sum / static_cast<int>(m_samples), now);
    m_samples = 0;
    m_sum = base::Duration{0};
  }
}

void LoadLimiter::adjustLimit(base::Duration mean, base::TimePoint now) {
  const base::Duration baseline = m_baselineLoadTime.value_or(mean);
  const auto tolerated = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, base::Duration::period>(static_cast<double>(baseline.count()) *
                                                            (1 + m_settings.tolerance)));
  if (mean > tolerated) {
    m_limit = std::max(m_minLimit, m_limit - 1);
    m_saturatedAt = now;
    // Raises the baseline gradually, in case the weights store has become permanently slower.
    constexpr int kBaselineSmoothing = 20;
    m_baselineLoadTime = baseline + (mean - baseline) / kBaselineSmoothing;
    return;
  }
  m_baselineLoadTime = std::min(baseline, mean);
  if (!m_saturatedAt || now - *m_saturatedAt >= m_settings.probeInterval) {
    m_limit = std::min(m_limit + 1, m_minLimit * m_settings.maxLimitFactor);
  }
}

}  // namespace tackpick::directory
