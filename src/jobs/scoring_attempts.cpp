#include "jobs/scoring_attempts.h"

#include <algorithm>

#include "base/utf8.h"
#include "http/status.h"

namespace tackpick::jobs {
namespace {

constexpr base::Duration kFirstDelay = base::milliseconds(15);
constexpr std::uint32_t kMaxDoublings = 4;
constexpr int kFirstRedirect = 300;

}  // namespace

ScoringAction ScoringAttempts::onResponse(const ScorerResponse& response) {
  using namespace http::status;
  const bool success =
      response.complete && response.status >= kOk && response.status < kFirstRedirect;
  if (success && !response.signature.empty() && base::isValidUtf8(response.signature)) {
    return ScoringAction::kScored;
  }
  if (!response.complete && !response.notExecuted) {
    m_brokenCalls.onBroken();
  }
  const bool failed = response.complete && !response.notExecuted && response.status == kServerError;
  if (!failed) {
    ++m_consecutiveRefusals;
    return ScoringAction::kRetry;
  }
  m_consecutiveRefusals = 0;
  ++m_failures;
  return m_failures >= m_attempts ? ScoringAction::kGivenUp : ScoringAction::kRetry;
}

base::Duration ScoringAttempts::delay() const {
  if (m_consecutiveRefusals == 0) {
    return base::Duration{0};
  }
  const base::Duration refusalDelay =
      kFirstDelay * (1U << std::min(m_consecutiveRefusals - 1, kMaxDoublings));
  return std::max(refusalDelay, m_brokenCalls.delay());
}

}  // namespace tackpick::jobs
