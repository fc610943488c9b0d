/// \file
/// What a load run saw from outside.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace tackpick::load {

/// Counted by callers and trainers; written as JSON. Anything under "broken promises" fails a run.
struct Report {
  std::uint64_t samplesExpected = 0;
  std::uint64_t samplesDelivered = 0;
  std::uint64_t samplesMissing = 0;
  std::uint64_t samplesDuplicated = 0;
  std::uint64_t samplesStale = 0;
  std::uint64_t samplesMislabelled = 0;
  std::uint64_t requestsSent = 0;
  std::uint64_t requestsAnsweredWhole = 0;
  std::uint64_t requestsRefusedNotRun = 0;
  std::uint64_t requestsIndeterminate = 0;
  std::uint64_t requestsRetried = 0;
  std::uint64_t answersWrong = 0;
  std::uint64_t notRepeatableRunTwice = 0;
  std::uint64_t notRunThatRan = 0;  ///< refused as not run, although an engine ran it
  std::uint64_t batches = 0;
  std::uint64_t weightsPublished = 0;
  base::Duration trainerIdle{0};
  base::Duration trainerTotal{0};
  std::vector<double> staleness;         ///< versions, one entry a sample
  std::vector<double> firstTokenMillis;  ///< callers
  std::vector<double> totalMillis;       ///< callers
  std::vector<double> batchSeconds;      ///< from submission to whole

  [[nodiscard]] std::uint64_t promisesBroken() const;
  [[nodiscard]] std::string toJson() const;
  [[nodiscard]] std::string summary() const;
};

/// The value below which the given share of `values` lies; zero when there are none.
[[nodiscard]] double percentile(std::vector<double> values, double share);

}  // namespace tackpick::load
