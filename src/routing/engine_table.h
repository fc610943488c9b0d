/// \file
/// What a gateway knows of the engines, and whether one may get new work.
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

/// Knobs of EngineTable.
struct EngineTableSettings {
  /// An engine whose status is older gets no new work: it may have been told to leave.
  base::Duration statusTimeout = base::milliseconds(2500);

  struct Mutants {
    bool ignoreDraining = false;  ///< dispatch to draining engines, and on old status
  } mutants;
};

/// One engine as a gateway knows it.
struct EngineEntry {
  control::EngineRecord record;
  engine::EngineStatus status;
  bool hasStatus = false;
  base::TimePoint statusAt{};     ///< when the figures in `status` were true
  base::TimePoint confirmedAt{};  ///< the engine answered for itself no earlier than this
  std::optional<base::TimePoint> readSentAt;  ///< of the oldest read without an answer
  bool draining = false;                      ///< by list or own flag; sticky for this incarnation
  std::uint32_t inFlight = 0;                 ///< own attempts running
  std::uint32_t sinceStatus = 0;              ///< own attempts begun after `statusAt`
  std::set<std::uint64_t> cachedBlocks;       ///< as far as cache events told
};

/// Union of the machine list (through the control state), the engine's own flag and operators'
/// drains. Owned by the gateway's thread.
class EngineTable {
 public:
  explicit EngineTable(EngineTableSettings settings) : settings_(settings) {}

  void apply(const control::ControlDelta& delta);
  void onStatus(const engine::EngineStatus& status, base::TimePoint now);
  /// The engine is asked for its status. Its answer is dated by the question: it may have lain
  /// unread while this process was frozen.
  void onReadSent(base::EngineId engine, base::TimePoint now);
  void onDispatch(base::EngineId engine);
  void onEnd(base::EngineId engine);
  void onCacheEvent(base::EngineId engine, const engine::CacheEvent& event);
  /// Events were lost: what was known of the cache may be wrong.
  void onCacheGap(base::EngineId engine);

  /// May this engine get new work of `model` under at least `minimumVersion`?
  [[nodiscard]] bool isEligible(const EngineEntry& entry, const std::string& model,
                                base::WeightsVersion minimumVersion, base::TimePoint now) const;
  [[nodiscard]] bool isDraining(const EngineEntry& entry) const;
  /// Sequences the engine is thought to hold now, including own ones it has not reported yet.
  [[nodiscard]] static std::uint32_t load(const EngineEntry& entry);
  [[nodiscard]] const EngineEntry* find(base::EngineId engine) const;
  [[nodiscard]] const std::map<base::EngineId, EngineEntry>& entries() const { return entries_; }
  /// Slots of all engines that may serve `model`, and the load on them.
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
