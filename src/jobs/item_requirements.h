/// \file
/// Requirements of an item for its engine.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"

namespace tackpick::jobs {

/// Remaining work of an item and the time until it is due.
struct ItemRequirements {
  std::string model;
  std::uint64_t minimumVersion = 0;  ///< oldest version of the weights that may run the item
  /// Expected remaining events of its text; zero: unknown.
  double remainingEvents = 0;
  /// Time until its result is due; Duration::max() if there is no due time.
  base::Duration timeUntilDue = base::Duration::max();

  /// Whether both the remaining events and the due time are known.
  [[nodiscard]] bool isKnown() const {
    return remainingEvents > 0 && timeUntilDue != base::Duration::max();
  }
};

}  // namespace tackpick::jobs
