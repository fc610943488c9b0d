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
  std::vector<Engine> next;
  std::map<std::string, std::size_t, std::less<>> indices;
  next.reserve(engines.size());
  for (PlacementEngine& told : engines) {
    Engine engine;
    if (const Engine* known = find(told.id)) {
      engine.load = known->load;
      engine.paceMs = known->paceMs;
    }
    indices.emplace(told.id, next.size());
    engine.told = std::move(told);
    next.push_back(std::move(engine));
  }
  m_engines = std::move(next);
  m_indices = std::move(indices);
  m_heaps.clear();
}

EnginePlacement::Engine* EnginePlacement::find(std::string_view id) {
  const auto found = m_indices.find(id);
  return found == m_indices.end() ? nullptr : &m_engines[found->second];
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
  for (Engine& engine : m_engines) {
    const auto found = loads.find(engine.told.id);
    engine.load = found == loads.end() ? 0 : found->second;
  }
  m_heaps.clear();
}

double EnginePlacement::cost(const Engine& engine) const {
  return engineCost(engine.paceMs, (engine.load + 1.0) / engine.told.slots);
}

bool EnginePlacement::isFull(const Engine& engine) {
  return engine.load >= engine.told.slots + engine.told.slots / kPlacesPerWaiting;
}

std::string EnginePlacement::zoneOf(const std::string& engine) const {
  const auto found = m_indices.find(engine);
  return found == m_indices.end() ? std::string() : m_engines[found->second].told.zone;
}

std::map<std::string, std::uint32_t> EnginePlacement::placesByZone() const {
  std::map<std::string, std::uint32_t> places;
  for (const Engine& engine : m_engines) {
    places[engine.told.zone] += engine.told.slots;
  }
  return places;
}

void EnginePlacement::takeBack(const std::string& id) {
  Engine* engine = find(id);
  if (engine != nullptr && engine->load > 0) {
    --engine->load;
    m_heaps.clear();
  }
}

EnginePlacement::Heap EnginePlacement::candidatesFor(const std::string& model,
                                                     std::uint64_t minimumVersion) const {
  Heap heap;
  for (std::size_t i = 0; i < m_engines.size(); ++i) {
    const auto& versions = m_engines[i].told.versions;
    const auto version = versions.find(model);
    if (version != versions.end() && version->second >= minimumVersion) {
      heap.push_back({cost(m_engines[i]), i});
    }
  }
  std::make_heap(heap.begin(), heap.end());
  return heap;
}

std::string EnginePlacement::place(const std::string& model, std::uint64_t minimumVersion) {
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
    Engine& engine = m_engines[cheapest.engine];
    if (isFull(engine)) {
      continue;
    }
    // Its cost may have risen since: items of another model were placed there.
    const double costNow = cost(engine);
    const bool chosen = costNow <= cheapest.cost;
    if (chosen) {
      ++engine.load;
    }
    heap.push_back({chosen ? cost(engine) : costNow, cheapest.engine});
    std::push_heap(heap.begin(), heap.end());
    if (chosen) {
      return engine.told.id;
    }
  }
  return {};
}

}  // namespace tackpick::jobs
