/// \file
/// Writes numbered events to the log (glog).
#pragma once

#include <string>

#include "telemetry/event.h"

namespace tackpick::telemetry {

/// Sets up logging to standard error. Call once, first.
void initialiseLogging(const std::string& program);
/// Logs `E<number> <name> <detail>`; `detail` is `key=value` pairs.
void logEvent(EventId id, const std::string& detail);

}  // namespace tackpick::telemetry
