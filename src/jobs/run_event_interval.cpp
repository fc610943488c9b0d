#include "jobs/run_event_interval.h"

#include <algorithm>
#include <cstddef>

namespace tackpick::jobs {
namespace {

/// Length of each half of the sliding window. Shorter slowdowns are tolerated, because a move of
/// the text would cost about the same time.
constexpr base::Duration kHalfWindow = base::milliseconds(500);

double eventIntervalOf(std::ptrdiff_t events) {
  return base::toMilliseconds(kHalfWindow) /
         static_cast<double>(std::max<std::ptrdiff_t>(events, 1));
}

}  // namespace

void RunEventInterval::onEvent(base::TimePoint now) {
  m_firstEventAt = m_firstEventAt == base::TimePoint{} ? now : m_firstEventAt;
  m_events.push_back(now);
  while (now - m_events.front() > 2 * kHalfWindow) {
    m_events.pop_front();
  }
}

std::optional<double> RunEventInterval::sustainedMs(base::TimePoint now) const {
  if (m_firstEventAt == base::TimePoint{} || now - m_firstEventAt < 2 * kHalfWindow) {
    return std::nullopt;
  }
  const auto early = std::upper_bound(m_events.begin(), m_events.end(), now - 2 * kHalfWindow);
  const auto late = std::upper_bound(early, m_events.end(), now - kHalfWindow);
  return std::min(eventIntervalOf(late - early), eventIntervalOf(m_events.end() - late));
}

}  // namespace tackpick::jobs
