/// \file
/// True time of a cluster, from clocks of which some may be wrong.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"

namespace tackpick::duties {

/// Held by the controllers' leader: the median of what its nodes' clocks show. A step of the clocks
/// of fewer than half of the machines moves it by as much as sound clocks differ. A message's way
/// makes a clock seem late, by a millisecond or so. Deterministic; owned by one thread.
class ClusterClock {
 public:
  /// A message told what its sender's clock showed.
  void onTold(base::NodeId node, base::WallTime shown, base::TimePoint now);
  void reset() { m_offsets.clear(); }
  /// `own`: what this machine's clock shows.
  [[nodiscard]] base::WallTime at(base::TimePoint now, base::WallTime own) const;

 private:
  struct Offset {
    base::Duration offset{0};  ///< from this process's monotonic clock
    base::TimePoint reportedAt{};
  };
  std::map<base::NodeId, Offset> m_offsets;
};

/// Held by every other node: the leader's time, as it was told. Deterministic; owned by one thread.
class ClusterTimeEstimate {
 public:
  void onTold(base::WallTime leaderTime, base::TimePoint now);
  /// `own` until something was told.
  [[nodiscard]] base::WallTime at(base::TimePoint now, base::WallTime own) const;

 private:
  std::vector<base::Duration> m_offsets;  ///< the latest, from this process's monotonic clock
  std::size_t m_nextOffset = 0;
};

}  // namespace tackpick::duties
