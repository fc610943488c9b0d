/// \file
/// An engine as placing sees it.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "jobs/engine_cost.h"
#include "jobs/event_interval_table.h"

namespace tackpick::jobs {

/// An engine as the controllers see it.
struct PlacementEngine {
  std::string id;
  std::uint32_t slots = 0;
  std::map<std::string, std::uint64_t> versions;  ///< weights by model
  std::string zone = {};
  bool acceptsItems = true;  ///< now; what is known of its pace outlasts a change of weights
  bool standby = false;      ///< only when the others are full
  /// Where it runs: what is known of the pace outlasts the engine's restarts. Empty: as the id.
  std::string machine = {};

  [[nodiscard]] const std::string& machineName() const { return machine.empty() ? id : machine; }
  [[nodiscard]] bool holds(const std::string& model, std::uint64_t minimumVersion) const {
    const auto version = versions.find(model);
    return version != versions.end() && version->second >= minimumVersion;
  }
};

/// Three of those that are faster than is typical, and three of the slower.
inline constexpr std::size_t kSpeedTiers = 7;
inline constexpr std::size_t kTypicalTier = kSpeedTiers / 2;

/// An engine with what is known of its work.
struct EngineWork {
  PlacementEngine told;
  std::uint32_t load = 0;                     ///< items there
  EventIntervalTable::Entry* pace = nullptr;  ///< of its machine
  double eventIntervalMs = 0;            ///< expected when event intervals were last taken over
  base::Duration momentaryDelay{0};      ///< likewise
  std::size_t speedTier = kTypicalTier;  ///< likewise, of the pace at that moment

  /// Of one more item.
  [[nodiscard]] double cost() const {
    return engineCost(eventIntervalMs, (load + 1.0) / told.slots);
  }
  [[nodiscard]] std::uint32_t usedSlots() const { return std::min(load, told.slots); }
  [[nodiscard]] bool isFull() const {
    /// One item may wait for so many slots.
    constexpr std::uint32_t kSlotsPerQueuedItem = 8;
    return load >= told.slots + told.slots / kSlotsPerQueuedItem;
  }
};

}  // namespace tackpick::jobs
