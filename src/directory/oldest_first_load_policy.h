/// \file
/// Load policy in order of publication.
#pragma once

#include "directory/load_policy.h"

namespace tackpick::directory {

/// Load policy that ignores steps: loads the model whose version was published first, and within a
/// model the engines with the oldest weights. An engine with the previous version waits for
/// `gracePeriod`, since work may still start on that version.
class OldestFirstLoadPolicy final : public LoadPolicy {
 public:
  explicit OldestFirstLoadPolicy(base::Duration gracePeriod) : m_gracePeriod(gracePeriod) {}

  [[nodiscard]] std::vector<PlannedLoad> plan(const std::vector<LoadCandidate>& candidates,
                                              const ModelLoadStates& models,
                                              base::Duration loadTime,
                                              base::TimePoint now) const override;
  [[nodiscard]] bool isDue(const LoadCandidate& candidate, const ModelLoadState& model,
                           base::TimePoint now) const {
    return candidate.held + 1 < model.published || now - model.publishedAt >= m_gracePeriod;
  }

 private:
  const base::Duration m_gracePeriod;
};

}  // namespace tackpick::directory
