#include "jobs/broken_run_backoff.h"

#include <algorithm>

namespace tackpick::jobs {
namespace {

constexpr base::Duration kFirstPause = base::milliseconds(100);
constexpr base::Duration kLongestPause = base::milliseconds(2000);
/// Number of doublings after which kLongestPause is exceeded.
constexpr std::uint32_t kMaxDoublings = 5;

}  // namespace

base::Duration BrokenRunBackoff::delay() const {
  if (!isSuspect()) {
    return base::Duration{0};
  }
  constexpr std::uint32_t kRunsBeforeFirstPause = 2;
  const std::uint32_t doublings = std::min(m_brokenRuns - kRunsBeforeFirstPause, kMaxDoublings);
  return std::min(kFirstPause * (1U << doublings), kLongestPause);
}

}  // namespace tackpick::jobs
