#include "jobs/zone_affinity.h"

#include <algorithm>

namespace tackpick::jobs {
namespace {

/// Time without a request from any gateway of a zone after which gateways of other zones may run
/// its items. Gateways send about two requests within this time.
constexpr base::Duration kRequestTimeout = base::milliseconds(200);

}  // namespace

void ZoneAffinity::recordRequest(base::NodeId gateway, const std::string& zone, bool acceptsItems,
                                 base::TimePoint now) {
  if (acceptsItems) {
    m_gateways[gateway] = {zone, now};
  } else {
    m_gateways.erase(gateway);
  }
}

void ZoneAffinity::remove(std::uint32_t gatewayNumber) {
  std::erase_if(m_gateways,
                [&](const auto& entry) { return base::nodeNumber(entry.first) == gatewayNumber; });
}

std::string ZoneAffinity::zoneOf(base::NodeId gateway) const {
  const auto known = m_gateways.find(gateway);
  return known == m_gateways.end() ? std::string() : known->second.zone;
}

bool ZoneAffinity::mayRun(base::NodeId gateway, const std::string& zone,
                          base::TimePoint now) const {
  const auto own = m_gateways.find(gateway);
  if (own == m_gateways.end() || own->second.zone == zone) {
    return true;
  }
  return std::none_of(m_gateways.begin(), m_gateways.end(), [&](const auto& entry) {
    return entry.second.zone == zone && now - entry.second.lastRequestAt < kRequestTimeout;
  });
}

}  // namespace tackpick::jobs
