#include "jobs/engine_placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tackpick::jobs {
namespace {

/// Between taking over the expected event intervals: they change over seconds, and there may be
/// 10,000.
constexpr base::Duration kEventIntervalRefresh = base::milliseconds(100);
/// Between two classes. Paces of equal engines differ by the prompts that they read meanwhile; a
/// class holds what differs by no more, so that equal engines are filled evenly.
constexpr double kClassRatio = 1.6;

}  // namespace

void EnginePlacement::setEngines(std::vector<PlacementEngine> engines) {
  std::set<std::string> present;
  for (PlacementEngine& told : engines) {
    present.insert(told.id);
    upsert(std::move(told));
  }
  std::vector<std::string> missing;
  for (const auto& [id, engine] : m_engines) {
    if (!present.contains(id)) {
      missing.push_back(id);
    }
  }
  changeEngines({}, missing);
}

void EnginePlacement::changeEngines(std::vector<PlacementEngine> changed,
                                    const std::vector<std::string>& removed) {
  for (const std::string& id : removed) {
    remove(id);
  }
  for (PlacementEngine& told : changed) {
    upsert(std::move(told));
  }
}

void EnginePlacement::upsert(PlacementEngine told) {
  const auto [known, added] = m_engines.try_emplace(told.id);
  EngineWork& engine = known->second;
  if (!added) {
    takeOutOfUse(known->first, engine);
    detach(engine);
  }
  m_taking -= !added && engine.told.acceptsItems ? 1 : 0;
  m_taking += told.acceptsItems ? 1 : 0;
  engine.told = std::move(told);
  attach(engine);
  if (engine.told.acceptsItems && !engine.told.standby) {
    putInUse(known->first, engine);
  }
  if (engine.told.standby) {
    for (const auto& [model, version] : engine.told.versions) {
      std::uint64_t& newest = m_newestStandbyVersion[model];
      newest = std::max(newest, version);
    }
  }
  forgetSearches();
}

void EnginePlacement::putInUse(std::string_view id, EngineWork& engine) {
  m_inUse.emplace(id, &engine);
  for (const auto& [model, version] : engine.told.versions) {
    m_inUseByModel[model].emplace(id, &engine);
  }
}

void EnginePlacement::takeOutOfUse(std::string_view id, const EngineWork& engine) {
  if (m_inUse.erase(id) == 0) {
    return;
  }
  for (const auto& [model, version] : engine.told.versions) {
    const auto engines = m_inUseByModel.find(model);
    engines->second.erase(id);
    if (engines->second.empty()) {
      m_inUseByModel.erase(engines);
    }
  }
}

void EnginePlacement::attach(EngineWork& engine) {
  const std::string& machine = engine.told.machineName();
  engine.pace = &m_eventIntervals.attach(machine, engine.told.zone);
  m_byMachine[machine].insert(&engine);
  refreshEventInterval(engine, m_intervalsRefreshedAt);
}

void EnginePlacement::detach(EngineWork& engine) {
  const std::string& machine = engine.told.machineName();
  m_eventIntervals.detach(machine, m_intervalsRefreshedAt);
  const auto engines = m_byMachine.find(machine);
  engines->second.erase(&engine);
  if (engines->second.empty()) {
    m_byMachine.erase(engines);
  }
}

void EnginePlacement::forgetSearches() {
  m_candidates.clear();
  m_standbyCursor.clear();
}

void EnginePlacement::remove(const std::string& id) {
  const auto known = m_engines.find(id);
  if (known == m_engines.end()) {
    return;
  }
  m_taking -= known->second.told.acceptsItems ? 1 : 0;
  detach(known->second);
  m_loaded.erase(&known->second);
  takeOutOfUse(known->first, known->second);
  forgetSearches();
  m_engines.erase(known);
}

EngineWork* EnginePlacement::find(std::string_view id) {
  const auto found = m_engines.find(id);
  return found == m_engines.end() ? nullptr : &found->second;
}

