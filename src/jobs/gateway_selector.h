/// \file
/// Which gateways run items, when there are more than are needed.
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

/// Knobs of a GatewaySelector.
struct GatewaySelectorSettings {
  /// Slots at engines that one gateway serves where all are of the same size: an item costs a
  /// gateway about half a millisecond of processor time and runs for half a second and more, so
  /// this is far from its limit.
  std::uint32_t slotsPerGateway = 24;
  /// More than needed in each zone, so that the loss of one leaves no engine idle.
  std::uint32_t spareGateways = 2;
  /// A gateway that runs items asks several times within this time.
  base::Duration activeSilence = base::milliseconds(600);
  /// One that stands by asks at least once within this time.
  base::Duration standbySilence = base::milliseconds(2500);
  /// A gateway that runs items asks within this time; what it takes longer, it is late.
  base::Duration usualInterval = base::milliseconds(300);
  /// A slow gateway takes one in so many of its slots.
  std::uint32_t slowDivisor = 4;
  /// Items that a gateway may hold for each of its slots: some wait at engines, and the gateways
  /// of a zone may be fewer than their share.
  std::uint32_t itemsPerSlot = 2;
  SlownessDetectorSettings slow;
};

/// What is known of one gateway.
struct GatewaySummary {
  base::NodeId gateway;
  std::string zone;
  std::uint32_t slots = 0;  ///< that it takes now
  std::uint32_t held = 0;   ///< items
  bool active = false;      ///< it runs items; else it stands by
  std::optional<base::TimePoint> slowSince;
};

/// The ledgers' leader's. In each zone as many gateways run items as the engines there need; the
/// others stand by and ask seldom, which saves calls, connections to engines and commits. Able
/// gateways go before small ones, and slow ones come last; of equals those with the lowest numbers
/// are taken. Deterministic.
class GatewaySelector {
 public:
  explicit GatewaySelector(GatewaySelectorSettings settings = {}) : m_settings(settings) {}

  void clear() { m_zones.clear(); }
  /// Slots of all engines in each zone; the most that was told counts, since engines that change
  /// their weights are left out for a moment.
  void setSlots(const std::map<std::string, std::uint32_t>& slotsByZone);
  /// A gateway asks for items (`acceptsItems`), or for none any more.
  void note(base::NodeId gateway, const std::string& zone, bool acceptsItems, base::TimePoint now,
            const GatewayCapacity& capacity = {});
  void forget(std::uint32_t gatewayNumber);
  /// True when the gateway is one of those that run items; also while nothing is known of it.
  [[nodiscard]] bool isActive(base::NodeId gateway, const std::string& zone, base::TimePoint now);
  /// Gateways that share the slots of all engines.
  [[nodiscard]] std::uint32_t activeCount(base::TimePoint now);
  /// Items that the gateway may hold; nothing: as many as it asks for.
  [[nodiscard]] std::optional<std::uint32_t> maxItems(base::NodeId gateway, const std::string& zone,
                                                      base::TimePoint now);
  /// Those of a zone that run items.
  [[nodiscard]] std::vector<ActiveGateway> activeIn(const std::string& zone, base::TimePoint now);
  /// All gateways that ask, without what they hold.
  [[nodiscard]] std::vector<GatewaySummary> summaries() const;

 private:
  struct Gateway {
    base::TimePoint askedAt{};
    bool active = false;
    std::uint32_t size = 0;  ///< slots by its capacity
    base::Duration lateness{0};
    SlownessDetector slow;
  };
  /// The order in which gateways are chosen.
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
    std::map<std::uint32_t, std::uint32_t> sizes;  ///< gateways of each size
    base::Duration usualLateness{0};               ///< median of those that run items
    base::TimePoint latenessFoundAt{};
    /// Those that run items; found anew when `outdated`, and now and then since others become
    /// unresponsive. Every call of every gateway asks for it: counting them each time grows with
    /// their square.
    std::set<base::NodeId> active;
    bool enough = false;  ///< `active` has all slots and the spare gateways
    base::TimePoint foundAt{};
    bool outdated = true;
  };

  [[nodiscard]] std::uint32_t slotsFor(const Zone& zone, const Gateway& gateway) const;
  [[nodiscard]] bool isSound(const Gateway& gateway, base::TimePoint now) const;
  [[nodiscard]] bool isActive(base::NodeId gateway, Zone& zone, base::TimePoint now) const;
  void findActive(Zone& zone, base::TimePoint now) const;
  void measure(Zone& zone, Gateway& gateway, const GatewayCapacity& capacity,
               base::TimePoint now) const;
  static void findUsualLateness(Zone& zone, base::TimePoint now);
  static void rank(Zone& zone, base::NodeId node, const Gateway& gateway);
  static void unrank(Zone& zone, base::NodeId node, const Gateway& gateway);
  static void erase(Zone& zone, std::map<base::NodeId, Gateway>::iterator gateway);

  GatewaySelectorSettings m_settings;
  std::map<std::string, Zone> m_zones;
};

}  // namespace tackpick::jobs
