/// \file
/// What the controllers' leader tells operators about weights.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/serialization.h"
#include "base/time.h"

namespace tackpick::directory {

/// Where the weights of one model stand.
struct ModelWeightsSummary {
  std::uint64_t published = 0;
  /// Oldest version that its most urgent step needs; zero: its steps are unknown.
  std::uint64_t neededVersion = 0;
  /// Of engines that hold that version or newer; of the published one where none is known.
  std::uint32_t readySlots = 0;
  std::uint32_t loadingSlots = 0;  ///< of engines that load it
  std::uint32_t requiredSlots = 0;
  std::optional<base::Duration> expectedIn;  ///< below zero: it is open, or late

  template <class Archive>
  void serialize(Archive& archive) {
    archive(published, neededVersion, readySlots, loadingSlots, requiredSlots, expectedIn);
  }
};

/// Where the weights of all models stand, as of the last turn.
struct WeightsSummary {
  std::map<std::string, ModelWeightsSummary> models;
  std::uint64_t loading = 0;  ///< engines
  std::uint64_t budget = 0;   ///< ... that may load at once

  template <class Archive>
  void serialize(Archive& archive) {
    archive(models, loading, budget);
  }
};

}  // namespace tackpick::directory
