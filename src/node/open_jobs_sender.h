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

/// Every watch of the ledgers' leader contains the open jobs, but a watch may be held for half a
/// second. Changes are therefore also reported by separate calls, since weights and engines are
/// planned from them.
class OpenJobsSender {
 public:
  explicit OpenJobsSender(Node& node) : m_node(node) {}

  /// Reports the open jobs if they have changed and no report is in flight.
  void tick(const jobs::JobRole& ledger);

 private:
  Node& m_node;
  std::uint64_t m_reportedRevision = 0;  ///< revision of the open jobs that the controllers have
  bool m_reporting = false;
  base::TimePoint m_lastReportAt{};
};

}  // namespace tackpick::node
