/// \file
/// How fast one run makes events.
#pragma once

#include <deque>
#include <optional>

#include "base/time.h"

namespace tackpick::jobs {

/// Deterministic. Knows the events of a short while.
class RunEventInterval {
 public:
  void onEvent(base::TimePoint now);
  /// Milliseconds between two events that the run keeps to: of a while's two halves the faster, so
  /// that a slowness of a moment does not count. Nothing before the run has made events for so
  /// long.
  [[nodiscard]] std::optional<double> sustainedMs(base::TimePoint now) const;

 private:
  base::TimePoint m_firstAt{};
  std::deque<base::TimePoint> m_events;  ///< of the last while
};

}  // namespace tackpick::jobs
