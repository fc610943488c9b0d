#include "directory/model_ranking.h"

#include <algorithm>
#include <utility>

namespace tackpick::directory {
namespace {

/// Rounds the time down to a multiple of the load time: steps within one load time are equally
/// urgent.
base::Duration roundToLoadTime(base::Duration time, base::Duration loadTime) {
  const base::Duration unit = std::max(loadTime, base::Duration{1});
  return time / unit * unit;
}

/// Bounds on deferral, so that continuous work does not keep an engine from loading: it loads when
/// it is this many versions behind or the newest version has been published for this long. Steps
/// that are in time need no older versions.
constexpr std::uint64_t kMaxStaleness = 3;
constexpr base::Duration kMaxDeferral = base::seconds(10);

}  // namespace

ModelRanking::ModelRanking(const ModelLoadState& model, base::Duration gracePeriod,
                           base::Duration loadTime, base::TimePoint now)
    : m_model(model), m_gracePeriod(gracePeriod), m_loadTime(loadTime), m_now(now) {
  std::uint32_t servableItems = 0;  // waiting items that can start without loads
  std::uint64_t oldest = 0;
  for (const StepDemand& step : model.stepDemands) {
    if (step.open && slotsFrom(model.readySlots, step.version) > 0) {
      servableItems += step.waiting;
      oldest = oldest == 0 ? step.version : std::min(oldest, step.version);
    }
  }
  const bool hasUrgentStep =
      std::any_of(model.stepDemands.begin(), model.stepDemands.end(),
                  [&](const StepDemand& step) { return step.version > oldest && isDueSoon(step); });
  const std::uint32_t ready = slotsFrom(model.readySlots, oldest);
  m_spareSlots = hasUrgentStep && servableItems > 0 ? ready - std::min(ready, servableItems) : 0;
}

bool ModelRanking::isDueSoon(const StepDemand& step) const {
  // Engines load in two rounds, half of them in each.
  constexpr int kLoadRounds = 2;
  return step.version <= m_model.published &&
         (step.open || step.expectedAt - m_now <= m_gracePeriod + m_loadTime * kLoadRounds);
}

void ModelRanking::rank(Candidates candidates, std::vector<RankedLoad>& ranked) {
  for (const StepDemand& step : m_model.stepDemands) {
    rankForStep(step, candidates, ranked);
  }
  rankUnneeded(candidates, ranked);
}

void ModelRanking::rankForStep(const StepDemand& step, Candidates& candidates,
                               std::vector<RankedLoad>& ranked) {
  if (step.version > m_model.published) {
    return;  // the version is not published yet
  }
  std::uint32_t availableSlots = slotsFrom(m_model.readySlots, step.version) +
                                 slotsFrom(m_model.loadingSlots, step.version) + m_plannedSlots;
  const base::Duration timeLeft = step.open ? step.slack : step.expectedAt - m_now;
  Candidates remaining;
  for (const LoadCandidate* candidate : candidates) {
    if (candidate->held >= step.version || availableSlots >= step.slots) {
      remaining.push_back(candidate);
      continue;
    }
    const double coverage = static_cast<double>(availableSlots) / step.slots;
    availableSlots += candidate->slots;
    m_plannedSlots += candidate->slots;
    if (!reserveForStep(*candidate)) {
      ranked.push_back({step.open ? LoadPriority::kOpenStep : LoadPriority::kExpectedStep,
                        roundToLoadTime(timeLeft, m_loadTime), coverage,
                        PlannedLoad{candidate, !servesOpenStep(*candidate)}});
    }
  }
  candidates = std::move(remaining);
}

void ModelRanking::rankUnneeded(const Candidates& candidates, std::vector<RankedLoad>& ranked) {
  // If all known steps require a newer version than the published one, loads are deferred longer.
  const bool serves =
      std::any_of(m_model.stepDemands.begin(), m_model.stepDemands.end(),
                  [&](const StepDemand& step) { return step.version <= m_model.published; });
  if (m_now - m_model.publishedAt < (serves ? m_gracePeriod : kMaxDeferral)) {
    return;
  }
  for (const LoadCandidate* candidate : candidates) {
    const bool isDeferred = servesOpenStep(*candidate) && canDefer(*candidate);
    if (!isDeferred && !reserveForStep(*candidate)) {
      ranked.push_back({LoadPriority::kBackground, m_model.publishedAt - m_now, 0,
                        PlannedLoad{candidate, false}});
    }
  }
}

bool ModelRanking::isStarting(const StepDemand& step) const {
  if (step.open) {
    return m_now - step.expectedAt < m_gracePeriod;
  }
  // A late step starts as soon as its version is published.
  const base::TimePoint latestSignal = std::max(step.expectedAt, m_model.publishedAt);
  return step.expectedAt - m_now <= m_loadTime && m_now - latestSignal < m_gracePeriod;
}

bool ModelRanking::canDefer(const LoadCandidate& candidate) const {
  return candidate.held + kMaxStaleness > m_model.published &&
         m_now - m_model.publishedAt < kMaxDeferral;
}

bool ModelRanking::reserveForStep(const LoadCandidate& candidate) {
  if (!canDefer(candidate)) {
    return false;
  }
  bool serves = false;
  for (const StepDemand& step : m_model.stepDemands) {
    if (candidate.held >= step.version && isStarting(step)) {
      if (!step.open) {
        return true;
      }
      serves = true;
    }
  }
  if (serves && m_spareSlots >= candidate.slots) {
    m_spareSlots -= candidate.slots;
    return false;
  }
  return serves;
}

bool ModelRanking::servesOpenStep(const LoadCandidate& candidate) const {
  return std::any_of(
      m_model.stepDemands.begin(), m_model.stepDemands.end(),
      [&](const StepDemand& step) { return step.open && candidate.held >= step.version; });
}

}  // namespace tackpick::directory
