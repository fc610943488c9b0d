/// \file
/// The tick interval of a node.
#pragma once

#include "base/time.h"

namespace tackpick::node {

/// Interval between two ticks of a node's event loop.
inline constexpr base::Duration kTickInterval = base::milliseconds(20);

}  // namespace tackpick::node
