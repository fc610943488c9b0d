/// \file
/// Engines load in the order in which versions were published.
#pragma once

#include "directory/load_policy.h"

namespace tackpick::directory {

/// The policy that knows nothing of steps: first the model whose version was published first, of
/// one model first the engines with the oldest weights. An engine that holds the version before
/// waits for `settlingTime`: work that comes with a version may still begin there.
class OldestFirst final : public LoadPolicy {
 public:
  explicit OldestFirst(base::Duration settlingTime) : m_settlingTime(settlingTime) {}

  [[nodiscard]] std::vector<PlannedLoad> plan(const std::vector<LoadCandidate>& candidates,
                                              const ModelLoadStates& models,
                                              base::Duration loadTime,
                                              base::TimePoint now) const override;
  [[nodiscard]] bool isDue(const LoadCandidate& candidate, const ModelLoadState& model,
                           base::TimePoint now) const {
    return candidate.held + 1 < model.published || now - model.publishedAt >= m_settlingTime;
  }

 private:
  const base::Duration m_settlingTime;
};

}  // namespace tackpick::directory