void EnginePlacement::recordEventIntervals(
    const std::map<std::string, EventIntervalReport>& reports, base::TimePoint now) {
  for (const auto& [machine, report] : reports) {
    const auto engines = m_byMachine.find(machine);
    if (engines == m_byMachine.end() || !m_eventIntervals.note(machine, report, now)) {
      continue;
    }
    for (EngineWork* engine : engines->second) {
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

void EnginePlacement::refreshEventInterval(EngineWork& engine, base::TimePoint now) {
  engine.eventIntervalMs = m_eventIntervals.expectedMs(*engine.pace, now);
  const EngineEventInterval& pace = engine.pace->pace;
  engine.momentaryDelay = pace.momentaryDelay(now);
  // Apart from those of its pace: within a class engines are compared by the pace alone.
  constexpr double kNormalPercent = 100.0;
  engine.speedTier =
      speedTierOf(engine.eventIntervalMs * pace.slowdownPercent(now) / kNormalPercent);
}

std::size_t EnginePlacement::speedTierOf(double eventIntervalMs) const {
  if (eventIntervalMs <= 0 || m_eventIntervals.typicalMs() <= 0) {
    return kTypicalTier;
  }
  constexpr auto kMiddle = static_cast<double>(kTypicalTier);
  const double steps =
      std::round(std::log(eventIntervalMs / m_eventIntervals.typicalMs()) / std::log(kClassRatio));
  return static_cast<std::size_t>(kMiddle + std::clamp(steps, -kMiddle, kMiddle));
}

void EnginePlacement::setLoads(const std::map<std::string, std::uint32_t>& loads,
                               base::TimePoint now) {
  for (EngineWork* engine : std::exchange(m_loaded, {})) {
    engine->load = 0;
  }
  for (const auto& [id, items] : loads) {
    if (EngineWork* engine = find(id)) {
      addLoad(*engine, items);
    }
  }
  refreshEventIntervals(now);
  forgetSearches();
}

void EnginePlacement::addLoad(EngineWork& engine, std::uint32_t items) {
  engine.load += items;
  m_loaded.insert(&engine);
}

std::string EnginePlacement::zoneOf(const std::string& engine) const {
  const auto found = m_engines.find(engine);
  return found == m_engines.end() ? std::string() : found->second.told.zone;
}

double EnginePlacement::eventIntervalOf(const std::string& engine) const {
  const auto found = m_engines.find(engine);
  return found == m_engines.end() ? 0 : found->second.eventIntervalMs;
}

std::map<std::string, std::uint32_t> EnginePlacement::slotsByZone() const {
  std::map<std::string, std::uint32_t> slots;
  for (const auto& [id, engine] : m_inUse) {
    slots[engine->told.zone] += engine->told.slots;
  }
  return slots;
}

void EnginePlacement::takeBack(const std::string& id) {
  EngineWork* engine = find(id);
  if (engine != nullptr && engine->load > 0) {
    --engine->load;
    forgetSearches();
  }
}

std::uint32_t EnginePlacement::readySlots(const std::string& model,
                                          std::uint64_t minimumVersion) const {
  std::uint32_t slots = 0;
  for (const auto& [id, engine] : m_engines) {
    if (engine.told.acceptsItems && engine.told.holds(model, minimumVersion)) {
      slots += engine.told.slots;
    }
  }
  return slots;
}

std::vector<EngineSummary> EnginePlacement::summaries(base::TimePoint now) const {
  std::vector<EngineSummary> summaries;
  summaries.reserve(m_engines.size());
  for (const auto& [id, engine] : m_engines) {
    const EngineEventInterval& pace = engine.pace->pace;
    summaries.push_back({id, engine.told.zone, m_eventIntervals.expectedMs(*engine.pace, now),
                         pace.slowdownPercent(now), pace.age(now), engine.load});
  }
  return summaries;
}

SpeedTiers EnginePlacement::candidatesFor(const std::string& model, std::uint64_t minimumVersion) {
  SpeedTiers candidates;
  const auto engines = m_inUseByModel.find(model);
  if (engines == m_inUseByModel.end()) {
    return candidates;
  }
  for (const auto& [id, engine] : engines->second) {
    if (engine->told.holds(model, minimumVersion)) {
      candidates.add(*engine);
    }
  }
  return candidates;
}

SpeedTiers& EnginePlacement::candidatesOf(const std::string& model, std::uint64_t minimumVersion) {
  const auto key = std::pair(model, minimumVersion);
  auto found = m_candidates.find(key);
  if (found == m_candidates.end()) {
    found = m_candidates.emplace(key, candidatesFor(model, minimumVersion)).first;
  }
  return found->second;
}

std::string EnginePlacement::placeInUse(const ItemRequirements& need) {
  SpeedTiers& candidates = candidatesOf(need.model, need.minimumVersion);
  EngineWork* engine = candidates.choose(need);
  if (engine == nullptr) {
    return {};
  }
  addLoad(*engine, 1);
  candidates.onPlaced();
  return engine->told.id;
}

std::string EnginePlacement::place(const ItemRequirements& need) {
  std::string engine = placeInUse(need);
  return engine.empty() ? placeOnStandby(need.model, need.minimumVersion) : engine;
}

std::string EnginePlacement::placeOnStandby(const std::string& model,
                                            std::uint64_t minimumVersion) {
  const auto newest = m_newestStandbyVersion.find(model);
  if (newest == m_newestStandbyVersion.end() || newest->second < minimumVersion) {
    return {};
  }
  // Engines only fill until the loads are told anew, so none is looked at twice.
  const auto from = m_standbyCursor.try_emplace({model, minimumVersion}, m_engines.begin()).first;
  for (; from->second != m_engines.end(); ++from->second) {
    EngineWork& engine = from->second->second;
    if (engine.told.standby && engine.told.acceptsItems && !engine.isFull() &&
        engine.told.holds(model, minimumVersion)) {
      addLoad(engine, 1);
      return engine.told.id;
    }
  }
  return {};
}

}  // namespace tackpick::jobs
