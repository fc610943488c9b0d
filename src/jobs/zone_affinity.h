/// \file
/// Assigns items to gateways in the zone of their engine.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/identifiers.h"
#include "base/time.h"

namespace tackpick::jobs {

/// Items of an engine run at gateways of its zone while any of these gateways requests items and
/// applies the configuration of their job, which avoids traffic between zones. Deterministic.
class ZoneAffinity {
 public:
  /// Records a gateway's lease request. `acceptsItems`: false if it wants no more items.
  /// `configurationVersion`: version that the gateway applies.
  void recordRequest(base::NodeId gateway, const std::string& zone, bool acceptsItems,
                     std::uint64_t configurationVersion, base::TimePoint now);
  void remove(std::uint32_t gatewayNumber);
  void clear() { m_gateways.clear(); }
  /// Returns the zone of the gateway; empty if it is unknown or wants no more items.
  [[nodiscard]] std::string zoneOf(base::NodeId gateway) const;
  /// Returns the configuration version that the gateway applies; zero if it is unknown.
  [[nodiscard]] std::uint64_t configurationVersionOf(base::NodeId gateway) const;
  /// Returns the oldest configuration version of a job whose items `gateway` may run at engines in
  /// `zone`. Zero in its own zone, and while no gateway of `zone` requests items; otherwise,
  /// gateways of `zone` run the items of all older jobs.
  [[nodiscard]] std::uint64_t minConfigurationVersion(base::NodeId gateway, const std::string& zone,
                                                      base::TimePoint now) const;

 private:
  struct Gateway {
    std::string zone;
    bool acceptsItems = false;
    std::uint64_t configurationVersion = 0;
    base::TimePoint lastRequestAt{};
  };

  std::map<base::NodeId, Gateway> m_gateways;
};

}  // namespace tackpick::jobs
