#include "jobs/scoring_attempts.h"

#include <algorithm>

#include "http/status.h"

namespace tackpick::jobs {
namespace {

constexpr base::Duration kFirstDelay = base::milliseconds(15);
constexpr std::uint32_t kMaxDoublings = 4;
constexpr int kFirstRedirect = 300;

}  // namespace

ScoringStep ScoringAttempts::onResponse(const ScorerResponse& answer) {
  using namespace http::status;
  const bool success = answer.complete && answer.status >= kOk && answer.status < kFirstRedirect;
  if (success && !answer.signature.empty()) {
    return ScoringStep::kScored;
  }
  const bool failed = answer.complete && !answer.notRun && answer.status == kServerError;
  if (!failed) {
    ++m_refusals;
    return ScoringStep::kRepeat;
  }
  m_refusals = 0;
  ++m_failures;
  return m_failures >= m_attempts ? ScoringStep::kGivenUp : ScoringStep::kRepeat;
}

base::Duration ScoringAttempts::delay() const {
  if (m_refusals == 0) {
    return base::Duration{0};
  }
  return kFirstDelay * (1U << std::min(m_refusals - 1, kMaxDoublings));
}

}  // namespace tackpick::jobs
