/// \file
/// Which gateways run the items of which engines within a zone.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"

namespace tackpick::jobs {

/// Knobs of an EngineAffinity.
struct EngineAffinitySettings {
  /// What neither preferred gateway took for so long is any gateway's: one that is frozen, slow or
  /// stops does not ask. One that runs items asks within this time.
  base::Duration anyAfter = base::milliseconds(80);
};

/// A gateway that runs items, and how many slots it takes.
struct ActiveGateway {
  base::NodeId gateway;
  std::uint32_t slots = 0;

  bool operator==(const ActiveGateway&) const = default;
};

/// Each connection to an engine serves one item at a time and is closed when it is idle for long,
/// so items of an engine should go to gateways that hold connections to it. Of a zone's gateways
/// each engine has two preferred ones, drawn by its name (rendezvous hashing, weighted by slots),
/// so that few engines change theirs when a gateway comes or goes. Deterministic.
class EngineAffinity {
 public:
  explicit EngineAffinity(EngineAffinitySettings settings = {}) : m_settings(settings) {}

  void clear();
  /// The engine is gone.
  void forget(const std::string& engine);
  /// The gateways that run items in `zone`.
  void setGateways(const std::string& zone, std::vector<ActiveGateway> gateways);
  /// Items wait for an engine of `zone`, by the engine's id.
  void onPlanned(const std::string& zone, const std::map<std::string, std::uint32_t>& items,
                 base::TimePoint now);
  /// True when `gateway` of the engine's zone may take items of the engine.
  [[nodiscard]] bool mayTake(base::NodeId gateway, const std::string& engine,
                             base::TimePoint now) const;
  /// The gateway took an item of the engine.
  void onTaken(base::NodeId gateway, const std::string& engine, base::TimePoint now);
  /// The gateway asked, may take the engine's items and has no room: others need not wait for it.
  void onDeclined(const std::string& engine);

 private:
  using Preferred = std::array<base::NodeId, 2>;  ///< invalid: none

  struct Engine {
    Preferred preferred;
    std::uint32_t waiting = 0;  ///< items
    base::TimePoint waitingSince{};
    bool open = false;  ///< any gateway may take its items
  };
  struct Zone {
    std::vector<ActiveGateway> gateways;
    std::map<std::string, Preferred> drawn;  ///< by engine
  };

  [[nodiscard]] static Preferred draw(const std::vector<ActiveGateway>& gateways,
                                      const std::string& engine);
  [[nodiscard]] static bool prefers(const Engine& engine, base::NodeId gateway);

  EngineAffinitySettings m_settings;
  std::map<std::string, Zone> m_zones;
  std::map<std::string, Engine> m_engines;
};

}  // namespace tackpick::jobs
