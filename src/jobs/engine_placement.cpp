#include "jobs/engine_placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tackpick::jobs {
namespace {

/// Minimum time between two updates of the expected event intervals of all engines. They change
/// over seconds, and there may be 10,000 engines.
constexpr base::Duration kEventIntervalRefresh = base::milliseconds(100);
/// Ratio of the event intervals of neighbouring tiers. Prompt processing makes equal engines
/// appear to differ by less than this ratio, so that they share a tier and are filled evenly.
constexpr double kTierRatio = 1.6;

}  // namespace

void EnginePlacement::setEngines(std::vector<EngineInfo> engines) {
  std::set<std::string> present;
  for (EngineInfo& info : engines) {
    present.insert(info.id);
    upsert(std::move(info));
  }
  std::vector<std::string> missing;
  for (const auto& [id, engine] : m_engines) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  changeEngines({}, missing);
}

void EnginePlacement::changeEngines(std::vector<EngineInfo> changed,
                                    const std::vector<std::string>& removed) {
  for (const std::string& id : removed) {
    remove(id);
  }
  for (EngineInfo& info : changed) {
    upsert(std::move(info));
  }
}

void EnginePlacement::upsert(EngineInfo info) {
  const auto [known, added] = m_engines.try_emplace(info.id);
  EngineState& engine = known->second;
  if (!added) {
    removePrimary(known->first, engine);
    unlinkMachine(engine);
  }
  m_acceptingCount -= !added && engine.info.acceptsItems ? 1 : 0;
  m_acceptingCount += info.acceptsItems ? 1 : 0;
  engine.info = std::move(info);
  linkMachine(engine);
  if (engine.info.acceptsItems && !engine.info.standby) {
    addPrimary(known->first, engine);
  }
  if (engine.info.standby) {
    for (const auto& [model, version] : engine.info.versions) {
      std::uint64_t& newest = m_newestStandbyVersion[model];
      newest = std::max(newest, version);
    }
  }
  invalidateCandidates();
}

void EnginePlacement::addPrimary(std::string_view id, EngineState& engine) {
  m_primary.emplace(id, &engine);
  for (const auto& [model, version] : engine.info.versions) {
    m_primaryByModel[model].emplace(id, &engine);
  }
}

void EnginePlacement::removePrimary(std::string_view id, const EngineState& engine) {
  if (m_primary.erase(id) == 0) {
    return;
  }
  for (const auto& [model, version] : engine.info.versions) {
    const auto engines = m_primaryByModel.find(model);
    engines->second.erase(id);
    if (engines->second.empty()) {
      m_primaryByModel.erase(engines);
    }
  }
}

void EnginePlacement::linkMachine(EngineState& engine) {
  const std::string& machine = engine.info.machineName();
  engine.intervalEntry = &m_eventIntervals.addEngine(machine, engine.info.zone);
  m_enginesByMachine[machine].insert(&engine);
  refreshEventInterval(engine, m_intervalsRefreshedAt);
}

void EnginePlacement::unlinkMachine(EngineState& engine) {
  const std::string& machine = engine.info.machineName();
  m_eventIntervals.removeEngine(machine, m_intervalsRefreshedAt);
  const auto engines = m_enginesByMachine.find(machine);
  engines->second.erase(&engine);
  if (engines->second.empty()) {
    m_enginesByMachine.erase(engines);
  }
}

void EnginePlacement::invalidateCandidates() {
  m_candidates.clear();
  m_standbyCursor.clear();
}

void EnginePlacement::remove(const std::string& id) {
  const auto known = m_engines.find(id);
  if (known == m_engines.end()) {
    return;
  }
  m_acceptingCount -= known->second.info.acceptsItems ? 1 : 0;
  unlinkMachine(known->second);
  m_enginesWithLoad.erase(&known->second);
  removePrimary(known->first, known->second);
  invalidateCandidates();
  m_engines.erase(known);
}

EngineState* EnginePlacement::find(std::string_view id) {
  const auto found = m_engines.find(id);
  return found == m_engines.end() ? nullptr : &found->second;
}

void EnginePlacement::recordEventIntervals(
    const std::map<std::string, EventIntervalReport>& reports, base::TimePoint now) {
  for (const auto& [machine, report] : reports) {
    const auto engines = m_enginesByMachine.find(machine);
    if (engines == m_enginesByMachine.end() || !m_eventIntervals.addSample(machine, report, now)) {
      continue;
    }
    for (EngineState* engine : engines->second) {
      refreshEventInterval(*engine, now);
    }
  }
}

void EnginePlacement::refreshEventIntervals(base::TimePoint now) {
  if (now - m_intervalsRefreshedAt < kEventIntervalRefresh) {
    return;
  }
  m_intervalsRefreshedAt = now;
  m_eventIntervals.refresh(now);
  for (auto& [id, engine] : m_engines) {
    refreshEventInterval(engine, now);
  }
}

void EnginePlacement::refreshEventInterval(EngineState& engine, base::TimePoint now) {
  engine.eventIntervalMs = m_eventIntervals.expectedMs(*engine.intervalEntry, now);
  const EngineEventInterval& eventInterval = engine.intervalEntry->eventInterval;
  engine.transientDelay = eventInterval.transientDelay(now);
  // A slowdown affects the tier only: within a tier engines are compared by event interval alone.
  constexpr double kNormalPercent = 100.0;
  engine.speedTier =
      speedTierOf(engine.eventIntervalMs * eventInterval.slowdownPercent(now) / kNormalPercent);
}

