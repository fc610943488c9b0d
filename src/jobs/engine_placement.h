/// \file
/// Where a leased item should run: the ledgers' leader sees the items of all gateways, each gateway
/// only its own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"

namespace tackpick::jobs {

/// An engine as the controllers see it.
struct PlacementEngine {
  std::string id;
  std::uint32_t slots = 0;
  std::map<std::string, std::uint64_t> versions;  ///< weights by model
  std::string zone = {};
};

/// Deterministic. Items are counted at the engine where their gateway runs them, or where they were
/// placed when it has not said so yet. The engines that may run items of one model and minimum
/// version are kept in a heap by their cost, so that placing an item costs the logarithm of the
/// engines.
class EnginePlacement {
 public:
  /// Engines that may take new items now; all others are forgotten.
  void setEngines(std::vector<PlacementEngine> engines);
  /// A gateway tells how far apart an engine's events are, in milliseconds.
  void notePace(const std::string& engine, double paceMs);
  /// Items run at each engine, before the next placements.
  void setLoads(const std::map<std::string, std::uint32_t>& loads);
  /// False until setEngines() has told of some: gateways choose by themselves.
  [[nodiscard]] bool knowsEngines() const { return !m_engines.empty(); }
  /// The zone of an engine that setEngines() told of; else empty.
  [[nodiscard]] std::string zoneOf(const std::string& engine) const;
  /// Places at all engines, by zone.
  [[nodiscard]] std::map<std::string, std::uint32_t> placesByZone() const;
  /// The engine that will have run an item soonest, counting the item there from now on. A few
  /// items more than an engine has places wait there, so that it never stands idle between a result
  /// and the next lease. Empty when every engine that may run the item is full.
  [[nodiscard]] std::string place(const std::string& model, std::uint64_t minimumVersion);

  /// The item was not leased after all.
  void takeBack(const std::string& engine);

 private:
  /// An engine with what is known of its work.
  struct Engine {
    PlacementEngine told;
    std::uint32_t load = 0;  ///< items there
    double paceMs = 0;       ///< moving average; zero: unknown
  };
  /// An engine of a heap, at the cost that it had when it was put there.
  struct Candidate {
    double cost = 0;
    std::size_t engine = 0;  ///< its index

    /// For a heap whose front is the cheapest; of equals the first.
    bool operator<(const Candidate& other) const {
      return std::pair(cost, engine) > std::pair(other.cost, other.engine);
    }
  };
  using Heap = std::vector<Candidate>;

  [[nodiscard]] double cost(const Engine& engine) const;
  [[nodiscard]] static bool isFull(const Engine& engine);
  [[nodiscard]] Engine* find(std::string_view id);
  [[nodiscard]] Heap candidatesFor(const std::string& model, std::uint64_t minimumVersion) const;

  std::vector<Engine> m_engines;
  std::map<std::string, std::size_t, std::less<>> m_indices;  ///< by id
  /// By model and minimum version; made anew after loads or engines changed.
  std::map<std::pair<std::string, std::uint64_t>, Heap> m_heaps;
};

}  // namespace tackpick::jobs
