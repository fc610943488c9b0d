#include "directory/oldest_first_load_policy.h"

#include <algorithm>
#include <tuple>

namespace tackpick::directory {

std::vector<PlannedLoad> OldestFirstLoadPolicy::plan(const std::vector<LoadCandidate>& candidates,
                                                     const ModelLoadStates& models,
                                                     base::Duration /*loadTime*/,
                                                     base::TimePoint now) const {
  struct Ranked {
    base::TimePoint publishedAt{};
    const LoadCandidate* candidate = nullptr;
  };
  std::vector<Ranked> ranked;
  for (const LoadCandidate& candidate : candidates) {
    const ModelLoadState& model = models.at(*candidate.model);
    if (isDue(candidate, model, now)) {
      ranked.push_back({model.publishedAt, &candidate});
    }
  }
  std::stable_sort(ranked.begin(), ranked.end(), [](const Ranked& left, const Ranked& right) {
    return std::tuple(left.publishedAt, left.candidate->held) <
           std::tuple(right.publishedAt, right.candidate->held);
  });
  std::vector<PlannedLoad> loads;
  loads.reserve(ranked.size());
  for (const Ranked& entry : ranked) {
    loads.push_back({entry.candidate, false});
  }
  return loads;
}

}  // namespace tackpick::directory
