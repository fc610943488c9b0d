#include "jobs/engine_placement.h"

#include <algorithm>
#include <utility>

#include "jobs/engine_cost.h"

namespace tackpick::jobs {
namespace {

constexpr double kPaceWeight = 0.3;
/// One item may wait for so many places.
constexpr std::uint32_t kPlacesPerWaiting = 8;

bool holds(const PlacementEngine& engine, const std::string& model, std::uint64_t minimumVersion) {
  const auto version = engine.versions.find(model);
  return version != engine.versions.end() && version->second >= minimumVersion;
}

}  // namespace

void EnginePlacement::setEngines(std::vector<PlacementEngine> engines) {
  std::set<std::string> present;
  for (PlacementEngine& told : engines) {
    present.insert(told.id);
    takeIn(std::move(told));
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
    takeIn(std::move(told));
  }
}

void EnginePlacement::takeIn(PlacementEngine told) {
  const auto [known, added] = m_engines.try_emplace(told.id);
  Engine& engine = known->second;
  m_taking -= !added && engine.told.takesItems ? 1 : 0;
  m_taking += told.takesItems ? 1 : 0;
  engine.told = std::move(told);
  if (engine.told.takesItems && !engine.told.reserve) {
    m_inUse.emplace(known->first, &engine);
  } else {
    m_inUse.erase(known->first);
  }
  if (engine.told.reserve) {
    for (const auto& [model, version] : engine.told.versions) {
      std::uint64_t& newest = m_newestInReserve[model];
      newest = std::max(newest, version);
    }
  }
  forgetSearches();
}

void EnginePlacement::forgetSearches() {
  m_heaps.clear();
  m_reserveFrom.clear();
}

void EnginePlacement::remove(const std::string& id) {
  const auto known = m_engines.find(id);
  if (known == m_engines.end()) {
    return;
  }
  m_taking -= known->second.told.takesItems ? 1 : 0;
  m_loaded.erase(&known->second);
  m_inUse.erase(known->first);
  forgetSearches();
  m_engines.erase(known);
}

EnginePlacement::Engine* EnginePlacement::find(std::string_view id) {
  const auto found = m_engines.find(id);
  return found == m_engines.end() ? nullptr : &found->second;
}

void EnginePlacement::notePace(const std::string& id, double paceMs) {
  Engine* engine = find(id);
  if (paceMs <= 0 || engine == nullptr) {
    return;
  }
  engine->paceMs =
      engine->paceMs > 0 ? engine->paceMs + kPaceWeight * (paceMs - engine->paceMs) : paceMs;
}

void EnginePlacement::setLoads(const std::map<std::string, std::uint32_t>& loads) {
  for (Engine* engine : std::exchange(m_loaded, {})) {
    engine->load = 0;
  }
  for (const auto& [id, items] : loads) {
    if (Engine* engine = find(id)) {
      addLoad(*engine, items);
    }
  }
  forgetSearches();
}

void EnginePlacement::addLoad(Engine& engine, std::uint32_t items) {
  engine.load += items;
  m_loaded.insert(&engine);
}

double EnginePlacement::cost(const Engine& engine) {
  return engineCost(engine.paceMs, (engine.load + 1.0) / engine.told.slots);
}

bool EnginePlacement::isFull(const Engine& engine) {
  return engine.load >= engine.told.slots + engine.told.slots / kPlacesPerWaiting;
}

std::string EnginePlacement::zoneOf(const std::string& engine) const {
  const auto found = m_engines.find(engine);
  return found == m_engines.end() ? std::string() : found->second.told.zone;
}

std::map<std::string, std::uint32_t> EnginePlacement::placesByZone() const {
  std::map<std::string, std::uint32_t> places;
  for (const auto& [id, engine] : m_inUse) {
    places[engine->told.zone] += engine->told.slots;
  }
  return places;
}

void EnginePlacement::takeBack(const std::string& id) {
  Engine* engine = find(id);
  if (engine != nullptr && engine->load > 0) {
    --engine->load;
    forgetSearches();
  }
}

EnginePlacement::Heap EnginePlacement::candidatesFor(const std::string& model,
                                                     std::uint64_t minimumVersion) const {
  Heap heap;
  std::size_t index = 0;
  for (const auto& [id, engine] : m_inUse) {
    ++index;
    if (holds(engine->told, model, minimumVersion)) {
      heap.push_back({cost(*engine), index, engine});
    }
  }
  std::make_heap(heap.begin(), heap.end());
  return heap;
}

std::string EnginePlacement::place(const ItemNeed& need) {
  std::string engine = placeInUse(need.model, need.minimumVersion);
  return engine.empty() ? placeInReserve(need.model, need.minimumVersion) : engine;
}

std::string EnginePlacement::placeInReserve(const std::string& model,
                                            std::uint64_t minimumVersion) {
  const auto newest = m_newestInReserve.find(model);
  if (newest == m_newestInReserve.end() || newest->second < minimumVersion) {
    return {};
  }
  // Engines only fill until the loads are told anew, so none is looked at twice.
  const auto from = m_reserveFrom.try_emplace({model, minimumVersion}, m_engines.begin()).first;
  for (; from->second != m_engines.end(); ++from->second) {
    Engine& engine = from->second->second;
    if (engine.told.reserve && engine.told.takesItems && !isFull(engine) &&
        holds(engine.told, model, minimumVersion)) {
      addLoad(engine, 1);
      return engine.told.id;
    }
  }
  return {};
}

std::string EnginePlacement::placeInUse(const std::string& model, std::uint64_t minimumVersion) {
  const auto key = std::pair(model, minimumVersion);
  auto found = m_heaps.find(key);
  if (found == m_heaps.end()) {
    found = m_heaps.emplace(key, candidatesFor(model, minimumVersion)).first;
  }
  Heap& heap = found->second;
  while (!heap.empty()) {
    std::pop_heap(heap.begin(), heap.end());
    const Candidate cheapest = heap.back();
    heap.pop_back();
    Engine& engine = *cheapest.engine;
    if (isFull(engine)) {
      continue;
    }
    // Its cost may have risen since: items of another model were placed there.
    const double costNow = cost(engine);
    const bool chosen = costNow <= cheapest.cost;
    if (chosen) {
      addLoad(engine, 1);
    }
    heap.push_back({chosen ? cost(engine) : costNow, cheapest.index, &engine});
    std::push_heap(heap.begin(), heap.end());
    if (chosen) {
      return engine.told.id;
    }
  }
  return {};
}

}  // namespace tackpick::jobs
