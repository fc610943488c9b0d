/// \file
/// Summary of weights for operators.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/serialization.h"
#include "base/time.h"

namespace tackpick::directory {

/// State of the weights of one model.
struct ModelWeightsSummary {
  std::uint64_t published = 0;
  /// Minimum version of the most urgent step; zero if steps are unknown.
  std::uint64_t neededVersion = 0;
  /// Slots of engines with `neededVersion` or newer, or with the published version if steps are
  /// unknown.
  std::uint32_t readySlots = 0;
  std::uint32_t loadingSlots = 0;  ///< slots of engines that load that version
  std::uint32_t requiredSlots = 0;
  std::optional<base::Duration> expectedIn;  ///< negative if the step is open or late

  template <class Archive>
  void serialize(Archive& archive) {
    archive(published, neededVersion, readySlots, loadingSlots, requiredSlots, expectedIn);
  }
};

/// State of the weights of all models as of the last turn.
struct WeightsSummary {
  std::map<std::string, ModelWeightsSummary> models;
  std::uint64_t loading = 0;   ///< engines that are loading
  std::uint64_t maxLoads = 0;  ///< maximum number of engines that may load at once

  template <class Archive>
  void serialize(Archive& archive) {
    archive(models, loading, maxLoads);
  }
};

}  // namespace tackpick::directory
