/// \file
/// Measures the lag of an event loop.
#pragma once

#include "base/time.h"

namespace tackpick::base {

/// Averages the delay of a periodic timer beyond its `interval`, weighted by the time between ticks
/// and separately for each window. One long pause affects one window; a lack of CPU time affects
/// every window. Deterministic.
class EventLoopLag {
 public:
  explicit EventLoopLag(Duration interval, Duration window = milliseconds(500))
      : m_interval(interval), m_window(window) {}

  void onTick(TimePoint now);
  /// Returns the average lag in the last complete window; zero before the first one ends.
  [[nodiscard]] Duration average() const { return m_average; }

 private:
  const Duration m_interval;
  const Duration m_window;
  TimePoint m_lastTickAt{};
  TimePoint m_windowStart{};
  double m_weightedLag = 0;  ///< sum of lag times time between ticks, in square microseconds
  Duration m_average{0};
};

}  // namespace tackpick::base
