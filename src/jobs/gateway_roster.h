/// \file
/// Which gateways run items, when there are more than are needed.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/identifiers.h"
#include "base/time.h"

namespace tackpick::jobs {

/// Knobs of a GatewayRoster.
struct GatewayRosterSettings {
  /// Places at engines that one gateway can serve: an item costs a gateway about half a millisecond
  /// of processor time and runs for half a second and more, so this is far from its limit.
  std::uint32_t placesPerGateway = 24;
  /// More than needed in each zone, so that the loss of one leaves no engine idle.
  std::uint32_t spareGateways = 2;
  /// A gateway that runs items asks several times within this time.
  base::Duration activeSilence = base::milliseconds(600);
  /// One that stands by asks at least once within this time.
  base::Duration standbySilence = base::milliseconds(2500);
};

/// The ledgers' leader's. In each zone the gateways with the lowest numbers run items, as many as
/// the engines there need; the others stand by and ask seldom, which saves calls, connections to
/// engines and commits. Deterministic.
class GatewayRoster {
 public:
  explicit GatewayRoster(GatewayRosterSettings settings = {}) : m_settings(settings) {}

  void clear() { m_zones.clear(); }
  /// Places of all engines in each zone; the most that was told counts, since engines that change
  /// their weights are left out for a moment.
  void setPlaces(const std::map<std::string, std::uint32_t>& placesByZone);
  /// A gateway asks for items (`takesItems`), or for none any more.
  void note(base::NodeId gateway, const std::string& zone, bool takesItems, base::TimePoint now);
  void forget(std::uint32_t gatewayNumber);
  /// True when the gateway is one of those that run items; also while nothing is known of it.
  [[nodiscard]] bool isActive(base::NodeId gateway, const std::string& zone, base::TimePoint now);
  /// Gateways that share the places of all engines.
  [[nodiscard]] std::uint32_t activeCount(base::TimePoint now);

 private:
  struct Gateway {
    base::TimePoint askedAt{};
    bool active = false;
  };
  struct Zone {
    std::uint32_t places = 0;
    std::map<base::NodeId, Gateway> gateways;
    /// Those that run items; found anew when `outdated`, and now and then since others fall silent.
    /// Every call of every gateway asks for it: counting 1,000 gateways each time grows with their
    /// square (1,000 calls: 11.6 ms of a core; now 0.8 ms).
    std::set<base::NodeId> active;
    base::TimePoint foundAt{};
    bool outdated = true;
  };

  [[nodiscard]] std::uint32_t wanted(const Zone& zone) const;
  [[nodiscard]] bool isSound(const Gateway& gateway, base::TimePoint now) const;
  [[nodiscard]] bool isActive(base::NodeId gateway, Zone& zone, base::TimePoint now) const;
  void findActive(Zone& zone, base::TimePoint now) const;

  GatewayRosterSettings m_settings;
  std::map<std::string, Zone> m_zones;
};

}  // namespace tackpick::jobs
