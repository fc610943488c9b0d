/// \file
/// Options of a simulated run.
#pragma once

#include <cstdint>
#include <memory>

#include "control/controller.h"
#include "engine/engine_simulator.h"
#include "gateway/gateway.h"
#include "ledger/ledger.h"
#include "simulation/simulated_network.h"
#include "simulation/workload_trace.h"

namespace tackpick::simulation {

/// Returns controller settings for a platform with a machine list.
[[nodiscard]] inline control::ControllerSettings machineListControllerSettings() {
  control::ControllerSettings controller;
  controller.machineListTimeout = base::seconds(3);
  return controller;
}

/// Mean time between two faults of a kind; zero disables the fault.
struct FaultIntervals {
  base::Duration killGateway{0};
  base::Duration killLedger{0};
  base::Duration killController{0};
  base::Duration suspendNode{0};  ///< suspends a node for longer than every lease
  /// Drops messages between a node and another node or an engine, in one or both directions.
  base::Duration partitionLink{0};
  /// Partitions one controller from the leader, then the leader from all controllers.
  base::Duration deposeLeader{0};
  /// Partitions the leading controller from the other controllers.
  base::Duration isolateLeader{0};
  base::Duration loseDisk{0};            ///< the machine is replaced by a new one
  base::Duration failSync{0};            ///< syncs of a replica's disk fail until it is restarted
  base::Duration stopController{0};      ///< graceful shutdown and restart
  base::Duration stopLedger{0};          ///< graceful shutdown and restart
  base::Duration stopGateway{0};         ///< graceful shutdown and restart
  base::Duration killAllControllers{0};  ///< kills all controllers for longer than every lease
  base::Duration crashEngine{0};         ///< crash and restart
  base::Duration failSwap{0};            ///< the next swap of weights fails
  /// Marks an engine as draining, by its own flag or in the machine list, and restarts it later.
  base::Duration announceEngineLeave{0};
  base::Duration drainEngine{0};  ///< an operator drains an engine and later ends the drain
};

/// Load of callers, trainers and operators.
struct LoadOptions {
  double requestsPerSecond = 25.0;
  double notRepeatableFraction = 0.3;
  /// Fraction of the not-repeatable requests that are resent under the same key.
  double resendFraction = 0.3;
  double streamFraction = 0.5;
  double maxResponseTokens = 120.0;
  base::Duration deadline = base::seconds(6);
  std::uint32_t trainers = 1;
  std::uint32_t batchLookahead = 0;  ///< batches submitted in advance
  std::uint32_t samplesPerBatch = 16;
  double maxSampleTokens = 400.0;
  std::uint64_t prompts = 500;       ///< number of distinct prompts of a trainer
  std::uint64_t stalenessBound = 3;  ///< maximum staleness at submission, in versions
  base::Duration trainingTime = base::milliseconds(300);
  bool trainerPublishesOnce = false;  ///< trainers stop after the first publication
  bool trainersRestart = false;       ///< trainers restart at random and lose their cursor
  /// Trace that replaces random requests and batch sizes and adds faults; may be null.
  std::shared_ptr<const WorkloadTrace> trace;
  bool raiseMinVersions = false;  ///< trainers raise the minimum version of running batches
  std::uint32_t operators = 2;
  /// Mean time between the changes of an operator.
  base::Duration changeInterval = base::milliseconds(700);
};

/// Options of a run.
struct SimulationOptions {
  std::uint32_t controllers = 3;
  std::uint32_t ledgers = 3;
  std::uint32_t gateways = 2;
  std::uint32_t engines = 5;
  base::Duration loadDuration = base::seconds(15);  ///< duration of load and faults
  /// Maximum time until all outstanding work has ended.
  base::Duration quiesceTimeout = base::seconds(90);
  base::Duration warmUpDuration{0};  ///< load before the measurement starts
  bool measureCosts = false;         ///< whether CPU time and messages are counted by role
  double clockDrift = 0.01;          ///< clock rates lie within 1 +- this value
  /// Mutant: a machine's clock stops while its process is suspended, like CLOCK_MONOTONIC on a
  /// suspended machine. The daemon uses a clock that includes suspensions.
  bool suspensionStopsClock = false;

  LoadOptions load;
  FaultIntervals faults;
  NetworkFaults network;
  bool unorderedStreams = false;  ///< chunks may be lost, duplicated and reordered
  /// If not zero, commands to engines are delayed, duplicated and reordered.
  base::Duration maxCommandDelay{0};
  /// Fraction of dispatches whose connection is reset right after the request was sent.
  double streamResets = 0.0;
  base::Duration minListLag = base::milliseconds(300);
  base::Duration maxListLag = base::milliseconds(1200);  ///< the lag of each read is random

  std::uint64_t storeBytesPerSecond = 20'000'000'000;  ///< bandwidth of the weight store

  control::ControllerSettings controller = machineListControllerSettings();
  ledger::LedgerSettings ledger;
  gateway::GatewaySettings gateway;
  engine::EngineSimulatorSettings engine;
};

}  // namespace tackpick::simulation
