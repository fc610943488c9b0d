/// \file
/// In which order engines load new weights.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "directory/step_forecast.h"

namespace tackpick::directory {

/// An engine that may be ordered to load the newest version of the model that it follows.
struct LoadCandidate {
  const std::string* instance = nullptr;
  const std::string* model = nullptr;
  std::uint64_t held = 0;  ///< its version of that model
  std::uint32_t slots = 0;
};

/// Slots of engines by version.
using SlotsByVersion = std::map<std::uint64_t, std::uint32_t>;

/// Those with `version` or newer.
[[nodiscard]] inline std::uint32_t slotsFrom(const SlotsByVersion& slots, std::uint64_t version) {
  std::uint32_t sum = 0;
  for (auto found = slots.lower_bound(version); found != slots.end(); ++found) {
    sum += found->second;
  }
  return sum;
}

/// What a policy knows of one model.
struct ModelLoadState {
  std::uint64_t published = 0;
  base::TimePoint publishedAt{};  ///< when this leader saw that version first
  std::vector<StepNeed> needs;    ///< see StepForecast::needs(); empty: steps are unknown
  SlotsByVersion readySlots;      ///< of engines that hold each version and do not load
  SlotsByVersion loadingSlots;    ///< of engines that load each version
};
using ModelLoadStates = std::map<std::string, ModelLoadState>;

/// A load that may begin now.
struct PlannedLoad {
  const LoadCandidate* candidate = nullptr;
  /// The engine serves nothing that is open: it may load however many of its model do.
  bool isIdle = false;
};

/// Decides which engines load next. Deterministic, without state of its own.
class LoadPolicy {
 public:
  LoadPolicy() = default;
  LoadPolicy(const LoadPolicy&) = delete;
  LoadPolicy& operator=(const LoadPolicy&) = delete;
  LoadPolicy(LoadPolicy&&) = delete;
  LoadPolicy& operator=(LoadPolicy&&) = delete;
  virtual ~LoadPolicy() = default;

  /// Loads in the order in which they should begin, those left out that should wait. `loadTime`:
  /// how long a load takes.
  [[nodiscard]] virtual std::vector<PlannedLoad> plan(const std::vector<LoadCandidate>& candidates,
                                                      const ModelLoadStates& models,
                                                      base::Duration loadTime,
                                                      base::TimePoint now) const = 0;
};

}  // namespace tackpick::directory
