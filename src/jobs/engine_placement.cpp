#include "jobs/engine_placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "jobs/engine_cost.h"

namespace tackpick::jobs {
namespace {

/// Between taking over the expected paces: they change over seconds, and there may be 10,000.
constexpr base::Duration kPaceInterval = base::milliseconds(100);
/// Between two classes. Paces of equal engines differ by the prompts that they read meanwhile; a
/// class holds what differs by no more, so that equal engines are filled evenly.
constexpr double kClassRatio = 1.6;
/// A text may be so much longer than expected: estimates err with a spread of 0.5 (log-normal), and
/// one text of some 400 is longer than this.
constexpr double kLengthMargin = 4.0;
/// Places are short when this part of them is taken. Until then an item on a fast engine is in
/// nobody's way, and there no error of its estimate makes it late.
constexpr double kShortShare = 0.85;
/// From the placement to the first event, and from the last one to the result: a lease on its way,
/// a prompt that is read, a commit.
constexpr base::Duration kOverhead = base::milliseconds(500);
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
  if (!added) {
    detach(engine);
  }
  m_taking -= !added && engine.told.takesItems ? 1 : 0;
  m_taking += told.takesItems ? 1 : 0;
  engine.told = std::move(told);
  attach(engine);
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

const std::string& EnginePlacement::machineOf(const PlacementEngine& told) {
  return told.machine.empty() ? told.id : told.machine;
}

void EnginePlacement::attach(Engine& engine) {
  const std::string& machine = machineOf(engine.told);
  engine.pace = &m_paces.attach(machine, engine.told.zone);
  m_byMachine[machine].insert(&engine);
  takePace(engine, m_pacesAt);
}

void EnginePlacement::detach(Engine& engine) {
  const std::string& machine = machineOf(engine.told);
  m_paces.detach(machine, m_pacesAt);
  const auto engines = m_byMachine.find(machine);
  engines->second.erase(&engine);
  if (engines->second.empty()) {
    m_byMachine.erase(engines);
  }
}

void EnginePlacement::forgetSearches() {
  m_candidates.clear();
  m_reserveFrom.clear();
}

void EnginePlacement::remove(const std::string& id) {
  const auto known = m_engines.find(id);
  if (known == m_engines.end()) {
    return;
  }
  m_taking -= known->second.told.takesItems ? 1 : 0;
  detach(known->second);
  m_loaded.erase(&known->second);
  m_inUse.erase(known->first);
  forgetSearches();
  m_engines.erase(known);
}

EnginePlacement::Engine* EnginePlacement::find(std::string_view id) {
  const auto found = m_engines.find(id);
  return found == m_engines.end() ? nullptr : &found->second;
}

void EnginePlacement::notePaces(const std::map<std::string, PaceReport>& reports,
                                base::TimePoint now) {
  for (const auto& [machine, report] : reports) {
    const auto engines = m_byMachine.find(machine);
    if (engines == m_byMachine.end() || !m_paces.note(machine, report, now)) {
      continue;
    }
    for (Engine* engine : engines->second) {
      takePace(*engine, now);
    }
  }
}

void EnginePlacement::takePaces(base::TimePoint now) {
  if (now - m_pacesAt < kPaceInterval) {
    return;
  }
  m_pacesAt = now;
  m_paces.refresh(now);
  for (auto& [id, engine] : m_engines) {
    takePace(engine, now);
  }
}

void EnginePlacement::takePace(Engine& engine, base::TimePoint now) {
  engine.paceMs = m_paces.expectedMs(*engine.pace, now);
  const EnginePace& pace = engine.pace->pace;
  engine.momentaryDelay = pace.momentaryDelay(now);
  // Apart from those of its pace: within a class engines are compared by the pace alone.
  constexpr double kUsualPercent = 100.0;
  engine.paceClass = paceClassOf(engine.paceMs * pace.workTimePercent(now) / kUsualPercent);
}

std::size_t EnginePlacement::paceClassOf(double paceMs) const {
  if (paceMs <= 0 || m_paces.typicalMs() <= 0) {
    return kTypicalClass;
  }
  constexpr auto kMiddle = static_cast<double>(kTypicalClass);
  const double steps = std::round(std::log(paceMs / m_paces.typicalMs()) / std::log(kClassRatio));
  return static_cast<std::size_t>(kMiddle + std::clamp(steps, -kMiddle, kMiddle));
}

void EnginePlacement::setLoads(const std::map<std::string, std::uint32_t>& loads,
                               base::TimePoint now) {
  for (Engine* engine : std::exchange(m_loaded, {})) {
    engine->load = 0;
  }
  for (const auto& [id, items] : loads) {
    if (Engine* engine = find(id)) {
      addLoad(*engine, items);
    }
  }
  takePaces(now);
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

double EnginePlacement::paceOf(const std::string& engine) const {
  const auto found = m_engines.find(engine);
  return found == m_engines.end() ? 0 : found->second.paceMs;
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

std::vector<EngineSight> EnginePlacement::sight(base::TimePoint now) const {
  std::vector<EngineSight> sights;
  sights.reserve(m_engines.size());
  for (const auto& [id, engine] : m_engines) {
    const EnginePace& pace = engine.pace->pace;
    sights.push_back({id, engine.told.zone, m_paces.expectedMs(*engine.pace, now),
                      pace.workTimePercent(now), pace.age(now), engine.load});
  }
  return sights;
}

EnginePlacement::PaceClassList EnginePlacement::candidatesFor(const std::string& model,
                                                              std::uint64_t minimumVersion) const {
  PaceClassList classes;
  std::size_t index = 0;
  for (const auto& [id, engine] : m_inUse) {
    ++index;
    if (holds(engine->told, model, minimumVersion)) {
      PaceClass& own = classes.at(engine->paceClass);
      own.heap.push_back({cost(*engine), index, engine});
      own.places += engine->told.slots;
      own.taken += takenPlaces(*engine);
    }
  }
  for (PaceClass& each : classes) {
    std::make_heap(each.heap.begin(), each.heap.end());
  }
  return classes;
}

EnginePlacement::PaceClassList& EnginePlacement::candidatesOf(const std::string& model,
                                                              std::uint64_t minimumVersion) {
  const auto key = std::pair(model, minimumVersion);
  auto found = m_candidates.find(key);
  if (found == m_candidates.end()) {
    found = m_candidates.emplace(key, candidatesFor(model, minimumVersion)).first;
  }
  return found->second;
}

std::uint32_t EnginePlacement::takenPlaces(const Engine& engine) {
  return std::min(engine.load, engine.told.slots);
}

void EnginePlacement::settle(Heap& heap) {
  while (!heap.empty()) {
    const Candidate front = heap.front();
    const double costNow = cost(*front.engine);
    if (!isFull(*front.engine) && costNow <= front.cost) {
      return;
    }
    std::pop_heap(heap.begin(), heap.end());
    heap.pop_back();
    // Its cost may have risen since: items of another model were placed there.
    if (!isFull(*front.engine)) {
      heap.push_back({costNow, front.index, front.engine});
      std::push_heap(heap.begin(), heap.end());
    }
  }
}

bool EnginePlacement::isSafe(const Engine& engine, const ItemNeed& need) {
  if (engine.load >= engine.told.slots) {
    return false;
  }
  const double delayMs = base::toMilliseconds(kOverhead + engine.momentaryDelay);
  const double runMs = kLengthMargin * need.restEvents * cost(engine);
  return delayMs + runMs <= base::toMilliseconds(need.untilDue);
}

EnginePlacement::PaceClass* EnginePlacement::slowestSafe(PaceClassList& classes,
                                                         const ItemNeed& need) {
  PaceClass* slowest = nullptr;
  std::uint32_t places = 0;  // at the faster classes
  std::uint32_t taken = 0;
  for (PaceClass& each : classes) {
    if (taken < kShortShare * places || !need.isKnown()) {
      return slowest;
    }
    const bool safe = !each.heap.empty() && isSafe(*each.heap.front().engine, need);
    slowest = safe ? &each : slowest;
    places += each.places;
    taken += each.taken;
  }
  return slowest;
}

EnginePlacement::PaceClass* EnginePlacement::soonest(PaceClassList& classes, const ItemNeed& need) {
  const auto endOf = [&](const PaceClass& of) {
    const Candidate& front = of.heap.front();
    const double runMs = need.isKnown() ? need.restEvents * front.cost +
                                              base::toMilliseconds(front.engine->momentaryDelay)
                                        : front.cost;
    return std::pair(runMs, front.index);
  };
  PaceClass* best = nullptr;
  for (PaceClass& each : classes) {
    const bool better = !each.heap.empty() && (best == nullptr || endOf(each) < endOf(*best));
    best = better ? &each : best;
  }
  return best;
}

std::string EnginePlacement::placeAtFront(PaceClass& chosen) {
  Heap& heap = chosen.heap;
  std::pop_heap(heap.begin(), heap.end());
  Candidate& candidate = heap.back();
  Engine& engine = *candidate.engine;
  chosen.taken -= takenPlaces(engine);
  addLoad(engine, 1);
  chosen.taken += takenPlaces(engine);
  candidate.cost = cost(engine);
  std::push_heap(heap.begin(), heap.end());
  return engine.told.id;
}

std::string EnginePlacement::placeInUse(const ItemNeed& need) {
  PaceClassList& classes = candidatesOf(need.model, need.minimumVersion);
  for (PaceClass& each : classes) {
    settle(each.heap);
  }
  PaceClass* chosen = slowestSafe(classes, need);
  chosen = chosen != nullptr ? chosen : soonest(classes, need);
  return chosen == nullptr ? std::string() : placeAtFront(*chosen);
}

std::string EnginePlacement::place(const ItemNeed& need) {
  std::string engine = placeInUse(need);
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

}  // namespace tackpick::jobs
