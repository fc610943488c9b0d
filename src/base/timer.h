/// \file
/// Timer for use in event loops.
#pragma once

#include <asio/basic_waitable_timer.hpp>

#include "base/time.h"

namespace tackpick::base {

/// A timer that includes the time in which the machine is suspended. The operating system may wake
/// the process late after a resume, so handlers must compare times rather than rely on the timer
/// alone.
using Timer = asio::basic_waitable_timer<BootClock>;

}  // namespace tackpick::base
