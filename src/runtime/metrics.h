/// \file
/// Metrics of a process in the Prometheus text format.
#pragma once

#include <string>

namespace tackpick::runtime {

class Daemon;

[[nodiscard]] std::string renderMetrics(Daemon& daemon);

}  // namespace tackpick::runtime
