/// \file
/// Policy for the order in which engines load new weights.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "directory/step_forecast.h"

namespace tackpick::directory {

/// An engine that may be commanded to load the newest version of its assigned model.
struct LoadCandidate {
  const std::string* instance = nullptr;
  const std::string* model = nullptr;
  std::uint64_t held = 0;  ///< version of the model that it holds
  std::uint32_t slots = 0;
};

/// Number of engine slots by weights version.
using SlotsByVersion = std::map<std::uint64_t, std::uint32_t>;

/// Returns the number of slots with `version` or newer.
[[nodiscard]] inline std::uint32_t slotsFrom(const SlotsByVersion& slots, std::uint64_t version) {
  std::uint32_t sum = 0;
  for (auto found = slots.lower_bound(version); found != slots.end(); ++found) {
    sum += found->second;
  }
  return sum;
}

/// State of one model as input of a policy.
struct ModelLoadState {
  std::uint64_t published = 0;
  base::TimePoint publishedAt{};  ///< when this leader first saw that version
  /// See StepForecast::stepDemands(); empty if steps are unknown.
  std::vector<StepDemand> stepDemands;
  SlotsByVersion readySlots;    ///< engines that hold the version and are not loading
  SlotsByVersion loadingSlots;  ///< engines that load the version
};
using ModelLoadStates = std::map<std::string, ModelLoadState>;

/// A load that may start now.
struct PlannedLoad {
  const LoadCandidate* candidate = nullptr;
  /// Whether the engine serves no open step, so that the per-model limit does not apply.
  bool ignoresModelLimit = false;
};

/// Decides which engines load next. Deterministic and stateless.
class LoadPolicy {
 public:
  LoadPolicy() = default;
  LoadPolicy(const LoadPolicy&) = delete;
  LoadPolicy& operator=(const LoadPolicy&) = delete;
  LoadPolicy(LoadPolicy&&) = delete;
  LoadPolicy& operator=(LoadPolicy&&) = delete;
  virtual ~LoadPolicy() = default;

  /// Returns the loads to start, in order; engines that should wait are left out. `loadTime`:
  /// expected duration of a load.
  [[nodiscard]] virtual std::vector<PlannedLoad> plan(const std::vector<LoadCandidate>& candidates,
                                                      const ModelLoadStates& models,
                                                      base::Duration loadTime,
                                                      base::TimePoint now) const = 0;
};

}  // namespace tackpick::directory
