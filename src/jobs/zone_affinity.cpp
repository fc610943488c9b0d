#include "jobs/zone_affinity.h"

#include <algorithm>

namespace tackpick::jobs {
namespace {

/// Time without a request from any gateway of a zone after which gateways of other zones may run
/// its items. Gateways send about two requests within this time.
constexpr base::Duration kRequestTimeout = base::milliseconds(200);

}  // namespace

void ZoneAffinity::recordRequest(base::NodeId gateway, const std::string& zone, bool acceptsItems,
                                 std::uint64_t configurationVersion, base::TimePoint now) {
  m_gateways[gateway] = {zone, acceptsItems, configurationVersion, now};
}

void ZoneAffinity::remove(std::uint32_t gatewayNumber) {
  std::erase_if(m_gateways,
                [&](const auto& entry) { return base::nodeNumber(entry.first) == gatewayNumber; });
}

std::string ZoneAffinity::zoneOf(base::NodeId gateway) const {
  const auto known = m_gateways.find(gateway);
  return known == m_gateways.end() || !known->second.acceptsItems ? std::string()
                                                                  : known->second.zone;
}

std::uint64_t ZoneAffinity::configurationVersionOf(base::NodeId gateway) const {
  const auto known = m_gateways.find(gateway);
  return known == m_gateways.end() ? 0 : known->second.configurationVersion;
}

std::uint64_t ZoneAffinity::minConfigurationVersion(base::NodeId gateway, const std::string& zone,
                                                    base::TimePoint now) const {
  const std::string ownZone = zoneOf(gateway);
  if (ownZone.empty() || ownZone == zone) {
    return 0;
  }
  std::uint64_t minVersion = 0;
  for (const auto& [node, entry] : m_gateways) {
    const bool requestsItems = entry.acceptsItems && now - entry.lastRequestAt < kRequestTimeout;
    if (requestsItems && entry.zone == zone) {
      minVersion = std::max(minVersion, entry.configurationVersion + 1);
    }
  }
  return minVersion;
}

}  // namespace tackpick::jobs
