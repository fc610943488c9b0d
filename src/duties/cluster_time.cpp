#include "duties/cluster_time.h"

#include <algorithm>

namespace tackpick::duties {
namespace {

/// Clocks told longer ago do not count.
constexpr base::Duration kClockAge = base::seconds(10);
/// Of so many tellings the one that came fastest counts.
constexpr std::size_t kTellings = 8;

}  // namespace

void ClusterClock::onTold(base::NodeId node, base::WallTime shown, base::TimePoint now) {
  m_offsets[node] = {shown.time_since_epoch() - now.time_since_epoch(), now};
  std::erase_if(m_offsets,
                [&](const auto& entry) { return now - entry.second.reportedAt > kClockAge; });
}

base::WallTime ClusterClock::at(base::TimePoint now, base::WallTime own) const {
  std::vector<base::Duration> offsets = {own.time_since_epoch() - now.time_since_epoch()};
  for (const auto& [node, told] : m_offsets) {
    offsets.push_back(told.offset);
  }
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return base::WallTime{now.time_since_epoch() + *middle};
}

void ClusterTimeEstimate::onTold(base::WallTime leaderTime, base::TimePoint now) {
  const base::Duration offset = leaderTime.time_since_epoch() - now.time_since_epoch();
  if (m_offsets.size() < kTellings) {
    m_offsets.push_back(offset);
    return;
  }
  m_offsets[m_nextOffset] = offset;
  m_nextOffset = (m_nextOffset + 1) % kTellings;
}

base::WallTime ClusterTimeEstimate::at(base::TimePoint now, base::WallTime own) const {
  if (m_offsets.empty()) {
    return own;
  }
  // What comes late seems earlier than it is.
  return base::WallTime{now.time_since_epoch() +
                        *std::max_element(m_offsets.begin(), m_offsets.end())};
}

}  // namespace tackpick::duties
