/// \file
/// Status of the engines as seen by one gateway.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "control/control_delta.h"
#include "engine/engine_status.h"
#include "engine/prefix_cache.h"

namespace tackpick::routing {

/// Settings of EngineTable.
struct EngineTableSettings {
  /// Maximum age of the status of an engine that gets new work; an older status may not show
  /// that the engine is draining.
  base::Duration statusTimeout = base::milliseconds(2500);

  struct Mutants {
    bool ignoreDraining = false;  ///< dispatch to draining engines and on outdated status
  } mutants;
};

/// State of one engine as seen by a gateway.
struct EngineEntry {
  control::EngineRecord record;
  engine::EngineStatus status;
  bool hasStatus = false;
  base::TimePoint statusMeasuredAt{};         ///< time at which `status` was measured
  base::TimePoint lastConfirmedAt{};          ///< the engine was reachable at this time or later
  std::optional<base::TimePoint> pollSentAt;  ///< oldest unanswered poll
  bool draining = false;                      ///< stays set until the next incarnation
  std::uint32_t inFlight = 0;                 ///< running attempts of this gateway
  std::uint32_t dispatchedSinceStatus = 0;    ///< estimated attempts that `status` does not include
  std::set<std::uint64_t> cachedBlocks;       ///< according to the received cache events
};

/// Combines the registered engines, their status reports, and draining requested by the machine
/// list, the engine or an operator. Owned by the thread of the gateway.
class EngineTable {
 public:
  explicit EngineTable(EngineTableSettings settings) : settings_(settings) {}

  void apply(const control::ControlDelta& delta);
  void onStatus(const engine::EngineStatus& status, base::TimePoint now);
  /// Records that a poll was sent. The response is dated by the time of the poll, because this
  /// process may read it long after its arrival.
  void onPollSent(base::EngineId engine, base::TimePoint now);
  void onDispatch(base::EngineId engine);
  void onAttemptFinished(base::EngineId engine);
  void onCacheEvent(base::EngineId engine, const engine::CacheEvent& event);
  /// Handles lost cache events, which make `cachedBlocks` inaccurate.
  void onCacheEventsLost(base::EngineId engine);

  /// Whether this engine may get new work of `model` with at least `minimumVersion`.
  [[nodiscard]] bool isEligible(const EngineEntry& entry, const std::string& model,
                                base::WeightsVersion minimumVersion, base::TimePoint now) const;
  [[nodiscard]] bool isDraining(const EngineEntry& entry) const;
  /// Returns the estimated number of attempts on the engine, including those not yet reported.
  [[nodiscard]] static std::uint32_t load(const EngineEntry& entry);
  [[nodiscard]] const EngineEntry* find(base::EngineId engine) const;
  [[nodiscard]] const std::map<base::EngineId, EngineEntry>& entries() const { return entries_; }
  /// Slots and load of the eligible engines of a model.
  struct Capacity {
    std::uint64_t slots = 0;
    std::uint64_t load = 0;
  };
  [[nodiscard]] Capacity capacity(const std::string& model, base::TimePoint now) const;

 private:
  const EngineTableSettings settings_;
  std::map<base::EngineId, EngineEntry> entries_;
};

}  // namespace tackpick::routing
