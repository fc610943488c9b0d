/// \file
/// Relative cost of running an item at a batching engine, for comparing engines.
#pragma once

#include <algorithm>

namespace tackpick::jobs {

/// Event interval in milliseconds of an engine without observations.
inline constexpr double kUnknownEventIntervalMs = 1.0;

/// Returns the expected milliseconds per event of one more item. `utilization`: items at the
/// engine, including the new one, divided by its slots. A full batch is hardly slower than an empty
/// one, so speed counts more than balance; items that queue for a slot make no progress.
[[nodiscard]] inline double engineCost(double eventIntervalMs, double utilization) {
  constexpr double kBatchingPenalty = 0.06;
  constexpr double kQueueingPenalty = 4.0;
  const double queued = std::max(0.0, utilization - 1.0);
  return (eventIntervalMs > 0 ? eventIntervalMs : kUnknownEventIntervalMs) *
         (1.0 + kBatchingPenalty * utilization + kQueueingPenalty * queued);
}

}  // namespace tackpick::jobs
