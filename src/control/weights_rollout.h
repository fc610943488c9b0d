/// \file
/// Rollout of the newest published weights to all engines.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "control/control_delta.h"
#include "engine/engine_commands.h"

namespace tackpick::control {

/// Settings of WeightsRollout.
struct WeightsRolloutSettings {
  /// Maximum number of engines that load from the weights store at once: the store's rate limit
  /// divided by the rate of one engine.
  std::size_t concurrentLoads = 8;
  /// Maximum percentage of a model's engines that activate weights at once, so that the others keep
  /// serving.
  int maxActivatingPercent = 34;
  /// Interval after which a command without effect is retried.
  base::Duration retryInterval = base::milliseconds(400);
};

/// Commands each engine to prepare the newest version beside the active one, and then to activate
/// it. Commands are retried until the engine reports the required state, which covers lost
/// commands, lost replies, failed activations and restarted engines. Used by the leading
/// controller.
class WeightsRollout {
 public:
  explicit WeightsRollout(WeightsRolloutSettings settings) : settings_(settings) {}

  /// Returns the commands to send now. `term`: term of the leader, part of the fences.
  [[nodiscard]] std::vector<engine::OutgoingEngineCommand> step(
      const std::map<base::EngineId, EngineRecord>& engines,
      const std::map<std::string, WeightsRecord>& weights, std::uint64_t term, base::TimePoint now);
  void onReply(const engine::EngineCommandReply& reply, base::TimePoint now);
  /// Clears the engine states; call when this controller becomes leader.
  void reset() { m_engines.clear(); }
  /// Returns the number of engines of `model` that reported `version` as active.
  [[nodiscard]] std::size_t activeCount(const std::string& model,
                                        base::WeightsVersion version) const;

 private:
  struct EngineProgress {
    base::Incarnation incarnation;
    std::string model;
    base::WeightsVersion active;
    base::WeightsVersion prepared;
    base::TimePoint commandSentAt{};
    bool commandPending = false;
    engine::EngineCommandKind lastCommand = engine::EngineCommandKind::kPrepareWeights;
  };

  /// Engine counts of one model.
  struct ModelCounts {
    std::size_t engines = 0;
    std::size_t activating = 0;
  };
  /// Number of commands in flight.
  struct InFlightCounts {
    std::size_t loading = 0;
    std::map<std::string, ModelCounts> models;
  };

  [[nodiscard]] bool canSendCommand(const EngineProgress& engineProgress,
                                    base::TimePoint now) const;
  /// Counts the commands in flight. Called once per step to avoid quadratic cost.
  [[nodiscard]] InFlightCounts countInFlight(base::TimePoint now) const;
  [[nodiscard]] std::size_t activationLimit(std::size_t engines) const;

  const WeightsRolloutSettings settings_;
  std::map<base::EngineId, EngineProgress> m_engines;
  std::uint64_t sequence_ = 0;
};

}  // namespace tackpick::control
