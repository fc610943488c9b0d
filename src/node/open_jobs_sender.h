/// \file
/// Reports the open jobs of the ledgers to the controllers.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace tackpick::jobs {
class JobRole;
}

namespace tackpick::node {

class Node;

/// Reports changes of the open jobs without waiting for the next watch, which also contains them.
/// The controllers plan weights and engines from the open jobs.
class OpenJobsSender {
 public:
  explicit OpenJobsSender(Node& node) : m_node(node) {}

  /// Reports the open jobs if they have changed and no report is in flight.
  void tick(const jobs::JobRole& ledger);

 private:
  Node& m_node;
  std::uint64_t m_reportedRevision = 0;  ///< last revision that the controllers acknowledged
  bool m_reporting = false;
  base::TimePoint m_lastReportAt{};
};

}  // namespace tackpick::node
