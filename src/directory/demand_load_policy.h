/// \file
/// Load policy by open and expected steps.
#pragma once

#include <vector>

#include "directory/load_policy.h"
#include "directory/oldest_first_load_policy.h"

namespace tackpick::directory {

/// Loads weights first for open steps with fewer slots than items, ordered by slack, then for
/// expected steps, ordered by expected time, and last for engines that no step needs. Among steps
/// due within one load time of each other, the one with the smallest share of its slots goes first,
/// so that a shortage is spread evenly. Engines that serve a step that is about to start are kept
/// for it for `gracePeriod`. Models with unknown steps are planned as by OldestFirstLoadPolicy.
class DemandLoadPolicy final : public LoadPolicy {
 public:
  explicit DemandLoadPolicy(base::Duration gracePeriod)
      : m_gracePeriod(gracePeriod), m_fallback(gracePeriod) {}

  [[nodiscard]] std::vector<PlannedLoad> plan(const std::vector<LoadCandidate>& candidates,
                                              const ModelLoadStates& models,
                                              base::Duration loadTime,
                                              base::TimePoint now) const override;

 private:
  const base::Duration m_gracePeriod;
  const OldestFirstLoadPolicy m_fallback;
};

}  // namespace tackpick::directory
