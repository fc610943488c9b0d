/// \file
/// Assigns items to gateways in the zone of their engine.
#pragma once

#include <map>
#include <string>

#include "base/identifiers.h"
#include "base/time.h"

namespace tackpick::jobs {

/// Items of an engine run at gateways of its zone while any of these gateways requests items, which
/// avoids traffic between zones. Deterministic.
class ZoneAffinity {
 public:
  /// Records a gateway's lease request. `acceptsItems`: false if it wants no more items.
  void recordRequest(base::NodeId gateway, const std::string& zone, bool acceptsItems,
                     base::TimePoint now);
  void remove(std::uint32_t gatewayNumber);
  void clear() { m_gateways.clear(); }
  /// Returns the zone of the gateway; empty: unknown.
  [[nodiscard]] std::string zoneOf(base::NodeId gateway) const;
  /// Whether `gateway` may run items of an engine in `zone`.
  [[nodiscard]] bool mayRun(base::NodeId gateway, const std::string& zone,
                            base::TimePoint now) const;

 private:
  struct Gateway {
    std::string zone;
    base::TimePoint lastRequestAt{};
  };

  std::map<base::NodeId, Gateway> m_gateways;
};

}  // namespace tackpick::jobs
