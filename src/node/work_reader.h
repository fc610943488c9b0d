/// \file
/// Reads the open jobs and the weights summary for an operator.
#pragma once

#include <functional>
#include <memory>

#include "edge/work_call.h"

namespace tackpick::node {

class Node;

/// Calls the leaders of the ledgers and the controllers concurrently. `done` is called once, when
/// both have responded or timed out.
void readWork(Node& node, base::Duration deadline,
              std::function<void(const edge::WorkResponses& responses)> done);

}  // namespace tackpick::node
