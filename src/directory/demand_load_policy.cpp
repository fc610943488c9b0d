#include "directory/demand_load_policy.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "directory/model_ranking.h"

namespace tackpick::directory {
namespace {

using Candidates = ModelRanking::Candidates;

/// Returns the candidates by model, those with the oldest weights first.
std::map<std::string, Candidates> byModel(const std::vector<LoadCandidate>& candidates) {
  std::map<std::string, Candidates> sorted;
  for (const LoadCandidate& candidate : candidates) {
    sorted[*candidate.model].push_back(&candidate);
  }
  for (auto& [model, engines] : sorted) {
    std::stable_sort(engines.begin(), engines.end(),
                     [](const LoadCandidate* left, const LoadCandidate* right) {
                       return left->held < right->held;
                     });
  }
  return sorted;
}

}  // namespace

std::vector<PlannedLoad> DemandLoadPolicy::plan(const std::vector<LoadCandidate>& candidates,
                                                const ModelLoadStates& models,
                                                base::Duration loadTime,
                                                base::TimePoint now) const {
  const bool hasKnownSteps = std::any_of(models.begin(), models.end(), [](const auto& model) {
    return !model.second.stepDemands.empty();
  });
  if (!hasKnownSteps) {
    return m_fallback.plan(candidates, models, loadTime, now);
  }
  std::vector<RankedLoad> ranked;
  ranked.reserve(candidates.size());
  for (auto& [name, engines] : byModel(candidates)) {
    const ModelLoadState& model = models.at(name);
    if (!model.stepDemands.empty()) {
      ModelRanking(model, m_gracePeriod, loadTime, now).rank(engines, ranked);
      continue;
    }
    for (const LoadCandidate* engine : engines) {
      if (m_fallback.isDue(*engine, model, now)) {
        ranked.push_back(
            {LoadPriority::kExpectedStep, model.publishedAt - now, 0, PlannedLoad{engine, false}});
      }
    }
  }
  std::stable_sort(
      ranked.begin(), ranked.end(), [](const RankedLoad& left, const RankedLoad& right) {
        return std::tuple(left.priority, left.sortKey, left.coverage, left.load.candidate->held) <
               std::tuple(right.priority, right.sortKey, right.coverage,
                          right.load.candidate->held);
      });
  std::vector<PlannedLoad> loads;
  loads.reserve(ranked.size());
  for (const RankedLoad& entry : ranked) {
    loads.push_back(entry.load);
  }
  return loads;
}

}  // namespace tackpick::directory
