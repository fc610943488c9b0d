/// \file
/// What a gateway decides about the runs of its items, from what it sees of them.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace tackpick::jobs {

/// A run of an item, as its gateway sees it.
struct RunSight {
  bool expectedLong = false;  ///< by the caller's estimate
  bool moved = false;         ///< it has left an engine that was slow
  std::uint64_t events = 0;   ///< of its text so far, all runs together
  bool begun = false;         ///< this run has brought an event
  base::Duration silence{0};  ///< since this run's last byte
  std::uint32_t moves = 0;    ///< away from engines that were full or made no events
};

/// How soon an engine should take a run: 0 to 9, 0 first; callers' requests, which say nothing,
/// count as 5 and come before all items. An engine that runs out of memory puts back the newest of
/// the least urgent, which then waits for seconds: a long text that is put back decides when its
/// step ends, a short one has time.
[[nodiscard]] inline int urgencyOf(const RunSight& run) {
  constexpr int kBegunLong = 6;
  constexpr int kExpectedLong = 7;
  constexpr int kOther = 8;
  constexpr std::uint64_t kLongEvents = 30;
  if (run.moved || run.events >= kLongEvents) {
    return kBegunLong;
  }
  return run.expectedLong ? kExpectedLong : kOther;
}

/// True when a run should go on elsewhere, if another engine has room: its engine has put it back
/// for want of memory, or is dead. 700 ms are 14 of the usual pauses between two events.
[[nodiscard]] inline bool isStalled(const RunSight& run) {
  constexpr base::Duration kStallLimit = base::milliseconds(700);
  constexpr std::uint32_t kMostMoves = 3;
  return run.begun && run.silence > kStallLimit && run.moves < kMostMoves;
}

/// A run at an engine that ends at a stated time.
struct EndingRun {
  base::Duration untilEnd{0};  ///< of the engine
  double restEvents = 0;       ///< still expected of its text; zero: unknown
  base::Duration pace{0};      ///< between two events there; zero: unknown
};

/// True when a run should go on elsewhere now, with the events that it has: what is left of it does
/// not end there, or the time to hand it over is all that is left.
[[nodiscard]] inline bool mustMoveOn(const EndingRun& run) {
  // To break off, and to be taken by another engine before this one closes the connection.
  constexpr base::Duration kHandOver = base::milliseconds(300);
  const auto rest = base::Duration(
      static_cast<base::Duration::rep>(run.restEvents * static_cast<double>(run.pace.count())));
  return run.untilEnd <= kHandOver + rest;
}

}  // namespace tackpick::jobs
