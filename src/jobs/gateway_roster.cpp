#include "jobs/gateway_roster.h"

#include <algorithm>

namespace tackpick::jobs {

void GatewayRoster::setPlaces(const std::map<std::string, std::uint32_t>& placesByZone) {
  for (const auto& [name, places] : placesByZone) {
    Zone& zone = m_zones[name];
    zone.outdated = zone.outdated || places > zone.places;
    zone.places = std::max(zone.places, places);
  }
}

void GatewayRoster::note(base::NodeId gateway, const std::string& zone, bool takesItems,
                         base::TimePoint now) {
  Zone& home = m_zones[zone];
  if (!takesItems) {
    home.outdated = home.gateways.erase(gateway) > 0 || home.outdated;
    return;
  }
  const auto [known, added] = home.gateways.try_emplace(gateway);
  home.outdated = home.outdated || added || !isSound(known->second, now);
  known->second.askedAt = now;
  known->second.active = isActive(gateway, home, now);
}

void GatewayRoster::forget(std::uint32_t gatewayNumber) {
  for (auto& [name, zone] : m_zones) {
    const std::size_t forgotten = std::erase_if(zone.gateways, [&](const auto& entry) {
      return base::nodeNumber(entry.first) == gatewayNumber;
    });
    zone.outdated = zone.outdated || forgotten > 0;
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

void GatewayRoster::findActive(Zone& zone, base::TimePoint now) const {
  constexpr base::Duration kLongestUse = base::milliseconds(20);
  if (!zone.outdated && now - zone.foundAt < kLongestUse) {
    return;
  }
  zone.active.clear();
  zone.foundAt = now;
  zone.outdated = false;
  const std::uint32_t most = wanted(zone);
  for (const auto& [node, gateway] : zone.gateways) {
    if (zone.active.size() == most) {
      break;
    }
    if (isSound(gateway, now)) {
      zone.active.insert(zone.active.end(), node);
    }
  }
}

bool GatewayRoster::isActive(base::NodeId gateway, Zone& zone, base::TimePoint now) const {
  findActive(zone, now);
  return zone.active.size() < wanted(zone) || gateway <= *zone.active.rbegin();
}

bool GatewayRoster::isActive(base::NodeId gateway, const std::string& zone, base::TimePoint now) {
  const auto found = m_zones.find(zone);
  return found == m_zones.end() || isActive(gateway, found->second, now);
}

std::uint32_t GatewayRoster::activeCount(base::TimePoint now) {
  std::uint32_t count = 0;
  for (auto& [name, zone] : m_zones) {
    findActive(zone, now);
    count += static_cast<std::uint32_t>(zone.active.size());
  }
  return std::max(count, 1U);
}

}  // namespace tackpick::jobs
