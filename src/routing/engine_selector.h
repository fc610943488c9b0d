/// \file
/// Selection of the engine for a task.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "base/random.h"
#include "routing/engine_table.h"
#include "routing/outlier_detector.h"

namespace tackpick::routing {

/// Policy by which engines are selected.
enum class SelectionPolicy {
  kPowerOfTwoChoices,  ///< lowest cost of two random engines
  kRoundRobin,         ///< baseline for comparisons
};

/// Settings of EngineSelector.
struct SelectorSettings {
  SelectionPolicy policy = SelectionPolicy::kPowerOfTwoChoices;
  std::string zone;  ///< zone of this gateway
  /// Cost of an engine in another zone, as a share of busy slots.
  double crossZonePenalty = 0.05;
  /// Cost reduction for a completely cached prompt, as a share of busy slots.
  double prefixAffinityBonus = 0.25;
  /// Maximum load of an engine for preempting tasks, as a multiple of its slots.
  double preemptOvercommit = 2.0;
};

/// Criteria for the selection of an engine.
struct SelectionCriteria {
  std::string model;
  base::WeightsVersion minimumVersion;
  std::vector<std::uint64_t> prefixBlockHashes;  ///< block hashes of the prompt; empty if not used
  std::set<base::EngineId> excluded;             ///< engines that already ran or rejected the task
  bool mayPreempt = false;                       ///< the task may be sent to a full engine
};

/// Selects an engine by load, zone and cached prompt prefixes.
class EngineSelector {
 public:
  EngineSelector(SelectorSettings settings, base::Random& random)
      : settings_(std::move(settings)), random_(random) {}

  /// Returns the selected engine; std::nullopt if no eligible engine has capacity.
  [[nodiscard]] std::optional<base::EngineId> select(const EngineTable& table,
                                                     const OutlierDetector& outliers,
                                                     const SelectionCriteria& criteria,
                                                     base::TimePoint now);

 private:
  [[nodiscard]] bool hasFreeSlot(const EngineEntry& entry, const OutlierDetector& outliers,
                                 const SelectionCriteria& criteria) const;
  [[nodiscard]] double cost(const EngineEntry& entry, const SelectionCriteria& criteria) const;

  const SelectorSettings settings_;
  base::Random& random_;
  std::uint64_t m_nextRoundRobin = 0;
};

}  // namespace tackpick::routing
