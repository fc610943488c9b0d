/// \file
/// How many instances one request may end, and when it is tried again.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace tackpick::quarantine {

/// A request under which so many instances have ended is held. Two may be chance: a sound request
/// that shared two servers with another that ended them.
inline constexpr std::size_t kMaxCrashes = 3;

/// Trials of a held request, each at one instance: a new release may bear it, and a sound one that
/// was held by chance must get through. The users' limit is three sends after the third crash.
inline constexpr std::uint32_t kMaxTrials = 3;

/// From the hold, or the trial before, to the next trial. The first comes soon enough for an item
/// of a step that was held by chance; the pause then grows tenfold, since whoever has ended an
/// instance again has shown that it was no chance.
[[nodiscard]] constexpr base::Duration trialPause(std::uint32_t trials) {
  constexpr base::Duration kFirst = base::seconds(4);
  constexpr int kGrowth = 10;
  base::Duration pause = kFirst;
  for (std::uint32_t trial = 0; trial < trials; ++trial) {
    pause *= kGrowth;
  }
  return pause;
}

/// When the next trial is due after `trials` of them; never after the last.
[[nodiscard]] constexpr base::WallTime nextTrial(base::WallTime after, std::uint32_t trials) {
  return trials < kMaxTrials ? after + trialPause(trials) : base::WallTime::max();
}

/// A held request is forgotten this long after its hold or its last trial.
inline constexpr base::Duration kHoldMemory = std::chrono::hours(24);
/// Crashes of requests that are not held are forgotten after this time.
inline constexpr base::Duration kCrashMemory = std::chrono::minutes(10);
/// Most requests that are held, and most of which crashes are kept in one process; the oldest give
/// way. At 100 bytes each by estimate: 100 KB.
inline constexpr std::size_t kMaxRequests = 1024;

}  // namespace tackpick::quarantine
