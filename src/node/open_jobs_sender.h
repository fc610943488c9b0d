/// \file
/// Tells the controllers what is open at the ledgers.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace tackpick::jobs {
class JobRole;
}

namespace tackpick::node {

class Node;

/// Every watch of the ledgers' leader carries what is open. A watch may be held for half a second;
/// a job that comes or ends is told at once, since weights and engines are planned by it.
class OpenJobsSender {
 public:
  explicit OpenJobsSender(Node& node) : m_node(node) {}

  void tick(const jobs::JobRole& ledger);

 private:
  Node& m_node;
  std::uint64_t m_told = 0;  ///< JobRole::workRevision() that the controllers have
  bool m_telling = false;
  base::TimePoint m_toldAt{};
};

}  // namespace tackpick::node
