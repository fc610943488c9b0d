/// \file
/// Selects the gateways that run items if there are more than needed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"
#include "jobs/engine_affinity.h"
#include "jobs/gateway_capacity.h"
#include "jobs/slowness_detector.h"

namespace tackpick::jobs {

/// Settings of a GatewaySelector.
struct GatewaySelectorSettings {
  /// Engine slots that one gateway serves if all gateways have the same size.
  std::uint32_t slotsPerGateway = 24;
  /// Number of gateways beyond those needed in each zone, so that the loss of one leaves no engine
  /// idle.
  std::uint32_t spareGateways = 2;
  /// Time without a request after which an active gateway is not responsive.
  base::Duration activeTimeout = base::milliseconds(600);
  /// Time without a request after which a standby gateway is not responsive.
  base::Duration standbyTimeout = base::milliseconds(2500);
  /// Maximum expected time between two requests of an active gateway; time beyond it counts as lag.
  base::Duration expectedCallInterval = base::milliseconds(300);
  /// Divisor of the slots of a slow gateway.
  std::uint32_t slowSlotDivisor = 4;
  /// Maximum items that a gateway may hold for each of its slots; some of them queue at engines.
  std::uint32_t itemsPerSlot = 2;
  SlownessDetectorSettings slow;
};

/// State of one gateway, for operators.
struct GatewaySummary {
  base::NodeId gateway;
  std::string zone;
  std::uint32_t slots = 0;  ///< engine slots that it serves at present
  std::uint32_t held = 0;   ///< leased items
  bool active = false;      ///< it runs items; false: it is on standby
  std::optional<base::TimePoint> slowSince;
};

/// Selects in each zone as many active gateways as the engines need. The remaining gateways are on
/// standby and send requests rarely, which saves calls, connections to engines and commits. Larger
/// gateways are selected before smaller ones and slow ones last; ties are resolved by the lowest
/// id. Runs at the ledgers' leader. Deterministic.
class GatewaySelector {
 public:
  explicit GatewaySelector(GatewaySelectorSettings settings = {}) : m_settings(settings) {}

  void clear() { m_zones.clear(); }
  /// Sets the slots of all engines by zone. The maximum seen so far counts, because engines that
  /// load weights are temporarily excluded.
  void setSlots(const std::map<std::string, std::uint32_t>& slotsByZone);
  /// Records a gateway's lease request. `acceptsItems`: false if it wants no more items.
  void recordRequest(base::NodeId gateway, const std::string& zone, bool acceptsItems,
                     base::TimePoint now, const GatewayCapacity& capacity = {});
  void remove(std::uint32_t gatewayNumber);
  /// Whether the gateway is active, that is, runs items; also true if the zone is unknown.
  [[nodiscard]] bool isActive(base::NodeId gateway, const std::string& zone, base::TimePoint now);
  /// Returns the number of active gateways in all zones; at least 1.
  [[nodiscard]] std::uint32_t activeCount(base::TimePoint now);
  /// Returns the maximum number of items that the gateway may hold; std::nullopt: no limit.
  [[nodiscard]] std::optional<std::uint32_t> maxItems(base::NodeId gateway, const std::string& zone,
                                                      base::TimePoint now);
  /// Returns the active gateways of a zone.
  [[nodiscard]] std::vector<ActiveGateway> activeIn(const std::string& zone, base::TimePoint now);
  /// Returns all known gateways, without the number of their leased items.
  [[nodiscard]] std::vector<GatewaySummary> summaries() const;

 private:
  struct Gateway {
    base::TimePoint lastRequestAt{};
    bool active = false;
    std::uint32_t size = 0;  ///< slots according to its capacity
    base::Duration lag{0};
    SlownessDetector slow;
  };
  /// Sort key of gateways: the first ones are selected first.
  struct Rank {
    bool slow = false;
    std::uint32_t size = 0;
    base::NodeId gateway;

    bool operator<(const Rank& other) const;
  };
  struct Zone {
    std::uint32_t slots = 0;
    std::map<base::NodeId, Gateway> gateways;
    std::set<Rank> ranked;                         ///< all of `gateways`
    std::map<std::uint32_t, std::uint32_t> sizes;  ///< number of gateways by size
    base::Duration medianLag{0};                   ///< median lag of the active gateways
    base::TimePoint medianLagUpdatedAt{};
    /// Active gateways. Selected again when `outdated`, and at short intervals because gateways may
    /// become unresponsive; selecting them at each request would take time quadratic in the number
    /// of gateways.
    std::set<base::NodeId> active;
    bool sufficient = false;  ///< `active` covers all slots and the spare gateways
    base::TimePoint selectedAt{};
    bool outdated = true;
  };

  [[nodiscard]] std::uint32_t slotsFor(const Zone& zone, const Gateway& gateway) const;
  [[nodiscard]] bool isResponsive(const Gateway& gateway, base::TimePoint now) const;
  [[nodiscard]] bool isActive(base::NodeId gateway, Zone& zone, base::TimePoint now) const;
  void selectActive(Zone& zone, base::TimePoint now) const;
  void updateCapacity(Zone& zone, Gateway& gateway, const GatewayCapacity& capacity,
                      base::TimePoint now) const;
  static void updateMedianLag(Zone& zone, base::TimePoint now);
  static void rank(Zone& zone, base::NodeId node, const Gateway& gateway);
  static void unrank(Zone& zone, base::NodeId node, const Gateway& gateway);
  static void erase(Zone& zone, std::map<base::NodeId, Gateway>::iterator gateway);

  GatewaySelectorSettings m_settings;
  std::map<std::string, Zone> m_zones;
};

}  // namespace tackpick::jobs
