/// \file
/// How often a node ticks.
#pragma once

#include "base/time.h"

namespace tackpick::node {

/// Between two ticks of a node's event loop.
inline constexpr base::Duration kTickInterval = base::milliseconds(20);

}  // namespace tackpick::node
