/// \file
/// Engines load for the steps that are open and for those that are expected.
#pragma once

#include <vector>

#include "directory/load_policy.h"
#include "directory/oldest_first.h"

namespace tackpick::directory {

/// Loads first for open steps that have fewer slots than items, by slack; then for expected steps
/// by the time they can come; then the rest. Steps that are due within one load time of each other
/// are equals: the one with the smallest share of its slots goes first, so that what cannot be
/// loaded in time is missing a little everywhere. Engines that serve a step which is about to begin
/// are left to it for `settlingTime`. Models whose steps are unknown are planned as by OldestFirst.
class WeightsPlan final : public LoadPolicy {
 public:
  explicit WeightsPlan(base::Duration settlingTime)
      : m_settlingTime(settlingTime), m_oldestFirst(settlingTime) {}

  [[nodiscard]] std::vector<PlannedLoad> plan(const std::vector<LoadCandidate>& candidates,
                                              const ModelLoadStates& models,
                                              base::Duration loadTime,
                                              base::TimePoint now) const override;

 private:
  const base::Duration m_settlingTime;
  const OldestFirst m_oldestFirst;
};

}  // namespace tackpick::directory
