/// \file
/// Brings the newest published weights onto every engine.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "control/control_delta.h"
#include "engine/engine_commands.h"

namespace tackpick::control {

/// Knobs of WeightsRollout.
struct WeightsRolloutSettings {
  /// Engines that may fetch from the weight store at once; set it to the store's rate limit
  /// divided by the rate of one engine.
  std::size_t concurrentLoads = 8;
  /// Share of a model's engines that may swap at once, so that callers keep being served.
  int swappingPercent = 34;
  /// An order without effect is repeated this often.
  base::Duration retryInterval = base::milliseconds(400);
};

/// Orders each engine to prepare the newest version beside the active one, and then to activate
/// it. Orders are repeated until the engine reports the wanted state, so lost orders, lost replies,
/// failed swaps and restarted engines need no case of their own. Used by the leading controller.
class WeightsRollout {
 public:
  explicit WeightsRollout(WeightsRolloutSettings settings) : settings_(settings) {}

  /// Orders to send now. `term` is the leader's; it makes the fences.
  [[nodiscard]] std::vector<engine::OutgoingEngineCommand> step(
      const std::map<base::EngineId, EngineRecord>& engines,
      const std::map<std::string, WeightsRecord>& weights, std::uint64_t term, base::TimePoint now);
  void onReply(const engine::EngineCommandReply& reply, base::TimePoint now);
  /// Forgets what engines reported; call when this controller becomes leader.
  void reset() { observed_.clear(); }
  /// Engines of `model` that reported `version` as active.
  [[nodiscard]] std::size_t activeCount(const std::string& model,
                                        base::WeightsVersion version) const;

 private:
  struct Observed {
    base::Incarnation incarnation;
    std::string model;
    base::WeightsVersion active;
    base::WeightsVersion prepared;
    base::TimePoint orderedAt{};
    bool ordered = false;
    engine::EngineCommandKind lastOrder = engine::EngineCommandKind::kPrepareWeights;
  };

  /// Engines of one model.
  struct ModelProgress {
    std::size_t engines = 0;
    std::size_t swapping = 0;
  };
  /// Orders under way.
  struct Progress {
    std::size_t loading = 0;
    std::map<std::string, ModelProgress> models;
  };

  [[nodiscard]] bool mayOrder(const Observed& observed, base::TimePoint now) const;
  /// Counted once a step: with thousands of engines, counting for each would cost their square.
  [[nodiscard]] Progress countOrdered(base::TimePoint now) const;
  [[nodiscard]] std::size_t swapLimit(std::size_t engines) const;

  const WeightsRolloutSettings settings_;
  std::map<base::EngineId, Observed> observed_;
  std::uint64_t sequence_ = 0;
};

}  // namespace tackpick::control
