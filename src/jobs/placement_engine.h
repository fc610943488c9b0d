/// \file
/// Engine data for the placement of items.
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

/// An engine as reported by the controllers.
struct EngineInfo {
  std::string id;
  std::uint32_t slots = 0;
  std::map<std::string, std::uint64_t> versions;  ///< version of the weights by model
  std::string zone = {};
  /// False while it cannot run items, for example while it loads weights.
  bool acceptsItems = true;
  bool standby = false;  ///< used only if the other engines are full
  /// Machine on which it runs; its event interval is kept when the engine restarts. Empty: the id
  /// is used.
  std::string machine = {};

  [[nodiscard]] const std::string& machineName() const { return machine.empty() ? id : machine; }
  [[nodiscard]] bool holds(const std::string& model, std::uint64_t minimumVersion) const {
    const auto version = versions.find(model);
    return version != versions.end() && version->second >= minimumVersion;
  }
};

/// Number of speed tiers: the median tier, three faster and three slower ones.
inline constexpr std::size_t kSpeedTiers = 7;
inline constexpr std::size_t kMedianTier = kSpeedTiers / 2;

/// An engine with its load and expected event interval.
struct EngineState {
  EngineInfo info;
  std::uint32_t load = 0;                              ///< number of items
  EventIntervalTable::Entry* intervalEntry = nullptr;  ///< entry of its machine
  double eventIntervalMs = 0;  ///< expected event interval at the last refresh; zero: unknown
  /// Expected delay from a transient slowdown at the last refresh.
  base::Duration transientDelay{0};
  /// Tier of the event interval and slowdown at the last refresh.
  std::size_t speedTier = kMedianTier;

  /// Returns the relative cost of one more item.
  [[nodiscard]] double cost() const {
    return engineCost(eventIntervalMs, (load + 1.0) / info.slots);
  }
  [[nodiscard]] std::uint32_t usedSlots() const { return std::min(load, info.slots); }
  [[nodiscard]] bool isFull() const {
    /// Number of slots for each item that may queue at the engine.
    constexpr std::uint32_t kSlotsPerQueuedItem = 8;
    return load >= info.slots + info.slots / kSlotsPerQueuedItem;
  }
};

}  // namespace tackpick::jobs
