#include "forwarding/retry_policy.h"

#include <algorithm>

namespace tackpick::forwarding {
namespace {

/// Share of the target latency after which a hedged copy is sent.
constexpr int kHedgePercent = 50;
constexpr int kPercent = 100;
/// Minimum remaining time for another attempt.
constexpr base::Duration kMinAttempt = base::milliseconds(5);

}  // namespace

RetryPolicy::RetryPolicy(const directory::Route& route, base::TimePoint receivedAt,
                         base::TimePoint deadline)
    : m_repeatable(route.kind == directory::RouteKind::kRepeatable && !route.streaming),
      m_maxAttempts(route.attempts),
      m_targetLatency(route.targetLatency),
      m_deadline(std::min(deadline, receivedAt + route.timeout)) {}

base::Verdict RetryPolicy::onResult(AttemptResult result) {
  m_inFlight -= m_inFlight > 0 ? 1 : 0;
  const base::Verdict attemptVerdict = [&] {
    switch (result) {
      case AttemptResult::kNotRun:
        return base::Verdict::kNotRun;
      case AttemptResult::kIncomplete:
        return base::Verdict::kMayHaveRun;
      default:
        return base::Verdict::kRan;
    }
  }();
  m_verdict = base::combine(m_verdict, attemptVerdict);
  return m_verdict;
}

bool RetryPolicy::maySend(base::TimePoint now) const {
  if (m_attempts >= m_maxAttempts || now + kMinAttempt >= m_deadline) {
    return false;
  }
  return m_repeatable || (m_inFlight == 0 && m_verdict == base::Verdict::kNotRun);
}

std::optional<base::TimePoint> RetryPolicy::hedgeTime(base::TimePoint sentAt) const {
  if (!m_repeatable || m_attempts >= m_maxAttempts || m_targetLatency <= base::Duration{0}) {
    return std::nullopt;
  }
  return sentAt + m_targetLatency * kHedgePercent / kPercent;
}

}  // namespace tackpick::forwarding
