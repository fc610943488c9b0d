/// \file
/// What an item needs of the engine that is to run it.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"

namespace tackpick::jobs {

/// What is left of an item, and until when.
struct ItemRequirements {
  std::string model;
  std::uint64_t minimumVersion = 0;  ///< of that model's weights
  /// Events that are still expected of its text; zero: unknown.
  double remainingEvents = 0;
  /// Until its result is due; the longest duration where no due time is known.
  base::Duration timeUntilDue = base::Duration::max();

  /// Whether the item ends in time can be told.
  [[nodiscard]] bool isKnown() const {
    return remainingEvents > 0 && timeUntilDue != base::Duration::max();
  }
};

}  // namespace tackpick::jobs
