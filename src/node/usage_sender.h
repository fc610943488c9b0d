/// \file
/// Counts the requests that began to run at this gateway and reports them to the controllers.
#pragma once

#include <string>

#include "directory/directory_messages.h"
#include "duties/cluster_time.h"
#include "duties/usage_counter.h"

namespace tackpick::node {

class Node;

/// Reports changes of the usage counts without waiting for the next watch, which also contains
/// them. This limits the counts lost if the gateway fails.
class UsageSender {
 public:
  explicit UsageSender(Node& node);

  /// Records that a request of `tenant` began to run.
  void onRequestStarted(const std::string& tenant, base::TimePoint at);
  void onView(const directory::DirectoryView& view);
  void tick();
  /// Whether the controllers have received all counts.
  [[nodiscard]] bool isReported() const { return m_reportedRevision == m_counter.revision(); }

 private:
  [[nodiscard]] base::WallTime clusterTime(base::TimePoint at) const;
  [[nodiscard]] base::Duration reportInterval() const;

  Node& m_node;
  duties::UsageCounter m_counter;
  duties::ClusterTimeEstimate m_clusterTime;
  std::uint64_t m_reportedRevision = 0;  ///< last revision that the controllers acknowledged
  bool m_reporting = false;
  base::TimePoint m_lastReportAt{};
};

}  // namespace tackpick::node