std::size_t EnginePlacement::speedTierOf(double eventIntervalMs) const {
  if (eventIntervalMs <= 0 || m_eventIntervals.medianMs() <= 0) {
    return kMedianTier;
  }
  constexpr auto kMiddle = static_cast<double>(kMedianTier);
  const double steps =
      std::round(std::log(eventIntervalMs / m_eventIntervals.medianMs()) / std::log(kTierRatio));
  return static_cast<std::size_t>(kMiddle + std::clamp(steps, -kMiddle, kMiddle));
}

void EnginePlacement::setLoads(const std::map<std::string, std::uint32_t>& loads,
                               base::TimePoint now) {
  for (EngineState* engine : std::exchange(m_enginesWithLoad, {})) {
    engine->load = 0;
  }
  for (const auto& [id, items] : loads) {
    if (EngineState* engine = find(id)) {
      addLoad(*engine, items);
    }
  }
  refreshEventIntervals(now);
  invalidateCandidates();
}

void EnginePlacement::addLoad(EngineState& engine, std::uint32_t items) {
  engine.load += items;
  m_enginesWithLoad.insert(&engine);
}

std::string EnginePlacement::zoneOf(const std::string& engine) const {
  const auto found = m_engines.find(engine);
  return found == m_engines.end() ? std::string() : found->second.info.zone;
}

double EnginePlacement::eventIntervalOf(const std::string& engine) const {
  const auto found = m_engines.find(engine);
  return found == m_engines.end() ? 0 : found->second.eventIntervalMs;
}

std::map<std::string, std::uint32_t> EnginePlacement::slotsByZone() const {
  std::map<std::string, std::uint32_t> slots;
  for (const auto& [id, engine] : m_primary) {
    slots[engine->info.zone] += engine->info.slots;
  }
  return slots;
}

void EnginePlacement::undoPlacement(const std::string& id) {
  EngineState* engine = find(id);
  if (engine != nullptr && engine->load > 0) {
    --engine->load;
    invalidateCandidates();
  }
}

std::uint32_t EnginePlacement::readySlots(const std::string& model,
                                          std::uint64_t minimumVersion) const {
  std::uint32_t slots = 0;
  for (const auto& [id, engine] : m_engines) {
    if (engine.info.acceptsItems && engine.info.holds(model, minimumVersion)) {
      slots += engine.info.slots;
    }
  }
  return slots;
}

std::vector<EngineSummary> EnginePlacement::summaries(base::TimePoint now) const {
  std::vector<EngineSummary> summaries;
  summaries.reserve(m_engines.size());
  for (const auto& [id, engine] : m_engines) {
    const EngineEventInterval& eventInterval = engine.intervalEntry->eventInterval;
    summaries.push_back({id, engine.info.zone,
                         m_eventIntervals.expectedMs(*engine.intervalEntry, now),
                         eventInterval.slowdownPercent(now), eventInterval.age(now), engine.load});
  }
  return summaries;
}

SpeedTiers EnginePlacement::buildCandidates(const std::string& model,
                                            std::uint64_t minimumVersion) {
  SpeedTiers candidates;
  const auto engines = m_primaryByModel.find(model);
  if (engines == m_primaryByModel.end()) {
    return candidates;
  }
  for (const auto& [id, engine] : engines->second) {
    if (engine->info.holds(model, minimumVersion)) {
      candidates.add(*engine);
    }
  }
  return candidates;
}

SpeedTiers& EnginePlacement::cachedCandidates(const std::string& model,
                                              std::uint64_t minimumVersion) {
  const auto key = std::pair(model, minimumVersion);
  auto found = m_candidates.find(key);
  if (found == m_candidates.end()) {
    found = m_candidates.emplace(key, buildCandidates(model, minimumVersion)).first;
  }
  return found->second;
}

std::string EnginePlacement::placeOnPrimary(const ItemRequirements& requirements) {
  SpeedTiers& candidates = cachedCandidates(requirements.model, requirements.minimumVersion);
  EngineState* engine = candidates.choose(requirements);
  if (engine == nullptr) {
    return {};
  }
  addLoad(*engine, 1);
  candidates.onPlaced();
  return engine->info.id;
}

std::string EnginePlacement::place(const ItemRequirements& requirements) {
  std::string engine = placeOnPrimary(requirements);
  return engine.empty() ? placeOnStandby(requirements.model, requirements.minimumVersion) : engine;
}

std::string EnginePlacement::placeOnStandby(const std::string& model,
                                            std::uint64_t minimumVersion) {
  const auto newest = m_newestStandbyVersion.find(model);
  if (newest == m_newestStandbyVersion.end() || newest->second < minimumVersion) {
    return {};
  }
  // Loads only rise until the next setLoads(), so a full engine need not be checked again.
  const auto from = m_standbyCursor.try_emplace({model, minimumVersion}, m_engines.begin()).first;
  for (; from->second != m_engines.end(); ++from->second) {
    EngineState& engine = from->second->second;
    if (engine.info.standby && engine.info.acceptsItems && !engine.isFull() &&
        engine.info.holds(model, minimumVersion)) {
      addLoad(engine, 1);
      return engine.info.id;
    }
  }
  return {};
}

}  // namespace tackpick::jobs
