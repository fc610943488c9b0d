/// \file
/// Where a leased item should run: the ledgers' leader sees the items of all gateways, each gateway
/// only its own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"
#include "jobs/item_need.h"

namespace tackpick::jobs {

/// An engine as the controllers see it.
struct PlacementEngine {
  std::string id;
  std::uint32_t slots = 0;
  std::map<std::string, std::uint64_t> versions;  ///< weights by model
  std::string zone = {};
  bool takesItems = true;  ///< now; what is known of its pace outlasts a change of weights
  bool reserve = false;    ///< only when the others are full
};

/// Deterministic. Items are counted at the engine where their gateway runs them, or where they were
/// placed when it has not said so yet. The engines that may run items of one model and minimum
/// version are kept in a heap by their cost, so that placing an item costs the logarithm of the
/// engines.
class EnginePlacement {
 public:
  /// All engines there are; all others are forgotten.
  void setEngines(std::vector<PlacementEngine> engines);
  /// Engines that changed or are new, and ids of those that are gone.
  void changeEngines(std::vector<PlacementEngine> changed, const std::vector<std::string>& removed);
  /// A gateway tells how far apart an engine's events are, in milliseconds.
  void notePace(const std::string& engine, double paceMs);
  /// Items run at each engine, before the next placements.
  void setLoads(const std::map<std::string, std::uint32_t>& loads);
  /// False while no engine takes items: gateways choose by themselves.
  [[nodiscard]] bool knowsEngines() const { return m_taking > 0; }
  /// Engines that placing looks at.
  [[nodiscard]] std::size_t engineCount() const { return m_inUse.size(); }
  /// The zone of a known engine; else empty.
  [[nodiscard]] std::string zoneOf(const std::string& engine) const;
  /// Places at all engines that take items and are not in reserve, by zone.
  [[nodiscard]] std::map<std::string, std::uint32_t> placesByZone() const;
  /// The engine that will have run an item soonest, counting the item there from now on. A few
  /// items more than an engine has places wait there, so that it never stands idle between a result
  /// and the next lease. Empty when every engine that may run the item is full.
  [[nodiscard]] std::string place(const ItemNeed& need);

  /// The item was not leased after all.
  void takeBack(const std::string& engine);

 private:
  /// An engine with what is known of its work.
  struct Engine {
    PlacementEngine told;
    std::uint32_t load = 0;  ///< items there
    double paceMs = 0;       ///< moving average; zero: unknown
  };
  using Engines = std::map<std::string, Engine, std::less<>>;
  /// An engine of a heap, at the cost that it had when it was put there.
  struct Candidate {
    double cost = 0;
    std::size_t index = 0;  ///< of equals the first is taken
    Engine* engine = nullptr;

    /// For a heap whose front is the cheapest.
    bool operator<(const Candidate& other) const {
      return std::pair(cost, index) > std::pair(other.cost, other.index);
    }
  };
  using Heap = std::vector<Candidate>;

  [[nodiscard]] static double cost(const Engine& engine);
  [[nodiscard]] static bool isFull(const Engine& engine);
  [[nodiscard]] Engine* find(std::string_view id);
  void takeIn(PlacementEngine told);
  void remove(const std::string& id);
  void addLoad(Engine& engine, std::uint32_t items);
  /// Loads or engines changed.
  void forgetSearches();
  [[nodiscard]] Heap candidatesFor(const std::string& model, std::uint64_t minimumVersion) const;
  [[nodiscard]] std::string placeInUse(const std::string& model, std::uint64_t minimumVersion);
  [[nodiscard]] std::string placeInReserve(const std::string& model, std::uint64_t minimumVersion);

  Engines m_engines;
  std::size_t m_taking = 0;                     ///< engines that take items
  std::map<std::string_view, Engine*> m_inUse;  ///< those of them that are not in reserve, by id
  /// By model: no engine in reserve holds newer weights.
  std::map<std::string, std::uint64_t> m_newestInReserve;
  /// By model and minimum version: those in reserve before this one have no room.
  std::map<std::pair<std::string, std::uint64_t>, Engines::iterator> m_reserveFrom;
  std::set<Engine*> m_loaded;  ///< engines with items
  /// By model and minimum version; made anew after loads or engines changed.
  std::map<std::pair<std::string, std::uint64_t>, Heap> m_heaps;
};

}  // namespace tackpick::jobs
