/// \file
/// How late the ticks of an event loop come.
#pragma once

#include "base/time.h"

namespace tackpick::base {

/// An event loop ticks each `interval` when it has nothing else to do. What its ticks come later is
/// averaged over the time that they took, in windows: one long pause shows in one window only, a
/// loop without enough processor in each. Deterministic.
class EventLoopLag {
 public:
  explicit EventLoopLag(Duration interval, Duration window = milliseconds(500))
      : m_interval(interval), m_window(window) {}

  void onTick(TimePoint now);
  /// Of the last whole window; zero before there is one.
  [[nodiscard]] Duration average() const { return m_average; }

 private:
  const Duration m_interval;
  const Duration m_window;
  TimePoint m_tickedAt{};
  TimePoint m_windowFrom{};
  double m_weighted = 0;  ///< lateness times the time between the ticks, in square microseconds
  Duration m_average{0};
};

}  // namespace tackpick::base
