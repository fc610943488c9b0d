#include "jobs/engine_placement.h"

#include <algorithm>
#include <utility>

#include "jobs/engine_cost.h"

namespace tackpick::jobs {
namespace {

constexpr double kPaceWeight = 0.3;
/// One item may wait for so many places.
constexpr std::uint32_t kPlacesPerWaiting = 8;

}  // namespace

void EnginePlacement::setEngines(std::vector<PlacementEngine> engines) {
  m_engines = std::move(engines);
  std::map<std::string, double> paces;
  for (const PlacementEngine& engine : m_engines) {
    const auto known = m_paces.find(engine.id);
    if (known != m_paces.end()) {
      paces.insert(*known);
    }
  }
  m_paces = std::move(paces);
}

void EnginePlacement::notePace(const std::string& engine, double paceMs) {
  if (paceMs <= 0) {
    return;
  }
  const auto [pace, added] = m_paces.try_emplace(engine, paceMs);
  if (!added) {
    pace->second += kPaceWeight * (paceMs - pace->second);
  }
}

std::uint32_t EnginePlacement::load(const std::string& engine) const {
  const auto found = m_loads.find(engine);
  return found == m_loads.end() ? 0 : found->second;
}

double EnginePlacement::cost(const PlacementEngine& engine) const {
  const auto pace = m_paces.find(engine.id);
  return engineCost(pace == m_paces.end() ? 0.0 : pace->second,
                    (load(engine.id) + 1.0) / engine.slots);
}

bool EnginePlacement::isFull(const PlacementEngine& engine) const {
  return load(engine.id) >= engine.slots + engine.slots / kPlacesPerWaiting;
}

std::string EnginePlacement::zoneOf(const std::string& engine) const {
  const auto found = std::find_if(m_engines.begin(), m_engines.end(),
                                  [&](const PlacementEngine& known) { return known.id == engine; });
  return found == m_engines.end() ? std::string() : found->zone;
}

void EnginePlacement::takeBack(const std::string& engine) {
  const auto found = m_loads.find(engine);
  if (found != m_loads.end() && found->second > 0) {
    --found->second;
  }
}

std::string EnginePlacement::place(const std::string& model, std::uint64_t minimumVersion) {
  const PlacementEngine* best = nullptr;
  for (const PlacementEngine& engine : m_engines) {
    const auto version = engine.versions.find(model);
    const bool fits =
        version != engine.versions.end() && version->second >= minimumVersion && !isFull(engine);
    if (fits && (best == nullptr || cost(engine) < cost(*best))) {
      best = &engine;
    }
  }
  if (best == nullptr) {
    return {};
  }
  ++m_loads[best->id];
  return best->id;
}

}  // namespace tackpick::jobs
