#include "duties/cluster_time.h"

#include <algorithm>

namespace tackpick::duties {
namespace {

/// Age after which a clock report is dropped.
constexpr base::Duration kMaxReportAge = base::seconds(10);
/// Number of samples kept; the one with the lowest latency is used.
constexpr std::size_t kMaxSamples = 8;

}  // namespace

void ClusterClock::onClockReport(base::NodeId node, base::WallTime wallTime, base::TimePoint now) {
  m_offsets[node] = {wallTime.time_since_epoch() - now.time_since_epoch(), now};
  std::erase_if(m_offsets,
                [&](const auto& entry) { return now - entry.second.reportedAt > kMaxReportAge; });
}

base::WallTime ClusterClock::at(base::TimePoint now, base::WallTime localTime) const {
  std::vector<base::Duration> offsets = {localTime.time_since_epoch() - now.time_since_epoch()};
  for (const auto& [node, report] : m_offsets) {
    offsets.push_back(report.offset);
  }
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return base::WallTime{now.time_since_epoch() + *middle};
}

void ClusterTimeEstimate::onLeaderTime(base::WallTime leaderTime, base::TimePoint now) {
  const base::Duration offset = leaderTime.time_since_epoch() - now.time_since_epoch();
  if (m_offsets.size() < kMaxSamples) {
    m_offsets.push_back(offset);
    return;
  }
  m_offsets[m_nextOffset] = offset;
  m_nextOffset = (m_nextOffset + 1) % kMaxSamples;
}

base::WallTime ClusterTimeEstimate::at(base::TimePoint now, base::WallTime localTime) const {
  if (m_offsets.empty()) {
    return localTime;
  }
  // Latency makes the offset smaller, so the largest offset has the lowest latency.
  return base::WallTime{now.time_since_epoch() +
                        *std::max_element(m_offsets.begin(), m_offsets.end())};
}

}  // namespace tackpick::duties
