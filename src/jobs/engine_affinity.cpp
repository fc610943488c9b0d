#include "jobs/engine_affinity.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/random.h"

namespace tackpick::jobs {
namespace {

/// Returns the rendezvous score of a gateway for an engine. The highest score wins; a gateway wins
/// in proportion to its slots.
double scoreOf(const ActiveGateway& gateway, std::uint64_t engineHash) {
  constexpr unsigned kUnusedBits = 11;  // a double has 53 bits of precision
  constexpr double kUnit = 1.0 / 9007199254740992.0;
  const std::uint64_t bits = base::mix(engineHash, gateway.gateway.value) >> kUnusedBits;
  const double uniform = (static_cast<double>(bits) + 1.0) * kUnit;
  return std::log(uniform) / std::max(gateway.slots, 1U);
}

}  // namespace

void EngineAffinity::clear() {
  m_zones.clear();
  m_engines.clear();
}

void EngineAffinity::remove(const std::string& engine) {
  m_engines.erase(engine);
  for (auto& [name, zone] : m_zones) {
    zone.preferredByEngine.erase(engine);
  }
}

void EngineAffinity::setGateways(const std::string& name, std::vector<ActiveGateway> gateways) {
  Zone& zone = m_zones[name];
  if (zone.gateways != gateways) {
    zone.gateways = std::move(gateways);
    zone.preferredByEngine.clear();
  }
}

void EngineAffinity::onPlanned(const std::string& name,
                               const std::map<std::string, std::uint32_t>& items,
                               base::TimePoint now) {
  Zone& zone = m_zones[name];
  for (const auto& [id, count] : items) {
    const auto [entry, added] = zone.preferredByEngine.try_emplace(id);
    if (added) {
      entry->second = selectPreferred(zone.gateways, id);
    }
    Engine& engine = m_engines[id];
    engine.preferred = entry->second;
    if (engine.waiting == 0) {
      engine.waitingSince = now;
    }
    engine.waiting = count;
  }
}

EngineAffinity::PreferredGateways EngineAffinity::selectPreferred(
    const std::vector<ActiveGateway>& gateways, const std::string& engine) {
  const std::uint64_t hash = base::hashBytes(engine);
  std::array<double, 2> scores{};
  PreferredGateways best{};
  for (const ActiveGateway& gateway : gateways) {
    const double score = scoreOf(gateway, hash);
    if (!best[0].valid() || score > scores[0]) {
      best[1] = std::exchange(best[0], gateway.gateway);
      scores[1] = std::exchange(scores[0], score);
    } else if (!best[1].valid() || score > scores[1]) {
      best[1] = gateway.gateway;
      scores[1] = score;
    }
  }
  return best;
}

bool EngineAffinity::isPreferred(const Engine& engine, base::NodeId gateway) {
  return engine.preferred[0] == gateway || engine.preferred[1] == gateway;
}

bool EngineAffinity::isEligible(base::NodeId gateway, const std::string& id,
                                base::TimePoint now) const {
  const auto found = m_engines.find(id);
  if (found == m_engines.end()) {
    return true;
  }
  const Engine& engine = found->second;
  return engine.openToAll || isPreferred(engine, gateway) || !engine.preferred[0].valid() ||
         now - engine.waitingSince >= m_settings.fallbackDelay;
}

void EngineAffinity::onItemLeased(base::NodeId gateway, const std::string& id,
                                  base::TimePoint now) {
  const auto found = m_engines.find(id);
  if (found == m_engines.end()) {
    return;
  }
  Engine& engine = found->second;
  engine.waiting -= engine.waiting > 0 ? 1 : 0;
  // A lease by another gateway means that the preferred ones did not request items in time.
  engine.openToAll = !isPreferred(engine, gateway);
  engine.waitingSince = now;
}

void EngineAffinity::onDeclined(const std::string& id) {
  const auto found = m_engines.find(id);
  if (found != m_engines.end()) {
    found->second.openToAll = true;
  }
}

}  // namespace tackpick::jobs
