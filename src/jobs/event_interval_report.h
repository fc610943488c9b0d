/// \file
/// What a gateway has seen of an engine's pace.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace tackpick::jobs {

/// Ages are durations, since clocks of machines differ.
struct EventIntervalReport {
  double eventIntervalMs = 0;  ///< milliseconds between two events of a stream
  base::Duration age{0};       ///< since the last event that it was measured by
  /// How long work takes at this moment, in percent of what is usual there, as the engine said.
  std::uint32_t slowdownPercent = 100;
  base::Duration slowdownAge{0};  ///< since the engine said so

  template <class Archive>
  void serialize(Archive& archive) {
    archive(eventIntervalMs, age, slowdownPercent, slowdownAge);
  }
};

}  // namespace tackpick::jobs
