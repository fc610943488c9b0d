/// \file
/// Recorded requests, batches and faults that the simulator replays.
///
/// The file has one JSON object per line, each with a `kind`: `expect` (expected outcome:
/// `requests`, `answered_at_least`, `samples`), `request` (request of a caller: `at_ms`, `tokens`,
/// `not_repeatable`), `batch` (next batch of a trainer: `lengths`) or `fault` (`at_ms`, `name` as
/// in FaultInjector).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace tackpick::simulation {

struct TraceRequest {
  base::Duration at{0};  ///< time since the start of the load
  std::uint32_t tokens = 0;
  bool notRepeatable = false;
};

struct TraceFault {
  base::Duration at{0};
  std::string name;
};

/// Expected outcome of a replay, in addition to the invariants.
struct TraceExpectation {
  std::uint64_t requests = 0;
  std::uint64_t minAnswered = 0;  ///< minimum number of complete responses
  std::uint64_t samples = 0;
};

struct WorkloadTrace {
  TraceExpectation expectation;
  std::vector<TraceRequest> requests;
  std::vector<std::vector<std::uint32_t>> batches;  ///< number of tokens of each sample, by batch
  std::vector<TraceFault> faults;
};

/// Parses a trace. The error message contains the line number.
[[nodiscard]] base::Result<WorkloadTrace> parseTrace(const std::string& text);

}  // namespace tackpick::simulation
