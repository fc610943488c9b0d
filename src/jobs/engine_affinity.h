/// \file
/// Assigns the items of each engine to preferred gateways within a zone.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"

namespace tackpick::jobs {

/// Settings of an EngineAffinity.
struct EngineAffinitySettings {
  /// Time after which any gateway may lease items that neither preferred gateway has leased. An
  /// active gateway requests items within this time; one that is frozen or stopping does not.
  base::Duration fallbackDelay = base::milliseconds(80);
};

/// A gateway that runs items, and its number of slots.
struct ActiveGateway {
  base::NodeId gateway;
  std::uint32_t slots = 0;

  bool operator==(const ActiveGateway&) const = default;
};

/// Selects two preferred gateways for each engine, by rendezvous hashing weighted by slots. A
/// connection to an engine serves one item at a time and is closed when idle, so items of an engine
/// should go to gateways that already hold connections to it. When a gateway joins or leaves, few
/// engines change their preferred gateways. Deterministic.
class EngineAffinity {
 public:
  explicit EngineAffinity(EngineAffinitySettings settings = {}) : m_settings(settings) {}

  void clear();
  /// Removes an engine.
  void remove(const std::string& engine);
  /// Sets the gateways that run items in `zone`.
  void setGateways(const std::string& zone, std::vector<ActiveGateway> gateways);
  /// Records how many planned items wait for each engine of `zone`, by engine id.
  void onPlanned(const std::string& zone, const std::map<std::string, std::uint32_t>& items,
                 base::TimePoint now);
  /// Returns whether `gateway`, which is in the engine's zone, may lease items of the engine now.
  [[nodiscard]] bool isEligible(base::NodeId gateway, const std::string& engine,
                                base::TimePoint now) const;
  /// Records that the gateway leased an item of the engine.
  void onItemLeased(base::NodeId gateway, const std::string& engine, base::TimePoint now);
  /// Records that an eligible gateway requested items and has no free slot, so that other gateways
  /// need not wait for it.
  void onDeclined(const std::string& engine);

 private:
  using PreferredGateways = std::array<base::NodeId, 2>;  ///< invalid if there is none

  struct Engine {
    PreferredGateways preferred;
    std::uint32_t waiting = 0;  ///< number of planned items
    base::TimePoint waitingSince{};
    bool openToAll = false;  ///< any gateway may lease its items
  };
  struct Zone {
    std::vector<ActiveGateway> gateways;
    std::map<std::string, PreferredGateways> preferredByEngine;  ///< by engine id
  };

  [[nodiscard]] static PreferredGateways selectPreferred(const std::vector<ActiveGateway>& gateways,
                                                         const std::string& engine);
  [[nodiscard]] static bool isPreferred(const Engine& engine, base::NodeId gateway);

  EngineAffinitySettings m_settings;
  std::map<std::string, Zone> m_zones;
  std::map<std::string, Engine> m_engines;
};

}  // namespace tackpick::jobs
