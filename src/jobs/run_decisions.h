/// \file
/// Decisions of a gateway about the runs of its items.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace tackpick::jobs {

/// State of a run at its gateway.
struct RunState {
  bool expectedLong = false;   ///< according to the caller's estimate
  bool moved = false;          ///< it was moved away from a slow engine
  std::uint64_t events = 0;    ///< number of events of its text, over all runs
  bool started = false;        ///< this run has received an event
  base::Duration idleTime{0};  ///< time since the last event of this run
  std::uint32_t moves = 0;     ///< number of moves away from full or stalled engines
};

/// Returns the urgency of a run at its engine: 0 to 9, 0 first. Callers' requests without an
/// urgency count as 5 and precede all items. An engine that runs out of memory preempts the newest
/// of its least urgent requests, so long texts, which determine when a job completes, are more
/// urgent than short ones.
[[nodiscard]] inline int urgencyOf(const RunState& run) {
  constexpr int kStartedLongUrgency = 6;
  constexpr int kExpectedLongUrgency = 7;
  constexpr int kDefaultUrgency = 8;
  constexpr std::uint64_t kLongEvents = 30;
  if (run.moved || run.events >= kLongEvents) {
    return kStartedLongUrgency;
  }
  return run.expectedLong ? kExpectedLongUrgency : kDefaultUrgency;
}

/// Whether a run should move to another engine with free slots because its engine has preempted it
/// or failed. The limit of 700 ms is 14 usual event intervals.
[[nodiscard]] inline bool isStalled(const RunState& run) {
  constexpr base::Duration kStallLimit = base::milliseconds(700);
  constexpr std::uint32_t kMaxMoves = 3;
  return run.started && run.idleTime > kStallLimit && run.moves < kMaxMoves;
}

/// Maximum number of moves of a run to faster engines.
inline constexpr std::uint32_t kMaxMovesToFaster = 4;
/// Minimum speedup of a move. A batch that has just started processes prompts between its events
/// and appears up to 1.5 times slower for a second.
inline constexpr double kMinMoveSpeedup = 1.7;

/// Returns a conservative estimate of the remaining events of a text with `events` events, of which
/// `sinceLease` were generated under this lease; `remainingAtLease`: expected remaining events at
/// the start of the lease; zero: unknown, in which case the result is zero. The result includes a
/// margin of one standard deviation; without it, a text that exceeds its estimate would be moved
/// too late. A text that exceeds the margin is expected to grow by a share of its length.
[[nodiscard]] inline double remainingEventsOf(double remainingAtLease, std::uint64_t sinceLease,
                                              std::uint64_t events) {
  constexpr double kLengthMargin = 1.65;
  constexpr double kOverrunShare = 0.5;
  return remainingAtLease <= 0
             ? 0.0
             : std::max(kLengthMargin * remainingAtLease - static_cast<double>(sinceLease),
                        kOverrunShare * static_cast<double>(events));
}

/// Sustained speed and remaining text of a run.
struct RunForecast {
  double eventIntervalMs = 0;  ///< milliseconds between two events
  double remainingEvents = 0;  ///< expected remaining events; zero: unknown
  base::Duration timeUntilDue = base::Duration::max();  ///< Duration::max(): unknown
  std::uint32_t moves = 0;  ///< number of moves to faster engines so far

  /// Whether both the remaining events and the due time are known.
  [[nodiscard]] bool isKnown() const {
    return remainingEvents > 0 && timeUntilDue != base::Duration::max();
  }
};

/// Returns the maximum event interval, in milliseconds, of another engine to which the run should
/// move; std::nullopt if it should stay because it completes in time, no engine would complete it
/// clearly sooner, or the remaining work is unknown.
[[nodiscard]] inline std::optional<double> maxEventIntervalToMoveTo(const RunForecast& run) {
  /// Cost of a move: the prompt is processed again and the item may queue.
  constexpr double kMoveCostMs = 400;
  /// Minimum gain of a move; smaller gains are within the error of event intervals.
  constexpr double kMinGainMs = 400;
  const double endsInMs = run.remainingEvents * run.eventIntervalMs;
  const bool late = endsInMs > base::toMilliseconds(run.timeUntilDue);
  if (!run.isKnown() || !late || run.moves >= kMaxMovesToFaster) {
    return std::nullopt;
  }
  const double breakEvenMs = (endsInMs - kMoveCostMs - kMinGainMs) / run.remainingEvents;
  const double maxMs = std::min(breakEvenMs, run.eventIntervalMs / kMinMoveSpeedup);
  return maxMs > 0 ? std::optional(maxMs) : std::nullopt;
}

/// A run at an engine that terminates at a known time.
struct TerminatingRun {
  base::Duration timeToShutdown{0};  ///< time until the engine terminates
  double remainingEvents = 0;        ///< expected remaining events; zero: unknown
  base::Duration eventInterval{0};   ///< time between two events; zero: unknown
};

/// Whether a run must move to another engine now, keeping its events: it would not complete before
/// the engine terminates.
[[nodiscard]] inline bool mustMove(const TerminatingRun& run) {
  // Time to cancel the run and start it at another engine before this one closes the connection.
  constexpr base::Duration kHandoverTime = base::milliseconds(300);
  const auto remainingTime = base::Duration(static_cast<base::Duration::rep>(
      run.remainingEvents * static_cast<double>(run.eventInterval.count())));
  return run.timeToShutdown <= kHandoverTime + remainingTime;
}

}  // namespace tackpick::jobs
