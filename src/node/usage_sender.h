/// \file
/// Counts the requests that began to run at this gateway and tells the controllers.
#pragma once

#include <string>

#include "directory/directory_messages.h"
#include "duties/cluster_time.h"
#include "duties/usage_counter.h"

namespace tackpick::node {

class Node;

/// Every watch of this gateway carries all that it has counted. In between, news are told by calls
/// of their own, so that little is lost with a gateway that dies.
class UsageSender {
 public:
  explicit UsageSender(Node& node);

  /// A request of `tenant` began to run.
  void onRequestStarted(const std::string& tenant, base::TimePoint at);
  void onView(const directory::DirectoryView& view);
  void tick();
  /// The controllers have heard of all that was counted.
  [[nodiscard]] bool isTold() const { return m_told == m_counter.revision(); }

 private:
  [[nodiscard]] base::WallTime clusterTime(base::TimePoint at) const;
  [[nodiscard]] base::Duration tellInterval() const;

  Node& m_node;
  duties::UsageCounter m_counter;
  duties::ClusterTimeEstimate m_clusterTime;
  std::uint64_t m_told = 0;  ///< revision of the counter that the controllers have
  bool m_telling = false;
  base::TimePoint m_toldAt{};
};

}  // namespace tackpick::node
