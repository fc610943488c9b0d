/// \file
/// Usage: requests that began to run, by tenant and window of true time. What gateways tell, what
/// goes through the controllers' log, and what the platform is told.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/serialization.h"
#include "base/time.h"

namespace tackpick::duties {

/// Window k begins k times the windows' length after the start of 1970.
using WindowNumber = std::uint64_t;

/// The window in which `at` lies.
[[nodiscard]] inline WindowNumber windowOf(base::WallTime at, base::Duration length) {
  return static_cast<WindowNumber>(at.time_since_epoch() / length);
}

/// When a window is over.
[[nodiscard]] inline base::WallTime endOf(WindowNumber window, base::Duration length) {
  return base::WallTime{length * static_cast<base::Duration::rep>(window + 1)};
}

/// Requests that began to run within one window.
struct WindowUsage {
  WindowNumber window = 0;
  std::map<std::string, std::uint64_t> counts;  ///< by tenant

  bool operator==(const WindowUsage&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(window, counts);
  }
};

/// All that a gateway has counted in the windows that are not decided. Counts only rise, so that a
/// report which comes twice or late changes nothing.
struct GatewayUsage {
  WindowNumber present = 0;  ///< the window in which it was told; all earlier ones are complete
  std::vector<WindowUsage> windows;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(present, windows);
  }
};

// Through the log.

/// From this window on usage is reported. Counts only once.
struct StartUsageReporting {
  WindowNumber window = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(window);
  }
};

/// What a gateway has told, so that it outlives the gateway and the leader.
struct RecordUsage {
  base::NodeId gateway;
  std::vector<WindowUsage> windows;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(gateway, windows);
  }
};

/// The counts of a window from now on, whoever leads. Windows are decided in turn.
struct FinalizeUsage {
  WindowUsage usage;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(usage);
  }
};

/// The platform has taken a window's report.
struct ConfirmUsage {
  WindowNumber window = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(window);
  }
};

// To the platform.

/// A call that only the present holder of the duty may make.
struct UsageReport {
  WindowUsage usage;
  std::uint64_t fence = 0;  ///< rises with each holder
};

}  // namespace tackpick::duties
