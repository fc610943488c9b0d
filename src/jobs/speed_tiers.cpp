#include "jobs/speed_tiers.h"

#include <algorithm>

namespace tackpick::jobs {
namespace {

/// Safety factor on the expected length of a text.
constexpr double kLengthMargin = 4.0;
/// Utilization from which slots of faster tiers are scarce. Below it, items may use faster tiers
/// than they need, which makes them robust against estimation errors.
constexpr double kScarceUtilization = 0.85;
/// Overhead of an item in addition to the generation of its events: delivery of the lease,
/// processing of the prompt, commit of the result.
constexpr base::Duration kDispatchOverhead = base::milliseconds(500);

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

void SpeedTiers::SpeedTier::refreshFront() {
  while (!heap.empty()) {
    const EngineState& engine = *front().engine;
    if (!engine.isFull() && engine.cost() <= front().cost) {
      return;
    }
    // The cost may have increased because items of another model were placed on the engine.
    Candidate candidate = pop();
    if (!engine.isFull()) {
      candidate.cost = engine.cost();
      push(candidate);
    }
  }
}

void SpeedTiers::add(EngineState& engine) {
  SpeedTier& engineTier = m_tiers.at(engine.speedTier);
  engineTier.push({engine.cost(), m_nextIndex, &engine});
  engineTier.slots += engine.info.slots;
  engineTier.slotsInUse += engine.usedSlots();
  ++m_nextIndex;
}

EngineState* SpeedTiers::choose(const ItemRequirements& requirements) {
  for (SpeedTier& tier : m_tiers) {
    tier.refreshFront();
  }
  m_chosen = slowestMeetingDeadline(requirements);
  m_chosen = m_chosen != nullptr ? m_chosen : fastestFinish(requirements);
  if (m_chosen == nullptr) {
    return nullptr;
  }
  EngineState* engine = m_chosen->front().engine;
  m_usedBefore = engine->usedSlots();
  return engine;
}

void SpeedTiers::onPlaced() {
  Candidate candidate = m_chosen->pop();
  candidate.cost = candidate.engine->cost();
  m_chosen->slotsInUse += candidate.engine->usedSlots() - m_usedBefore;
  m_chosen->push(candidate);
}

bool SpeedTiers::meetsDeadline(const EngineState& engine, const ItemRequirements& requirements) {
  if (engine.load >= engine.info.slots) {
    return false;
  }
  const double delayMs = base::toMilliseconds(kDispatchOverhead + engine.transientDelay);
  const double runMs = kLengthMargin * requirements.remainingEvents * engine.cost();
  return delayMs + runMs <= base::toMilliseconds(requirements.timeUntilDue);
}

SpeedTiers::SpeedTier* SpeedTiers::slowestMeetingDeadline(const ItemRequirements& requirements) {
  if (!requirements.isKnown()) {
    return nullptr;
  }
  SpeedTier* slowest = nullptr;
  std::uint32_t fasterSlots = 0;
  std::uint32_t slotsInUse = 0;
  for (SpeedTier& tier : m_tiers) {
    if (slotsInUse < kScarceUtilization * fasterSlots) {
      return slowest;
    }
    const bool inTime = !tier.heap.empty() && meetsDeadline(*tier.front().engine, requirements);
    slowest = inTime ? &tier : slowest;
    fasterSlots += tier.slots;
    slotsInUse += tier.slotsInUse;
  }
  return slowest;
}

std::pair<double, std::size_t> SpeedTiers::finishKey(const SpeedTier& tier,
                                                     const ItemRequirements& requirements) {
  const Candidate& front = tier.front();
  const double delayMs = base::toMilliseconds(front.engine->transientDelay);
  const double runMs =
      requirements.isKnown() ? requirements.remainingEvents * front.cost + delayMs : front.cost;
  return {runMs, front.index};
}

SpeedTiers::SpeedTier* SpeedTiers::fastestFinish(const ItemRequirements& requirements) {
  SpeedTier* best = nullptr;
  for (SpeedTier& tier : m_tiers) {
    const bool better =
        !tier.heap.empty() &&
        (best == nullptr || finishKey(tier, requirements) < finishKey(*best, requirements));
    best = better ? &tier : best;
  }
  return best;
}

}  // namespace tackpick::jobs
