/// \file
/// Limits on crashes and trials of one request.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace tackpick::quarantine {

/// Number of crashes after which a request is held. Fewer may be coincidental: the request may
/// have shared instances with another request that crashed them.
inline constexpr std::size_t kMaxCrashes = 3;

/// Maximum trials of a held request, each at one instance. A trial succeeds if a new release
/// handles the request or if the request was held by mistake.
inline constexpr std::uint32_t kMaxTrials = 3;

/// Returns the delay from the hold or the last trial to the next trial. The first is short, for
/// requests that were held by mistake; each failed trial makes a mistake less likely and increases
/// the delay.
[[nodiscard]] constexpr base::Duration trialDelay(std::uint32_t trials) {
  constexpr base::Duration kInitialDelay = base::seconds(4);
  constexpr int kBackoffFactor = 10;
  base::Duration delay = kInitialDelay;
  for (std::uint32_t trial = 0; trial < trials; ++trial) {
    delay *= kBackoffFactor;
  }
  return delay;
}

/// Returns the time of the next trial after `trials` trials; the maximum time if none follows.
[[nodiscard]] constexpr base::WallTime nextTrialTime(base::WallTime after, std::uint32_t trials) {
  return trials < kMaxTrials ? after + trialDelay(trials) : base::WallTime::max();
}

/// Time after its hold or last trial at which a held request is released.
inline constexpr base::Duration kHoldRetention = std::chrono::hours(24);
/// Time for which crashes of requests that are not held are kept.
inline constexpr base::Duration kCrashRetention = std::chrono::minutes(10);
/// Maximum number of held requests, and of requests with recorded crashes per process; the oldest
/// are evicted. At an estimated 100 bytes each, they take 100 KB.
inline constexpr std::size_t kMaxRequests = 1024;

}  // namespace tackpick::quarantine
