/// \file
/// Where a leased item should run: the ledgers' leader sees the items of all gateways, each gateway
/// only its own.
#pragma once

#include <cstdint>
#include <map>
#include <string>
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
/// placed when it has not said so yet.
class EnginePlacement {
 public:
  /// Engines that may take new items now; all others are forgotten.
  void setEngines(std::vector<PlacementEngine> engines);
  /// A gateway tells how far apart an engine's events are, in milliseconds.
  void notePace(const std::string& engine, double paceMs);
  /// Items run at each engine, before the next placements.
  void setLoads(std::map<std::string, std::uint32_t> loads) { m_loads = std::move(loads); }
  /// False until setEngines() has told of some: gateways choose by themselves.
  [[nodiscard]] bool knowsEngines() const { return !m_engines.empty(); }
  /// The zone of an engine that setEngines() told of; else empty.
  [[nodiscard]] std::string zoneOf(const std::string& engine) const;
  /// The engine that will have run an item soonest, counting the item there from now on. A few
  /// items more than an engine has places wait there, so that it never stands idle between a result
  /// and the next lease. Empty when every engine that may run the item is full.
  [[nodiscard]] std::string place(const std::string& model, std::uint64_t minimumVersion);

  /// The item was not leased after all.
  void takeBack(const std::string& engine);

 private:
  [[nodiscard]] double cost(const PlacementEngine& engine) const;
  [[nodiscard]] std::uint32_t load(const std::string& engine) const;
  [[nodiscard]] bool isFull(const PlacementEngine& engine) const;

  std::vector<PlacementEngine> m_engines;
  std::map<std::string, std::uint32_t> m_loads;
  std::map<std::string, double> m_paces;  ///< moving averages
};

}  // namespace tackpick::jobs
