/// \file
/// What a gateway decides about the runs of its items, from what it sees of them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace tackpick::jobs {

/// A run of an item, as its gateway sees it.
struct RunState {
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
[[nodiscard]] inline int urgencyOf(const RunState& run) {
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
[[nodiscard]] inline bool isStalled(const RunState& run) {
  constexpr base::Duration kStallLimit = base::milliseconds(700);
  constexpr std::uint32_t kMaxMoves = 3;
  return run.begun && run.silence > kStallLimit && run.moves < kMaxMoves;
}

/// Moves of a run to faster engines.
inline constexpr std::uint32_t kMaxMovesToFaster = 4;
/// Elsewhere a text goes on at least so much faster. A batch that has just begun reads prompts
/// between its events and seems up to 1.5 times slower than others for a second.
inline constexpr double kMinMoveSpeedup = 1.7;

/// Events to reckon with for the rest of a text that has `events`, `sinceLease` of them made under
/// this lease, when `restAtLease` were expected at its beginning; zero: unknown. Estimates err, and
/// once a text has outgrown its estimate it is too late to move it: one spread of the estimates is
/// added. A text beyond that is expected to go on for a part of its length.
[[nodiscard]] inline double remainingEventsOf(double restAtLease, std::uint64_t sinceLease,
                                              std::uint64_t events) {
  constexpr double kLengthMargin = 1.65;
  constexpr double kOutgrownShare = 0.5;
  return restAtLease <= 0 ? 0.0
                          : std::max(kLengthMargin * restAtLease - static_cast<double>(sinceLease),
                                     kOutgrownShare * static_cast<double>(events));
}

/// A run at the pace that it keeps to, and what is left of its text.
struct RunForecast {
  double eventIntervalMs = 0;                           ///< between two events
  double remainingEvents = 0;                           ///< zero: unknown
  base::Duration timeUntilDue = base::Duration::max();  ///< the longest duration: unknown
  std::uint32_t moves = 0;                              ///< to faster engines so far

  /// Whether it ends in time can be told.
  [[nodiscard]] bool isKnown() const {
    return remainingEvents > 0 && timeUntilDue != base::Duration::max();
  }
};

/// The longest pace of another engine, in milliseconds, at which the run should go on there;
/// nothing when it stays: it ends in time where it is, or no engine can make it end clearly sooner.
[[nodiscard]] inline std::optional<double> maxEventIntervalToMoveTo(const RunForecast& run) {
  /// The prompt is read again, and a place may have to be waited for.
  constexpr double kMoveCostMs = 400;
  /// Less is within the error of event intervals.
  constexpr double kMinGainMs = 400;
  const double endsInMs = run.remainingEvents * run.eventIntervalMs;
  const bool late = endsInMs > base::toMilliseconds(run.timeUntilDue);
  if (!run.isKnown() || !late || run.moves >= kMaxMovesToFaster) {
    return std::nullopt;
  }
  const double sooner = (endsInMs - kMoveCostMs - kMinGainMs) / run.remainingEvents;
  const double longest = std::min(sooner, run.eventIntervalMs / kMinMoveSpeedup);
  return longest > 0 ? std::optional(longest) : std::nullopt;
}

/// A run at an engine that ends at a stated time.
struct TerminatingRun {
  base::Duration untilEnd{0};  ///< of the engine
  double remainingEvents = 0;  ///< still expected of its text; zero: unknown
  base::Duration pace{0};      ///< between two events there; zero: unknown
};

/// True when a run should go on elsewhere now, with the events that it has: what is left of it does
/// not end there, or the time to hand it over is all that is left.
[[nodiscard]] inline bool mustMove(const TerminatingRun& run) {
  // To break off, and to be taken by another engine before this one closes the connection.
  constexpr base::Duration kHandOver = base::milliseconds(300);
  const auto rest = base::Duration(static_cast<base::Duration::rep>(
      run.remainingEvents * static_cast<double>(run.pace.count())));
  return run.untilEnd <= kHandOver + rest;
}

}  // namespace tackpick::jobs
