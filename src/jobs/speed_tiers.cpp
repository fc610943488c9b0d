#include "jobs/speed_tiers.h"

#include <algorithm>

namespace tackpick::jobs {
namespace {

/// A text may be so much longer than expected: estimates err with a spread of 0.5 (log-normal), and
/// one text of some 400 is longer than this.
constexpr double kLengthMargin = 4.0;
/// Slots are short when this part of them is taken. Until then an item on a fast engine is in
/// nobody's way, and there no error of its estimate makes it late.
constexpr double kShortShare = 0.85;
/// From the placement to the first event, and from the last one to the result: a lease on its way,
/// a prompt that is read, a commit.
constexpr base::Duration kOverhead = base::milliseconds(500);

}  // namespace

void SpeedTiers::SpeedTier::push(const Candidate& candidate) {
  heap.push_back(candidate);
  std::push_heap(heap.begin(), heap.end());
}

SpeedTiers::Candidate SpeedTiers::SpeedTier::pop() {
  std::pop_heap(heap.begin(), heap.end());
  const Candidate candidate = heap.back();
  heap.pop_back();
  return candidate;
}

void SpeedTiers::SpeedTier::settle() {
  while (!heap.empty()) {
    const EngineWork& engine = *front().engine;
    if (!engine.isFull() && engine.cost() <= front().cost) {
      return;
    }
    // Its cost may have risen since: items of another model were placed there.
    Candidate candidate = pop();
    if (!engine.isFull()) {
      candidate.cost = engine.cost();
      push(candidate);
    }
  }
}

void SpeedTiers::add(EngineWork& engine) {
  SpeedTier& own = m_classes.at(engine.speedTier);
  own.push({engine.cost(), m_added, &engine});
  own.slots += engine.told.slots;
  own.taken += engine.usedSlots();
  ++m_added;
}

EngineWork* SpeedTiers::choose(const ItemRequirements& need) {
  for (SpeedTier& each : m_classes) {
    each.settle();
  }
  m_chosen = slowestSafe(need);
  m_chosen = m_chosen != nullptr ? m_chosen : soonest(need);
  if (m_chosen == nullptr) {
    return nullptr;
  }
  EngineWork* engine = m_chosen->front().engine;
  m_takenBefore = engine->usedSlots();
  return engine;
}

void SpeedTiers::onPlaced() {
  Candidate candidate = m_chosen->pop();
  candidate.cost = candidate.engine->cost();
  m_chosen->taken += candidate.engine->usedSlots() - m_takenBefore;
  m_chosen->push(candidate);
}

bool SpeedTiers::isSafe(const EngineWork& engine, const ItemRequirements& need) {
  if (engine.load >= engine.told.slots) {
    return false;
  }
  const double delayMs = base::toMilliseconds(kOverhead + engine.momentaryDelay);
  const double runMs = kLengthMargin * need.remainingEvents * engine.cost();
  return delayMs + runMs <= base::toMilliseconds(need.timeUntilDue);
}

SpeedTiers::SpeedTier* SpeedTiers::slowestSafe(const ItemRequirements& need) {
  if (!need.isKnown()) {
    return nullptr;
  }
  SpeedTier* slowest = nullptr;
  std::uint32_t fasterSlots = 0;  // at the faster classes
  std::uint32_t taken = 0;
  for (SpeedTier& each : m_classes) {
    if (taken < kShortShare * fasterSlots) {
      return slowest;
    }
    const bool safe = !each.heap.empty() && isSafe(*each.front().engine, need);
    slowest = safe ? &each : slowest;
    fasterSlots += each.slots;
    taken += each.taken;
  }
  return slowest;
}

std::pair<double, std::size_t> SpeedTiers::endOf(const SpeedTier& of,
                                                 const ItemRequirements& need) {
  const Candidate& front = of.front();
  const double delayMs = base::toMilliseconds(front.engine->momentaryDelay);
  const double runMs = need.isKnown() ? need.remainingEvents * front.cost + delayMs : front.cost;
  return {runMs, front.index};
}

SpeedTiers::SpeedTier* SpeedTiers::soonest(const ItemRequirements& need) {
  SpeedTier* best = nullptr;
  for (SpeedTier& each : m_classes) {
    const bool better =
        !each.heap.empty() && (best == nullptr || endOf(each, need) < endOf(*best, need));
    best = better ? &each : best;
  }
  return best;
}

}  // namespace tackpick::jobs
