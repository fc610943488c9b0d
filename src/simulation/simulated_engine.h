/// \file
/// A simulated machine that runs one model engine.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "engine/engine_simulator.h"
#include "simulation/environment.h"

namespace tackpick::simulation {

/// One process instance of a node. Messages to an earlier instance are dropped.
struct ProcessInstance {
  SimulatedNode* node = nullptr;
  std::uint64_t epoch = 0;
};

/// Connects engine::EngineSimulator to the simulated network: restarts it under new incarnations,
/// streams its output to gateways and executes the commands of controllers.
class SimulatedEngine {
 public:
  SimulatedEngine(Environment& environment, base::EngineId id, std::string zone,
                  engine::WeightStore& store);

  void start();
  /// Ends the process. The streams to gateways end as lost connections.
  void crash();
  [[nodiscard]] bool isRunning() const { return model_.has_value(); }
  /// Sets the draining flag that the engine itself reports.
  void startDraining();
  void failNextSwap();

  /// Handles a request; its chunks and its end are sent to `gateway`.
  void generate(ProcessInstance gateway, const engine::GenerateRequest& request);
  void cancel(base::AttemptId attempt);
  /// Sends the status and the cache events since the previous read to `gateway`.
  void read(ProcessInstance gateway);
  void handleCommand(ProcessInstance controller, const engine::EngineCommand& command);
  /// Passes the attempts that the running incarnation executed to the invariant checker.
  void reportExecutions();

  [[nodiscard]] std::uint32_t runningSequences() const {
    return model_ ? model_->status().running : 0;
  }
  [[nodiscard]] base::EngineId id() const { return id_; }
  [[nodiscard]] MachineId machine() const { return machine_; }
  [[nodiscard]] base::Incarnation incarnation() const { return incarnation_; }

 private:
  void advance();
  void schedule();
  void reportActiveVersion();
  void sendAttemptEnd(ProcessInstance gateway, const engine::AttemptEnd& end);
  void publishRecord();

  Environment& environment_;
  const base::EngineId id_;
  const MachineId machine_;
  const std::string zone_;
  engine::WeightStore& store_;
  base::Incarnation incarnation_;
  std::optional<engine::EngineSimulator> model_;
  std::map<base::AttemptId, ProcessInstance> streams_;  ///< gateway by running attempt
  /// Sequence number of the last cache event sent, by gateway.
  std::map<SimulatedNode*, std::uint64_t> cache_sequences_;
  std::uint64_t m_timerGeneration = 0;  ///< number of the latest timer; earlier timers are ignored
};

}  // namespace tackpick::simulation
