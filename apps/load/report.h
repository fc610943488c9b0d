/// \file
/// Report of a load run.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace tackpick::load {

/// Counters and latencies of callers and trainers. The run fails if violationCount() is not zero.
struct Report {
  std::uint64_t samplesExpected = 0;
  std::uint64_t samplesDelivered = 0;
  std::uint64_t samplesMissing = 0;
  std::uint64_t samplesDuplicated = 0;
  std::uint64_t samplesStale = 0;
  std::uint64_t samplesMislabelled = 0;
  std::uint64_t requestsSent = 0;
  std::uint64_t requestsCompleted = 0;
  std::uint64_t requestsRejectedNotRun = 0;
  std::uint64_t requestsIndeterminate = 0;
  std::uint64_t requestsRetried = 0;
  std::uint64_t responsesIncorrect = 0;
  std::uint64_t notRepeatableDuplicates =
      0;  ///< executions of not-repeatable requests beyond the first
  std::uint64_t falselyNotRun =
      0;  ///< requests rejected as not run although an engine executed them
  std::uint64_t batches = 0;
  std::uint64_t weightsPublished = 0;
  base::Duration trainerIdleTime{0};
  base::Duration trainerTotalTime{0};
  std::vector<double> staleness;         ///< in versions, one entry per sample
  std::vector<double> firstTokenMillis;  ///< time from the start of a request to its first token
  std::vector<double> totalMillis;   ///< time from the start of a request to its complete response
  std::vector<double> batchSeconds;  ///< time from the submission of a batch to its acknowledgement

  /// Returns the number of violated invariants.
  [[nodiscard]] std::uint64_t violationCount() const;
  [[nodiscard]] std::string toJson() const;
  /// Returns a summary for the terminal.
  [[nodiscard]] std::string summary() const;
};

/// Returns a quantile of `values`, or zero if they are empty.
[[nodiscard]] double percentile(std::vector<double> values, double quantile);

}  // namespace tackpick::load
