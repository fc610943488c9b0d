/// \file
/// Recorded arrivals, batches and faults, to be replayed in the simulator.
///
/// One JSON object a line, each with a `kind`:
/// `expect` states the outcome; `request` is a caller's arrival (`at_ms`, `tokens`,
/// `not_repeatable`); `batch` is a trainer's next batch (`lengths`); `fault` happens at `at_ms`
/// (`name` as in FaultInjector).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace tackpick::simulation {

struct TracedRequest {
  base::Duration at{0};  ///< from the start of the load
  std::uint32_t tokens = 0;
  bool notRepeatable = false;
};

struct TracedFault {
  base::Duration at{0};
  std::string name;
};

/// What a replay must show, besides that no promise is broken.
struct TraceExpectation {
  std::uint64_t requests = 0;
  std::uint64_t answeredAtLeast = 0;
  std::uint64_t samples = 0;
};

struct Trace {
  TraceExpectation expectation;
  std::vector<TracedRequest> requests;
  std::vector<std::vector<std::uint32_t>> batches;  ///< tokens of each sample
  std::vector<TracedFault> faults;
};

/// Parses a trace; errors name the line.
[[nodiscard]] base::Result<Trace> parseTrace(const std::string& text);

}  // namespace tackpick::simulation
