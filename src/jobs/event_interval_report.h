/// \file
/// A gateway's observation of an engine's event interval.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace tackpick::jobs {

/// Event interval and slowdown of one engine. Times are given as ages, because the clocks of
/// machines differ.
struct EventIntervalReport {
  double eventIntervalMs = 0;  ///< zero: unknown
  base::Duration age{0};       ///< age of the last event in the sample
  /// Slowdown that the engine reported, in percent of normal.
  std::uint32_t slowdownPercent = 100;
  base::Duration slowdownAge{0};  ///< age of the engine's slowdown report

  template <class Archive>
  void serialize(Archive& archive) {
    archive(eventIntervalMs, age, slowdownPercent, slowdownAge);
  }
};

}  // namespace tackpick::jobs
