#include "jobs/gateway_roster.h"

#include <algorithm>

namespace tackpick::jobs {

void GatewayRoster::setPlaces(const std::map<std::string, std::uint32_t>& placesByZone) {
  for (const auto& [zone, places] : placesByZone) {
    std::uint32_t& most = m_zones[zone].places;
    most = std::max(most, places);
  }
}

void GatewayRoster::note(base::NodeId gateway, const std::string& zone, bool takesItems,
                         base::TimePoint now) {
  Zone& home = m_zones[zone];
  if (!takesItems) {
    home.gateways.erase(gateway);
    return;
  }
  home.gateways[gateway].askedAt = now;
  home.gateways[gateway].active = isActive(gateway, home, now);
}

void GatewayRoster::forget(std::uint32_t gatewayNumber) {
  for (auto& [name, zone] : m_zones) {
    std::erase_if(zone.gateways, [&](const auto& entry) {
      return base::nodeNumber(entry.first) == gatewayNumber;
    });
  }
}

std::uint32_t GatewayRoster::wanted(const Zone& zone) const {
  const std::uint32_t needed =
      (zone.places + m_settings.placesPerGateway - 1) / m_settings.placesPerGateway;
  return needed + m_settings.spareGateways;
}

bool GatewayRoster::isSound(const Gateway& gateway, base::TimePoint now) const {
  const base::Duration limit =
      gateway.active ? m_settings.activeSilence : m_settings.standbySilence;
  return now - gateway.askedAt < limit;
}

bool GatewayRoster::isActive(base::NodeId gateway, const Zone& zone, base::TimePoint now) const {
  const auto before = std::count_if(zone.gateways.begin(), zone.gateways.lower_bound(gateway),
                                    [&](const auto& entry) { return isSound(entry.second, now); });
  return static_cast<std::uint32_t>(before) < wanted(zone);
}

bool GatewayRoster::isActive(base::NodeId gateway, const std::string& zone,
                             base::TimePoint now) const {
  const auto found = m_zones.find(zone);
  return found == m_zones.end() || isActive(gateway, found->second, now);
}

std::uint32_t GatewayRoster::activeCount(base::TimePoint now) const {
  std::uint32_t count = 0;
  for (const auto& [name, zone] : m_zones) {
    const auto sound = std::count_if(zone.gateways.begin(), zone.gateways.end(),
                                     [&](const auto& entry) { return isSound(entry.second, now); });
    count += std::min(static_cast<std::uint32_t>(sound), wanted(zone));
  }
  return std::max(count, 1U);
}

}  // namespace tackpick::jobs
