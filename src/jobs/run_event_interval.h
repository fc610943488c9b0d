/// \file
/// Measures the event interval of one run.
#pragma once

#include <deque>
#include <optional>

#include "base/time.h"

namespace tackpick::jobs {

/// Measures the event interval of a run over a short sliding window. Deterministic.
class RunEventInterval {
 public:
  void onEvent(base::TimePoint now);
  /// Returns the sustained event interval in milliseconds: the smaller one of the two halves of the
  /// window, so that a transient slowdown does not count. std::nullopt until the run has generated
  /// events for a full window.
  [[nodiscard]] std::optional<double> sustainedMs(base::TimePoint now) const;

 private:
  base::TimePoint m_firstEventAt{};
  std::deque<base::TimePoint> m_events;  ///< events of the window
};

}  // namespace tackpick::jobs
