#include "jobs/run_event_interval.h"

#include <algorithm>
#include <cstddef>

namespace tackpick::jobs {
namespace {

/// A slowness of less is waited out: to move a text costs about as much.
constexpr base::Duration kHalf = base::milliseconds(500);

double eventIntervalOf(std::ptrdiff_t events) {
  return base::toMilliseconds(kHalf) / static_cast<double>(std::max<std::ptrdiff_t>(events, 1));
}

}  // namespace

void RunEventInterval::onEvent(base::TimePoint now) {
  m_firstAt = m_firstAt == base::TimePoint{} ? now : m_firstAt;
  m_events.push_back(now);
  while (now - m_events.front() > 2 * kHalf) {
    m_events.pop_front();
  }
}

std::optional<double> RunEventInterval::sustainedMs(base::TimePoint now) const {
  if (m_firstAt == base::TimePoint{} || now - m_firstAt < 2 * kHalf) {
    return std::nullopt;
  }
  const auto early = std::upper_bound(m_events.begin(), m_events.end(), now - 2 * kHalf);
  const auto late = std::upper_bound(early, m_events.end(), now - kHalf);
  return std::min(eventIntervalOf(late - early), eventIntervalOf(m_events.end() - late));
}

}  // namespace tackpick::jobs
