/// \file
/// Ranks the engines of one model for loading.
#pragma once

#include <cstdint>
#include <vector>

#include "directory/load_policy.h"

namespace tackpick::directory {

/// Class of a planned load; lower values go first.
enum class LoadPriority : std::uint8_t { kOpenStep, kExpectedStep, kBackground };

/// A planned load with its sort criteria across models.
struct RankedLoad {
  LoadPriority priority = LoadPriority::kBackground;
  base::Duration sortKey{0};  ///< within a priority, lower values go first
  double coverage = 0;        ///< share of the step's slots that are available without this load
  PlannedLoad load;
};

/// Ranks the engines of one model whose steps are known. Constructed for each plan.
class ModelRanking {
 public:
  using Candidates = std::vector<const LoadCandidate*>;

  ModelRanking(const ModelLoadState& model, base::Duration gracePeriod, base::Duration loadTime,
               base::TimePoint now);

  /// Appends the loads that may start now. `candidates`: sorted by held version, oldest first.
  void rank(Candidates candidates, std::vector<RankedLoad>& ranked);

 private:
  /// Ranks engines for one step until its items have enough slots; removes them from `candidates`.
  void rankForStep(const StepDemand& step, Candidates& candidates, std::vector<RankedLoad>& ranked);
  /// Ranks engines that no known step needs.
  void rankUnneeded(const Candidates& candidates, std::vector<RankedLoad>& ranked);
  /// Whether loads for `step` must start now to be complete in time.
  [[nodiscard]] bool isDueSoon(const StepDemand& step) const;
  /// Whether items of `step` are about to start.
  [[nodiscard]] bool isStarting(const StepDemand& step) const;
  /// Whether the load may be deferred: the engine is not too far behind and the newest version is
  /// recent.
  [[nodiscard]] bool canDefer(const LoadCandidate& candidate) const;
  /// Whether the engine is kept for a step that is starting.
  [[nodiscard]] bool reserveForStep(const LoadCandidate& candidate);
  [[nodiscard]] bool servesOpenStep(const LoadCandidate& candidate) const;

  const ModelLoadState& m_model;
  const base::Duration m_gracePeriod;
  const base::Duration m_loadTime;
  const base::TimePoint m_now;
  /// Slots of engines that are ranked to load the newest version.
  std::uint32_t m_plannedSlots = 0;
  /// Slots that starting steps do not need; zero unless a later step is due soon.
  std::uint32_t m_spareSlots = 0;
};

}  // namespace tackpick::directory
