/// \file
/// Command-line options and load profiles.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace tackpick::load {

/// Workload of callers.
struct CallerWorkload {
  std::string name;
  double requestsPerSecond = 0.0;
  double meanTokens = 24.0;
  double notRepeatableFraction = 0.0;
  base::Duration deadline = base::seconds(10);
};

/// Workload of a trainer.
struct TrainerWorkload {
  std::string name;
  std::uint32_t samplesPerBatch = 0;
  double minTokens = 30.0;  ///< response lengths have a Pareto distribution
  double tailIndex = 1.35;
  double maxTokens = 700.0;
  std::uint64_t stalenessBound = 0;  ///< maximum age of weights in versions, as in the settings
  std::uint32_t batchLookahead = 1;  ///< batches submitted in advance
  base::Duration trainingTime = base::seconds(2);
};

/// Callers and trainers of a deployment.
struct LoadProfile {
  std::vector<CallerWorkload> callers;
  std::vector<TrainerWorkload> trainers;
};

struct Options {
  std::vector<std::string> gateways;  ///< URLs of the gateways
  std::string callerToken;
  std::string trainerToken;
  std::string scorerUrl;  ///< URL of the scorer; empty if samples are not scored
  std::vector<std::string> engineAdminUrls;
  LoadProfile profile;
  base::Duration duration = base::seconds(20);
  std::uint64_t seed = 1;
  std::string reportFile;
  double rateScale = 1.0;  ///< factor of the callers' request rates
};

[[nodiscard]] Options parseOptions(int argc, char** argv);

}  // namespace tackpick::load
