/// \file
/// Estimates of the true time in a cluster in which some clocks may be wrong.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"

namespace tackpick::duties {

/// Median of the clocks of all nodes, maintained by the leader of the controllers. If fewer than
/// half of the clocks are wrong, the error is at most the difference between correct clocks. The
/// latency of messages makes the clocks of other nodes appear slightly late. Deterministic; owned
/// by one thread.
class ClusterClock {
 public:
  /// Records the time that a node's clock showed when it sent a message.
  void onClockReport(base::NodeId node, base::WallTime wallTime, base::TimePoint now);
  void reset() { m_offsets.clear(); }
  /// Returns the estimated true time. `localTime` is the time of this machine's clock.
  [[nodiscard]] base::WallTime at(base::TimePoint now, base::WallTime localTime) const;

 private:
  struct Offset {
    base::Duration offset{0};  ///< wall time minus monotonic time of this process
    base::TimePoint reportedAt{};
  };
  std::map<base::NodeId, Offset> m_offsets;
};

/// Estimate of the leader's time, maintained by every other node. Deterministic; owned by one
/// thread.
class ClusterTimeEstimate {
 public:
  /// Records the leader's time from a message.
  void onLeaderTime(base::WallTime leaderTime, base::TimePoint now);
  /// Returns the estimated leader's time, `localTime` until the first message.
  [[nodiscard]] base::WallTime at(base::TimePoint now, base::WallTime localTime) const;

 private:
  std::vector<base::Duration> m_offsets;  ///< latest samples: leader's time minus monotonic time
  std::size_t m_nextOffset = 0;           ///< next sample to be overwritten
};

}  // namespace tackpick::duties
