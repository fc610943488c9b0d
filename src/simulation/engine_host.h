/// \file
/// A machine with one model engine.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "engine/engine_simulator.h"
#include "simulation/environment.h"

namespace tackpick::simulation {

/// One run of one of our processes; messages to an earlier run are dropped.
struct ProcessRun {
  NodeHost* node = nullptr;
  std::uint64_t epoch = 0;
};

/// Hosts engine::EngineSimulator: incarnations, streams to gateways, orders from controllers.
class EngineHost {
 public:
  EngineHost(Environment& environment, base::EngineId id, std::string zone,
             engine::WeightStore& store);

  void start();
  /// The process dies; streams break.
  void crash();
  [[nodiscard]] bool isRunning() const { return model_.has_value(); }
  /// The engine's own flag.
  void startDraining();
  void failNextSwap();

  /// A request arrived. Everything it causes goes back to `gateway`.
  void generate(ProcessRun gateway, const engine::GenerateRequest& request);
  void cancel(base::AttemptId attempt);
  void read(ProcessRun gateway);
  void order(ProcessRun controller, const engine::EngineCommand& order);
  /// Tells the observations what the running incarnation ran.
  void reportRuns();

  [[nodiscard]] std::uint32_t runningSequences() const {
    return model_ ? model_->status().running : 0;
  }
  [[nodiscard]] base::EngineId id() const { return id_; }
  [[nodiscard]] MachineId machine() const { return machine_; }
  [[nodiscard]] base::Incarnation incarnation() const { return incarnation_; }

 private:
  void advance();
  void schedule();
  void observeVersion();
  void sendEnd(ProcessRun gateway, const engine::AttemptEnd& end);
  void publishEntry();

  Environment& environment_;
  const base::EngineId id_;
  const MachineId machine_;
  const std::string zone_;
  engine::WeightStore& store_;
  base::Incarnation incarnation_;
  std::optional<engine::EngineSimulator> model_;
  std::map<base::AttemptId, ProcessRun> streams_;
  std::map<NodeHost*, std::uint64_t> cache_sequences_;
  std::uint64_t wakeup_ = 0;
};

}  // namespace tackpick::simulation
