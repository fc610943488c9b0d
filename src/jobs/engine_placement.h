/// \file
/// Selects the engine on which a leased item should run. The selection is made by the ledgers'
/// leader, because only the leader has the items of all gateways.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"
#include "jobs/event_interval_table.h"
#include "jobs/item_requirements.h"
#include "jobs/placement_engine.h"
#include "jobs/speed_tiers.h"
#include "jobs/work_summary.h"

namespace tackpick::jobs {

/// Places items on engines. An item counts at the engine that its gateway reports, or at the one it
/// was placed on until the gateway reports it. Engines that may run items of one model and minimum
/// version are kept in heaps ordered by cost, one for each speed tier, so that a placement takes
/// time logarithmic in the number of engines. Deterministic.
///
/// An item with a known length and due time goes to the slowest tier that completes it in time even
/// if its text becomes much longer than expected, which keeps faster engines free for items that
/// need them. Any other item goes where it completes first.
class EnginePlacement {
 public:
  EnginePlacement() = default;
  EnginePlacement(const EnginePlacement&) = delete;
  EnginePlacement& operator=(const EnginePlacement&) = delete;
  ~EnginePlacement() = default;

  /// Replaces all engines.
  void setEngines(std::vector<EngineInfo> engines);
  /// Adds or updates the engines of `changed` and removes those with the ids in `removed`.
  void changeEngines(std::vector<EngineInfo> changed, const std::vector<std::string>& removed);
  /// Records a gateway's reports of event intervals, by machine.
  void recordEventIntervals(const std::map<std::string, EventIntervalReport>& reports,
                            base::TimePoint now);
  /// Sets the number of items at each engine; call it before the next placements.
  void setLoads(const std::map<std::string, std::uint32_t>& loads, base::TimePoint now);
  /// Whether any engine accepts items. If not, the gateways select engines themselves.
  [[nodiscard]] bool hasAcceptingEngines() const { return m_acceptingCount > 0; }
  /// Returns the number of engines that accept items and are not on standby.
  [[nodiscard]] std::size_t engineCount() const { return m_primary.size(); }
  /// Returns the expected event interval of an engine in milliseconds; zero if the engine is
  /// unknown.
  [[nodiscard]] double eventIntervalOf(const std::string& engine) const;
  /// Returns the zone of an engine; empty if the engine is unknown.
  [[nodiscard]] std::string zoneOf(const std::string& engine) const;
  /// Returns the slots of all engines that accept items and are not on standby, by zone.
  [[nodiscard]] std::map<std::string, std::uint32_t> slotsByZone() const;
  /// Returns the id of the engine for the item and counts the item there; empty if every engine
  /// that may run it is full. A few more items than slots may queue at an engine, so that it is not
  /// idle between a result and the next lease.
  [[nodiscard]] std::string place(const ItemRequirements& requirements);

  /// Removes the load of an item that was placed and not leased.
  void undoPlacement(const std::string& engine);
  /// Returns the slots of engines that accept items and hold `minimumVersion` or newer, including
  /// engines on standby.
  [[nodiscard]] std::uint32_t readySlots(const std::string& model,
                                         std::uint64_t minimumVersion) const;
  /// Returns a summary of all engines, ordered by id.
  [[nodiscard]] std::vector<EngineSummary> summaries(base::TimePoint now) const;

 private:
  using Engines = std::map<std::string, EngineState, std::less<>>;
  using EnginesById = std::map<std::string_view, EngineState*>;

  [[nodiscard]] EngineState* find(std::string_view id);
  void upsert(EngineInfo info);
  void addPrimary(std::string_view id, EngineState& engine);
  void removePrimary(std::string_view id, const EngineState& engine);
  /// Links the engine with the entry of its machine.
  void linkMachine(EngineState& engine);
  void unlinkMachine(EngineState& engine);
  void remove(const std::string& id);
  void addLoad(EngineState& engine, std::uint32_t items);
  /// Discards the candidates after loads or engines have changed.
  void invalidateCandidates();
  /// Updates the expected event intervals of all engines if kEventIntervalRefresh has passed.
  void refreshEventIntervals(base::TimePoint now);
  void refreshEventInterval(EngineState& engine, base::TimePoint now);
  [[nodiscard]] std::size_t speedTierOf(double eventIntervalMs) const;
  [[nodiscard]] SpeedTiers buildCandidates(const std::string& model, std::uint64_t minimumVersion);
  [[nodiscard]] SpeedTiers& cachedCandidates(const std::string& model,
                                             std::uint64_t minimumVersion);
  [[nodiscard]] std::string placeOnPrimary(const ItemRequirements& requirements);
  [[nodiscard]] std::string placeOnStandby(const std::string& model, std::uint64_t minimumVersion);

  Engines m_engines;
  std::size_t m_acceptingCount = 0;  ///< number of engines that accept items
  EnginesById m_primary;             ///< engines that accept items and are not on standby
  std::map<std::string, EnginesById> m_primaryByModel;  ///< m_primary by model
  /// By model: newest version that an engine on standby holds.
  std::map<std::string, std::uint64_t> m_newestStandbyVersion;
  /// By model and minimum version: all standby engines before this one are full.
  std::map<std::pair<std::string, std::uint64_t>, Engines::iterator> m_standbyCursor;
  std::set<EngineState*> m_enginesWithLoad;  ///< engines with a load above zero
  /// By model and minimum version; rebuilt after loads or engines have changed.
  std::map<std::pair<std::string, std::uint64_t>, SpeedTiers> m_candidates;
  EventIntervalTable m_eventIntervals;
  std::map<std::string, std::set<EngineState*>> m_enginesByMachine;
  base::TimePoint m_intervalsRefreshedAt{};  ///< time of the last refreshEventIntervals()
};

}  // namespace tackpick::jobs
