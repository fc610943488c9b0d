/// \file
/// Asks both leaders what waits and why, for an operator.
#pragma once

#include <functional>
#include <memory>

#include "edge/work_call.h"

namespace tackpick::node {

class Node;

/// Asks the ledgers' and the controllers' leader at the same time; `done` is called once, when both
/// have answered or their deadlines are over.
void readWork(Node& node, base::Duration deadline,
              std::function<void(const edge::WorkResponses& answers)> done);

}  // namespace tackpick::node
