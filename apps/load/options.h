/// \file
/// What load to make.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace tackpick::load {

/// A workload of callers.
struct CallerWorkload {
  std::string name;
  double requestsPerSecond = 0.0;
  double meanTokens = 24.0;
  double notRepeatableShare = 0.0;
  base::Duration deadline = base::seconds(10);
};

/// A workload of a trainer.
struct TrainerWorkload {
  std::string name;
  std::uint32_t samples = 0;  ///< a batch
  double minTokens = 30.0;    ///< lengths are Pareto distributed
  double tailIndex = 1.35;
  double maxTokens = 700.0;
  std::uint64_t stalenessBound = 0;  ///< as declared in the settings tree
  std::uint32_t batchLookahead = 1;  ///< submitted before they are needed
  base::Duration trainingTime = base::seconds(2);
};

/// One of the users' deployments.
struct Profile {
  std::vector<CallerWorkload> callers;
  std::vector<TrainerWorkload> trainers;
};

struct Options {
  std::vector<std::string> gateways;  ///< URLs
  std::string callerToken;
  std::string trainerToken;
  std::string scorerUrl;  ///< may be empty
  std::vector<std::string> engineAdminUrls;
  Profile profile;
  base::Duration duration = base::seconds(20);
  std::uint64_t seed = 1;
  std::string reportFile;
  double scale = 1.0;  ///< multiplies callers' rates
};

[[nodiscard]] Options parseOptions(int argc, char** argv);

}  // namespace tackpick::load
