/// \file
/// How long an item is expected to take at a batching engine, for comparing engines.
#pragma once

#include <algorithm>

namespace tackpick::jobs {

/// Milliseconds between two events where nothing has been observed.
inline constexpr double kUnknownEventIntervalMs = 1.0;

/// `eventIntervalMs` between two events; `occupied`: items there, with the one to come, as a part
/// of its slots. A full batch is hardly slower than an empty one, so speed counts more than
/// balance; but what waits for a place makes no progress.
[[nodiscard]] inline double engineCost(double eventIntervalMs, double occupied) {
  constexpr double kSharing = 0.06;
  constexpr double kQueueing = 4.0;
  const double queued = std::max(0.0, occupied - 1.0);
  return (eventIntervalMs > 0 ? eventIntervalMs : kUnknownEventIntervalMs) *
         (1.0 + kSharing * occupied + kQueueing * queued);
}

}  // namespace tackpick::jobs
