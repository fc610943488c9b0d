/// \file
/// Metrics of a process in the Prometheus text format.
#pragma once

#include <string>

namespace tackpick::runtime {

class Daemon;

/// Returns the metrics of all roles of the process.
[[nodiscard]] std::string renderMetrics(Daemon& daemon);

}  // namespace tackpick::runtime
