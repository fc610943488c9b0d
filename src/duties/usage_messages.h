/// \file
/// Messages about usage, the number of started requests by tenant and window of cluster time:
/// reports of gateways, commands in the log of the controllers, and reports to the platform.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/serialization.h"
#include "base/time.h"

namespace tackpick::duties {

/// Number of a window. Window k starts k window lengths after the Unix epoch.
using WindowNumber = std::uint64_t;

/// Returns the window that contains `at`.
[[nodiscard]] inline WindowNumber windowOf(base::WallTime at, base::Duration length) {
  return static_cast<WindowNumber>(at.time_since_epoch() / length);
}

/// Returns the end of a window.
[[nodiscard]] inline base::WallTime windowEnd(WindowNumber window, base::Duration length) {
  return base::WallTime{length * static_cast<base::Duration::rep>(window + 1)};
}

/// Number of requests that were started within a window.
struct WindowUsage {
  WindowNumber window = 0;
  std::map<std::string, std::uint64_t> counts;  ///< by tenant

  bool operator==(const WindowUsage&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(window, counts);
  }
};

/// All counts of a gateway in windows that are not finalized. Counts only increase, so duplicate
/// and delayed reports are harmless.
struct GatewayUsage {
  WindowNumber currentWindow = 0;  ///< at the time of the report; earlier windows are complete
  std::vector<WindowUsage> windows;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(currentWindow, windows);
  }
};

// Commands in the log of the controllers.

/// Starts the reporting of usage with this window. Only the first such command has an effect.
struct StartUsageReporting {
  WindowNumber window = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(window);
  }
};

/// Records the counts of a gateway, so that they survive the loss of the gateway and the leader.
struct RecordUsage {
  base::NodeId gateway;
  std::vector<WindowUsage> windows;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(gateway, windows);
  }
};

/// Finalizes the counts of a window. Windows are finalized in order.
struct FinalizeUsage {
  WindowUsage usage;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(usage);
  }
};

/// Records that the platform accepted the report of a window.
struct ConfirmUsage {
  WindowNumber window = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(window);
  }
};

// Calls to the platform.

/// Report of a window. Only the current leader may send it.
struct UsageReport {
  WindowUsage usage;
  std::uint64_t fence = 0;  ///< increases with each leader
};

}  // namespace tackpick::duties
