#include "directory/model_ranking.h"

#include <algorithm>
#include <utility>

namespace tackpick::directory {
namespace {

/// The time in whole loads: steps that are nearer to each other are equally urgent.
base::Duration wholeLoads(base::Duration time, base::Duration loadTime) {
  const base::Duration unit = std::max(loadTime, base::Duration{1});
  return time / unit * unit;
}

/// Work that comes without a pause must not keep an engine from new weights: it loads once it is so
/// many versions behind, or the newest is there for so long. Steps in time need no older ones.
constexpr std::uint64_t kMaxStaleness = 3;
constexpr base::Duration kMaxDeferral = base::seconds(10);

}  // namespace

ModelRanking::ModelRanking(const ModelLoadState& model, base::Duration settlingTime,
                           base::Duration loadTime, base::TimePoint now)
    : m_model(model), m_settlingTime(settlingTime), m_loadTime(loadTime), m_now(now) {
  std::uint32_t served = 0;  // items that wait and may begin as engines are
  std::uint64_t oldest = 0;
  for (const StepNeed& step : model.needs) {
    if (step.open && slotsFrom(model.readySlots, step.version) > 0) {
      served += step.waiting;
      oldest = oldest == 0 ? step.version : std::min(oldest, step.version);
    }
  }
  const bool presses =
      std::any_of(model.needs.begin(), model.needs.end(),
                  [&](const StepNeed& step) { return step.version > oldest && isPressing(step); });
  const std::uint32_t ready = slotsFrom(model.readySlots, oldest);
  m_spare = presses && served > 0 ? ready - std::min(ready, served) : 0;
}

bool ModelRanking::isPressing(const StepNeed& step) const {
  // Two rounds of loads are what half of the engines, and then the others, take.
  constexpr int kRounds = 2;
  return step.version <= m_model.published &&
         (step.open || step.expectedAt - m_now <= m_settlingTime + m_loadTime * kRounds);
}

void ModelRanking::rank(Candidates candidates, std::vector<RankedLoad>& ranked) {
  for (const StepNeed& step : m_model.needs) {
    rankForStep(step, candidates, ranked);
  }
  rankRest(candidates, ranked);
}

void ModelRanking::rankForStep(const StepNeed& step, Candidates& candidates,
                               std::vector<RankedLoad>& ranked) {
  if (step.version > m_model.published) {
    return;  // no load helps before that version is there
  }
  std::uint32_t availableSlots = slotsFrom(m_model.readySlots, step.version) +
                                 slotsFrom(m_model.loadingSlots, step.version) + m_promised;
  const base::Duration left = step.open ? step.slack : step.expectedAt - m_now;
  Candidates others;
  for (const LoadCandidate* candidate : candidates) {
    if (candidate->held >= step.version || availableSlots >= step.slots) {
      others.push_back(candidate);
      continue;
    }
    const double covered = static_cast<double>(availableSlots) / step.slots;
    availableSlots += candidate->slots;
    m_promised += candidate->slots;
    if (!reserve(*candidate)) {
      ranked.push_back({step.open ? LoadUrgency::kOpenStep : LoadUrgency::kExpectedStep,
                        wholeLoads(left, m_loadTime), covered,
                        PlannedLoad{candidate, !servesOpenStep(*candidate)}});
    }
  }
  candidates = std::move(others);
}

void ModelRanking::rankRest(const Candidates& candidates, std::vector<RankedLoad>& ranked) {
  // The newest version may be older than all that is open or expected: it would serve nothing.
  const bool serves =
      std::any_of(m_model.needs.begin(), m_model.needs.end(),
                  [&](const StepNeed& step) { return step.version <= m_model.published; });
  if (m_now - m_model.publishedAt < (serves ? m_settlingTime : kMaxDeferral)) {
    return;
  }
  for (const LoadCandidate* candidate : candidates) {
    const bool isDeferred = servesOpenStep(*candidate) && mayDefer(*candidate);
    if (!isDeferred && !reserve(*candidate)) {
      ranked.push_back(
          {LoadUrgency::kNone, m_model.publishedAt - m_now, 0, PlannedLoad{candidate, false}});
    }
  }
}

bool ModelRanking::isBeginning(const StepNeed& step) const {
  if (step.open) {
    return m_now - step.expectedAt < m_settlingTime;
  }
  // A step that is late comes as soon as its version is published.
  const base::TimePoint lastSign = std::max(step.expectedAt, m_model.publishedAt);
  return step.expectedAt - m_now <= m_loadTime && m_now - lastSign < m_settlingTime;
}

bool ModelRanking::mayDefer(const LoadCandidate& candidate) const {
  return candidate.held + kMaxStaleness > m_model.published &&
         m_now - m_model.publishedAt < kMaxDeferral;
}

bool ModelRanking::reserve(const LoadCandidate& candidate) {
  if (!mayDefer(candidate)) {
    return false;
  }
  bool serves = false;
  for (const StepNeed& step : m_model.needs) {
    if (candidate.held >= step.version && isBeginning(step)) {
      if (!step.open) {
        return true;
      }
      serves = true;
    }
  }
  if (serves && m_spare >= candidate.slots) {
    m_spare -= candidate.slots;
    return false;
  }
  return serves;
}

bool ModelRanking::servesOpenStep(const LoadCandidate& candidate) const {
  return std::any_of(m_model.needs.begin(), m_model.needs.end(), [&](const StepNeed& step) {
    return step.open && candidate.held >= step.version;
  });
}

}  // namespace tackpick::directory
