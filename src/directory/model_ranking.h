/// \file
/// Which engines of one model should load, and how urgently.
#pragma once

#include <cstdint>
#include <vector>

#include "directory/load_policy.h"

namespace tackpick::directory {

/// What a load answers; lower ones go first.
enum class LoadUrgency : std::uint8_t { kOpenStep, kExpectedStep, kNone };

/// A load and what it is compared by with those of other models.
struct RankedLoad {
  LoadUrgency urgency = LoadUrgency::kNone;
  base::Duration key{0};  ///< of one urgency the lowest goes first
  double covered = 0;     ///< share of the step's slots that are there without this load
  PlannedLoad load;
};

/// Ranks the engines of one model whose steps are known. Made anew for each plan.
class ModelRanking {
 public:
  using Candidates = std::vector<const LoadCandidate*>;

  ModelRanking(const ModelLoadState& model, base::Duration settlingTime, base::Duration loadTime,
               base::TimePoint now);

  /// `candidates`: those with the oldest weights first. Appends those that may load now.
  void rank(Candidates candidates, std::vector<RankedLoad>& ranked);

 private:
  /// Ranks engines for one step until it has slots for its items; takes them off `candidates`.
  void rankForStep(const StepNeed& step, Candidates& candidates, std::vector<RankedLoad>& ranked);
  /// Ranks what no known step needs.
  void rankRest(const Candidates& candidates, std::vector<RankedLoad>& ranked);
  /// True when engines that load for `step` must begin to now.
  [[nodiscard]] bool isPressing(const StepNeed& step) const;
  /// True when items of `step` will begin within a moment.
  [[nodiscard]] bool isBeginning(const StepNeed& step) const;
  /// True when the newest version is not old enough to be loaded in any case.
  [[nodiscard]] bool mayDefer(const LoadCandidate& candidate) const;
  /// True when the engine is left to a step that is beginning.
  [[nodiscard]] bool reserve(const LoadCandidate& candidate);
  [[nodiscard]] bool servesOpenStep(const LoadCandidate& candidate) const;

  const ModelLoadState& m_model;
  const base::Duration m_settlingTime;
  const base::Duration m_loadTime;
  const base::TimePoint m_now;
  std::uint32_t m_promised = 0;  ///< slots of engines that are ranked: they will hold the newest
  /// Slots that steps which are beginning need not have, when the next one presses.
  std::uint32_t m_spare = 0;
};

}  // namespace tackpick::directory
