/// \file
/// Chooses the engine for a job.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "base/random.h"
#include "routing/engine_table.h"
#include "routing/outlier_detector.h"

namespace tackpick::routing {

/// How engines are chosen.
enum class SelectionPolicy {
  kBalanced,    ///< two random choices, prefix affinity, zone cost
  kRoundRobin,  ///< in turn, for comparison
};

/// Knobs of EngineSelector.
struct SelectorSettings {
  SelectionPolicy policy = SelectionPolicy::kBalanced;
  std::string zone;  ///< of this gateway
  /// A foreign zone costs as much as this share of an engine's slots being busy.
  double zonePenalty = 0.05;
  /// A whole cached prompt is worth this share of an engine's slots.
  double affinityBonus = 0.25;
  /// Urgent work may go to an engine loaded up to this multiple of its slots.
  double urgentOvercommit = 2.0;
};

/// What an engine must satisfy for a job.
struct EngineDemand {
  std::string model;
  base::WeightsVersion minimumVersion;
  std::vector<std::uint64_t> prefixBlocks;
  std::set<base::EngineId> excluded;  ///< engines already tried
  bool urgent = false;                ///< may preempt: a full engine will do
};

/// Stateless but for randomness and the turn of round robin.
class EngineSelector {
 public:
  EngineSelector(SelectorSettings settings, base::Random& random)
      : settings_(std::move(settings)), random_(random) {}

  [[nodiscard]] std::optional<base::EngineId> select(const EngineTable& table,
                                                     const OutlierDetector& outliers,
                                                     const EngineDemand& demand,
                                                     base::TimePoint now);

 private:
  [[nodiscard]] bool hasFreeSlot(const EngineEntry& entry, const OutlierDetector& outliers,
                                 const EngineDemand& demand) const;
  [[nodiscard]] double cost(const EngineEntry& entry, const EngineDemand& demand) const;

  const SelectorSettings settings_;
  base::Random& random_;
  std::uint64_t turn_ = 0;
};

}  // namespace tackpick::routing
