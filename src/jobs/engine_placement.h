/// \file
/// Where a leased item should run: the ledgers' leader sees the items of all gateways, each gateway
/// only its own.
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

/// Deterministic. Items are counted at the engine where their gateway runs them, or where they were
/// placed when it has not said so yet. The engines that may run items of one model and minimum
/// version are kept in heaps by their cost, one for each class of event intervals, so that placing
/// an item costs the logarithm of the engines.
///
/// An item whose length and due time are known goes to the slowest class where it ends in time even
/// if its text turns out much longer than expected: faster engines stay free for those that need
/// them. Any other item goes where it ends soonest.
class EnginePlacement {
 public:
  EnginePlacement() = default;
  EnginePlacement(const EnginePlacement&) = delete;
  EnginePlacement& operator=(const EnginePlacement&) = delete;
  ~EnginePlacement() = default;

  /// All engines there are; all others are forgotten.
  void setEngines(std::vector<PlacementEngine> engines);
  /// Engines that changed or are new, and ids of those that are gone.
  void changeEngines(std::vector<PlacementEngine> changed, const std::vector<std::string>& removed);
  /// A gateway tells of the event intervals of engines, by machine.
  void recordEventIntervals(const std::map<std::string, EventIntervalReport>& reports,
                            base::TimePoint now);
  /// Items run at each engine, before the next placements.
  void setLoads(const std::map<std::string, std::uint32_t>& loads, base::TimePoint now);
  /// False while no engine takes items: gateways choose by themselves.
  [[nodiscard]] bool knowsEngines() const { return m_taking > 0; }
  /// Engines that placing looks at.
  [[nodiscard]] std::size_t engineCount() const { return m_inUse.size(); }
  /// Milliseconds between two events that are expected of a known engine; else zero.
  [[nodiscard]] double eventIntervalOf(const std::string& engine) const;
  /// The zone of a known engine; else empty.
  [[nodiscard]] std::string zoneOf(const std::string& engine) const;
  /// Slots at all engines that take items and are not on standby, by zone.
  [[nodiscard]] std::map<std::string, std::uint32_t> slotsByZone() const;
  /// The engine that will have run an item soonest, counting the item there from now on. A few
  /// items more than an engine has slots wait there, so that it never stands idle between a result
  /// and the next lease. Empty when every engine that may run the item is full.
  [[nodiscard]] std::string place(const ItemRequirements& need);

  /// The item was not leased after all.
  void takeBack(const std::string& engine);
  /// Slots at engines that take items and hold these weights or newer, engines on standby
  /// included.
  [[nodiscard]] std::uint32_t readySlots(const std::string& model,
                                         std::uint64_t minimumVersion) const;
  /// All engines, by id.
  [[nodiscard]] std::vector<EngineSummary> summaries(base::TimePoint now) const;

 private:
  using Engines = std::map<std::string, EngineWork, std::less<>>;
  using EnginesById = std::map<std::string_view, EngineWork*>;

  [[nodiscard]] EngineWork* find(std::string_view id);
  void upsert(PlacementEngine told);
  void putInUse(std::string_view id, EngineWork& engine);
  void takeOutOfUse(std::string_view id, const EngineWork& engine);
  /// Joins the engine with what is known of its machine.
  void attach(EngineWork& engine);
  void detach(EngineWork& engine);
  void remove(const std::string& id);
  void addLoad(EngineWork& engine, std::uint32_t items);
  /// Loads or engines changed.
  void forgetSearches();
  /// Takes the expected event intervals over from what is known, now and then.
  void refreshEventIntervals(base::TimePoint now);
  void refreshEventInterval(EngineWork& engine, base::TimePoint now);
  [[nodiscard]] std::size_t speedTierOf(double eventIntervalMs) const;
  [[nodiscard]] SpeedTiers candidatesFor(const std::string& model, std::uint64_t minimumVersion);
  [[nodiscard]] SpeedTiers& candidatesOf(const std::string& model, std::uint64_t minimumVersion);
  [[nodiscard]] std::string placeInUse(const ItemRequirements& need);
  [[nodiscard]] std::string placeOnStandby(const std::string& model, std::uint64_t minimumVersion);

  Engines m_engines;
  std::size_t m_taking = 0;                           ///< engines that take items
  EnginesById m_inUse;                                ///< those of them that are not on standby
  std::map<std::string, EnginesById> m_inUseByModel;  ///< by model that they hold
  /// By model: no engine on standby holds newer weights.
  std::map<std::string, std::uint64_t> m_newestStandbyVersion;
  /// By model and minimum version: those on standby before this one have no room.
  std::map<std::pair<std::string, std::uint64_t>, Engines::iterator> m_standbyCursor;
  std::set<EngineWork*> m_loaded;  ///< engines with items
  /// By model and minimum version; made anew after loads or engines changed.
  std::map<std::pair<std::string, std::uint64_t>, SpeedTiers> m_candidates;
  EventIntervalTable m_eventIntervals;
  std::map<std::string, std::set<EngineWork*>> m_byMachine;
  base::TimePoint m_intervalsRefreshedAt{};  ///< when event intervals were last taken over
};

}  // namespace tackpick::jobs
