#include "directory/load_limiter.h"

#include <algorithm>

namespace tackpick::directory {

void LoadLimiter::reset() {
  m_most = m_least;
  m_begun.clear();
  m_samples = 0;
  m_sum = base::Duration{0};
  m_shortest.reset();
  m_loadTime.reset();
  m_saturatedAt.reset();
}

void LoadLimiter::setLeast(std::size_t least) {
  m_least = least;
  m_most = std::clamp(m_most, m_least, m_least * m_settings.maxLimitFactor);
}

void LoadLimiter::onBegun(const std::string& instance, std::size_t running, base::TimePoint now) {
  const bool full = running >= m_most;
  m_begun[instance] = {now, full};
  if (!full) {
    return;
  }
  for (auto& [other, begun] : m_begun) {
    begun.full = begun.full || begun.at == now;
  }
}

void LoadLimiter::onLoaded(const std::string& instance, base::TimePoint now) {
  const auto found = m_begun.find(instance);
  if (found == m_begun.end()) {
    return;
  }
  const Begun begun = found->second;
  m_begun.erase(found);
  const base::Duration took = now - begun.at;
  constexpr int kOldShare = 7;  // of eight: single slow engines move the mean little
  m_loadTime = m_loadTime ? (*m_loadTime * kOldShare + took) / (kOldShare + 1) : took;
  if (!begun.full) {
    return;
  }
  ++m_samples;
  m_sum += took;
  if (m_samples >= m_most) {
    judge(m_sum / static_cast<int>(m_samples), now);
    m_samples = 0;
    m_sum = base::Duration{0};
  }
}

void LoadLimiter::judge(base::Duration mean, base::TimePoint now) {
  const base::Duration shortest = m_shortest.value_or(mean);
  const auto tolerated = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, base::Duration::period>(static_cast<double>(shortest.count()) *
                                                            (1 + m_settings.tolerance)));
  if (mean > tolerated) {
    m_most = std::max(m_least, m_most - 1);
    m_saturatedAt = now;
    // A store that has become slower for good is the new measure after some rounds.
    constexpr int kPatience = 20;
    m_shortest = shortest + (mean - shortest) / kPatience;
    return;
  }
  m_shortest = std::min(shortest, mean);
  if (!m_saturatedAt || now - *m_saturatedAt >= m_settings.pause) {
    m_most = std::min(m_most + 1, m_least * m_settings.maxLimitFactor);
  }
}

}  // namespace tackpick::directory
