#include "jobs/gateway_selector.h"

#include <algorithm>
#include <tuple>

namespace tackpick::jobs {

bool GatewaySelector::Rank::operator<(const Rank& other) const {
  return std::tuple(slow, other.size, gateway) < std::tuple(other.slow, size, other.gateway);
}

void GatewaySelector::setSlots(const std::map<std::string, std::uint32_t>& slotsByZone) {
  for (const auto& [name, slots] : slotsByZone) {
    Zone& zone = m_zones[name];
    zone.outdated = zone.outdated || slots > zone.slots;
    zone.slots = std::max(zone.slots, slots);
  }
}

void GatewaySelector::note(base::NodeId gateway, const std::string& zone, bool acceptsItems,
                           base::TimePoint now, const GatewayCapacity& capacity) {
  Zone& home = m_zones[zone];
  if (!acceptsItems) {
    const auto known = home.gateways.find(gateway);
    if (known != home.gateways.end()) {
      erase(home, known);
    }
    return;
  }
  const auto [known, added] = home.gateways.try_emplace(gateway);
  Gateway& asking = known->second;
  home.outdated = home.outdated || added || !isSound(asking, now);
  if (!added) {
    unrank(home, gateway, asking);
  }
  measure(home, asking, capacity, now);
  rank(home, gateway, asking);
  asking.askedAt = now;
  asking.active = isActive(gateway, home, now);
}

void GatewaySelector::measure(Zone& zone, Gateway& gateway, const GatewayCapacity& capacity,
                              base::TimePoint now) const {
  const std::uint32_t size = jobs::slotsFor(capacity).value_or(m_settings.slotsPerGateway);
  const bool wasSlow = gateway.slow.isSlow();
  const bool first = gateway.askedAt == base::TimePoint{};
  gateway.lateness = capacity.eventLoopLag;
  if (gateway.active && !first) {
    gateway.lateness = std::max(gateway.lateness, now - gateway.askedAt - m_settings.usualInterval);
  }
  findUsualLateness(zone, now);
  gateway.slow.note(gateway.lateness, zone.usualLateness, now);
  zone.outdated = zone.outdated || size != gateway.size || wasSlow != gateway.slow.isSlow();
  gateway.size = size;
}

void GatewaySelector::findUsualLateness(Zone& zone, base::TimePoint now) {
  constexpr base::Duration kInterval = base::milliseconds(500);
  if (now - zone.latenessFoundAt < kInterval) {
    return;
  }
  zone.latenessFoundAt = now;
  std::vector<base::Duration> running;
  for (const auto& [node, gateway] : zone.gateways) {
    if (gateway.active) {
      running.push_back(gateway.lateness);
    }
  }
  if (running.empty()) {
    return;
  }
  const auto middle = running.begin() + static_cast<std::ptrdiff_t>((running.size() - 1) / 2);
  std::nth_element(running.begin(), middle, running.end());
  zone.usualLateness = *middle;
}

void GatewaySelector::rank(Zone& zone, base::NodeId node, const Gateway& gateway) {
  zone.ranked.insert({gateway.slow.isSlow(), gateway.size, node});
  ++zone.sizes[gateway.size];
}

void GatewaySelector::unrank(Zone& zone, base::NodeId node, const Gateway& gateway) {
  zone.ranked.erase({gateway.slow.isSlow(), gateway.size, node});
  const auto size = zone.sizes.find(gateway.size);
  if (--size->second == 0) {
    zone.sizes.erase(size);
  }
}

void GatewaySelector::erase(Zone& zone, std::map<base::NodeId, Gateway>::iterator gateway) {
  unrank(zone, gateway->first, gateway->second);
  zone.gateways.erase(gateway);
  zone.outdated = true;
}

void GatewaySelector::forget(std::uint32_t gatewayNumber) {
  for (auto& [name, zone] : m_zones) {
    auto known = zone.gateways.lower_bound(base::makeNodeId(gatewayNumber, 0));
    while (known != zone.gateways.end() && base::nodeNumber(known->first) == gatewayNumber) {
      erase(zone, known++);
    }
  }
}

std::uint32_t GatewaySelector::slotsFor(const Zone& zone, const Gateway& gateway) const {
  const bool equal = zone.sizes.size() <= 1;
  const std::uint32_t slots = equal ? m_settings.slotsPerGateway : gateway.size;
  return gateway.slow.isSlow() ? std::max(slots / m_settings.slowDivisor, 1U) : slots;
}

bool GatewaySelector::isSound(const Gateway& gateway, base::TimePoint now) const {
  const base::Duration limit =
      gateway.active ? m_settings.activeSilence : m_settings.standbySilence;
  return now - gateway.askedAt < limit;
}

void GatewaySelector::findActive(Zone& zone, base::TimePoint now) const {
  constexpr base::Duration kMaxUse = base::milliseconds(20);
  if (!zone.outdated && now - zone.foundAt < kMaxUse) {
    return;
  }
  zone.active.clear();
  zone.foundAt = now;
  zone.outdated = false;
  std::uint32_t availableSlots = 0;
  std::uint32_t spare = 0;
  zone.enough = false;
  for (const Rank& next : zone.ranked) {
    const Gateway& gateway = zone.gateways.at(next.gateway);
    if (!isSound(gateway, now)) {
      continue;
    }
    zone.enough = availableSlots >= zone.slots && spare == m_settings.spareGateways;
    if (zone.enough) {
      return;
    }
    spare += availableSlots >= zone.slots ? 1 : 0;
    availableSlots += slotsFor(zone, gateway);
    zone.active.insert(next.gateway);
  }
  zone.enough = availableSlots >= zone.slots && spare == m_settings.spareGateways;
}

bool GatewaySelector::isActive(base::NodeId gateway, Zone& zone, base::TimePoint now) const {
  findActive(zone, now);
  return !zone.enough || zone.active.contains(gateway);
}

bool GatewaySelector::isActive(base::NodeId gateway, const std::string& zone, base::TimePoint now) {
  const auto found = m_zones.find(zone);
  return found == m_zones.end() || isActive(gateway, found->second, now);
}

std::uint32_t GatewaySelector::activeCount(base::TimePoint now) {
  std::uint32_t count = 0;
  for (auto& [name, zone] : m_zones) {
    findActive(zone, now);
    count += static_cast<std::uint32_t>(zone.active.size());
  }
  return std::max(count, 1U);
}

std::optional<std::uint32_t> GatewaySelector::maxItems(base::NodeId gateway,
                                                       const std::string& zone,
                                                       base::TimePoint now) {
  const auto home = m_zones.find(zone);
  if (home == m_zones.end()) {
    return std::nullopt;
  }
  const auto known = home->second.gateways.find(gateway);
  if (known == home->second.gateways.end()) {
    return std::nullopt;
  }
  findActive(home->second, now);
  const bool usual = home->second.sizes.size() <= 1 && !known->second.slow.isSlow();
  if (usual || !home->second.enough) {
    return std::nullopt;
  }
  return slotsFor(home->second, known->second) * m_settings.itemsPerSlot;
}

std::vector<ActiveGateway> GatewaySelector::activeIn(const std::string& zone, base::TimePoint now) {
  std::vector<ActiveGateway> active;
  const auto found = m_zones.find(zone);
  if (found == m_zones.end()) {
    return active;
  }
  findActive(found->second, now);
  for (const base::NodeId node : found->second.active) {
    active.push_back({node, slotsFor(found->second, found->second.gateways.at(node))});
  }
  return active;
}

std::vector<GatewaySummary> GatewaySelector::summaries() const {
  std::vector<GatewaySummary> summaries;
  for (const auto& [name, zone] : m_zones) {
    for (const auto& [node, gateway] : zone.gateways) {
      const bool active = !zone.enough || zone.active.contains(node);
      summaries.push_back(
          {node, name, slotsFor(zone, gateway), 0, active, gateway.slow.slowSince()});
    }
  }
  return summaries;
}

}  // namespace tackpick::jobs
