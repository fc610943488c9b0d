/// \file
/// Timers of the event loops.
#pragma once

#include <asio/basic_waitable_timer.hpp>

#include "base/time.h"

namespace tackpick::base {

/// Counts the time of a suspension, as all decisions do: a deadline that has passed meanwhile is
/// over at the resume. The operating system may wake the process late, by the time until the next
/// tick of its event loop, so whoever is woken compares times and does not trust the wake-up.
using Timer = asio::basic_waitable_timer<BootClock>;

}  // namespace tackpick::base
