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

void GatewaySelector::recordRequest(base::NodeId gateway, const std::string& zone,
                                    bool acceptsItems, base::TimePoint now,
                                    const GatewayCapacity& capacity) {
  Zone& zoneState = m_zones[zone];
  if (!acceptsItems) {
    const auto known = zoneState.gateways.find(gateway);
    if (known != zoneState.gateways.end()) {
      erase(zoneState, known);
    }
    return;
  }
  const auto [known, added] = zoneState.gateways.try_emplace(gateway);
  Gateway& entry = known->second;
  zoneState.outdated = zoneState.outdated || added || !isResponsive(entry, now);
  if (!added) {
    unrank(zoneState, gateway, entry);
  }
  updateCapacity(zoneState, entry, capacity, now);
  rank(zoneState, gateway, entry);
  entry.lastRequestAt = now;
  entry.active = isActive(gateway, zoneState, now);
}

void GatewaySelector::updateCapacity(Zone& zone, Gateway& gateway, const GatewayCapacity& capacity,
                                     base::TimePoint now) const {
  const std::uint32_t size = jobs::slotsFor(capacity).value_or(m_settings.slotsPerGateway);
  const bool wasSlow = gateway.slow.isSlow();
  const bool first = gateway.lastRequestAt == base::TimePoint{};
  gateway.lag = capacity.eventLoopLag;
  if (gateway.active && !first) {
    gateway.lag =
        std::max(gateway.lag, now - gateway.lastRequestAt - m_settings.expectedCallInterval);
  }
  updateMedianLag(zone, now);
  gateway.slow.addSample(gateway.lag, zone.medianLag, now);
  zone.outdated = zone.outdated || size != gateway.size || wasSlow != gateway.slow.isSlow();
  gateway.size = size;
}

void GatewaySelector::updateMedianLag(Zone& zone, base::TimePoint now) {
  constexpr base::Duration kInterval = base::milliseconds(500);
  if (now - zone.medianLagUpdatedAt < kInterval) {
    return;
  }
  zone.medianLagUpdatedAt = now;
  std::vector<base::Duration> lags;
  for (const auto& [node, gateway] : zone.gateways) {
    if (gateway.active) {
      lags.push_back(gateway.lag);
    }
  }
  if (lags.empty()) {
    return;
  }
  const auto middle = lags.begin() + static_cast<std::ptrdiff_t>((lags.size() - 1) / 2);
  std::nth_element(lags.begin(), middle, lags.end());
  zone.medianLag = *middle;
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

void GatewaySelector::remove(std::uint32_t gatewayNumber) {
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
  return gateway.slow.isSlow() ? std::max(slots / m_settings.slowSlotDivisor, 1U) : slots;
}

bool GatewaySelector::isResponsive(const Gateway& gateway, base::TimePoint now) const {
  const base::Duration limit =
      gateway.active ? m_settings.activeTimeout : m_settings.standbyTimeout;
  return now - gateway.lastRequestAt < limit;
}

void GatewaySelector::selectActive(Zone& zone, base::TimePoint now) const {
  constexpr base::Duration kMaxSelectionAge = base::milliseconds(20);
  if (!zone.outdated && now - zone.selectedAt < kMaxSelectionAge) {
    return;
  }
  zone.active.clear();
  zone.selectedAt = now;
  zone.outdated = false;
  std::uint32_t availableSlots = 0;
  std::uint32_t spareCount = 0;
  zone.sufficient = false;
  for (const Rank& next : zone.ranked) {
    const Gateway& gateway = zone.gateways.at(next.gateway);
    if (!isResponsive(gateway, now)) {
      continue;
    }
    zone.sufficient = availableSlots >= zone.slots && spareCount == m_settings.spareGateways;
    if (zone.sufficient) {
      return;
    }
    spareCount += availableSlots >= zone.slots ? 1 : 0;
    availableSlots += slotsFor(zone, gateway);
    zone.active.insert(next.gateway);
  }
  zone.sufficient = availableSlots >= zone.slots && spareCount == m_settings.spareGateways;
}

bool GatewaySelector::isActive(base::NodeId gateway, Zone& zone, base::TimePoint now) const {
  selectActive(zone, now);
  return !zone.sufficient || zone.active.contains(gateway);
}

bool GatewaySelector::isActive(base::NodeId gateway, const std::string& zone, base::TimePoint now) {
  const auto found = m_zones.find(zone);
  return found == m_zones.end() || isActive(gateway, found->second, now);
}

std::uint32_t GatewaySelector::activeCount(base::TimePoint now) {
  std::uint32_t count = 0;
  for (auto& [name, zone] : m_zones) {
    selectActive(zone, now);
    count += static_cast<std::uint32_t>(zone.active.size());
  }
  return std::max(count, 1U);
}

std::optional<std::uint32_t> GatewaySelector::maxItems(base::NodeId gateway,
                                                       const std::string& zone,
                                                       base::TimePoint now) {
  const auto zoneState = m_zones.find(zone);
  if (zoneState == m_zones.end()) {
    return std::nullopt;
  }
  const auto known = zoneState->second.gateways.find(gateway);
  if (known == zoneState->second.gateways.end()) {
    return std::nullopt;
  }
  selectActive(zoneState->second, now);
  const bool unlimited = zoneState->second.sizes.size() <= 1 && !known->second.slow.isSlow();
  if (unlimited || !zoneState->second.sufficient) {
    return std::nullopt;
  }
  return slotsFor(zoneState->second, known->second) * m_settings.itemsPerSlot;
}

std::vector<ActiveGateway> GatewaySelector::activeIn(const std::string& zone, base::TimePoint now) {
  std::vector<ActiveGateway> active;
  const auto found = m_zones.find(zone);
  if (found == m_zones.end()) {
    return active;
  }
  selectActive(found->second, now);
  for (const base::NodeId node : found->second.active) {
    active.push_back({node, slotsFor(found->second, found->second.gateways.at(node))});
  }
  return active;
}

std::vector<GatewaySummary> GatewaySelector::summaries() const {
  std::vector<GatewaySummary> summaries;
  for (const auto& [name, zone] : m_zones) {
    for (const auto& [node, gateway] : zone.gateways) {
      const bool active = !zone.sufficient || zone.active.contains(node);
      summaries.push_back(
          {node, name, slotsFor(zone, gateway), 0, active, gateway.slow.slowSince()});
    }
  }
  return summaries;
}

}  // namespace tackpick::jobs
