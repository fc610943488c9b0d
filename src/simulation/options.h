/// \file
/// Everything that a simulated run can be told. A scenario is a named set of these.
#pragma once

#include <cstdint>
#include <memory>

#include "control/controller.h"
#include "engine/engine_simulator.h"
#include "gateway/gateway.h"
#include "ledger/ledger.h"
#include "simulation/simulated_network.h"
#include "simulation/trace.h"

namespace tackpick::simulation {

/// The simulated platform has a machine list.
[[nodiscard]] inline control::ControllerSettings controllersWithAMachineList() {
  control::ControllerSettings controller;
  controller.machineListTimeout = base::seconds(3);
  return controller;
}

/// Mean time between two faults of a kind; zero: never.
struct FaultIntervals {
  base::Duration killGateway{0};
  base::Duration killLedger{0};
  base::Duration killController{0};
  base::Duration freezeNode{0};        ///< any of ours, for longer than every lease
  base::Duration cutLink{0};           ///< between two of our machines, one way or both
  base::Duration deposeLeader{0};      ///< a controller and the leading one part, then all do
  base::Duration isolateLeader{0};     ///< the leading controller hears no other controller
  base::Duration loseDisk{0};          ///< and the machine is replaced by a new one
  base::Duration failSync{0};          ///< a replica's disk refuses to sync; then it is restarted
  base::Duration stopController{0};    ///< planned stop and restart
  base::Duration stopLedger{0};        ///< planned stop and restart
  base::Duration stopGateway{0};       ///< planned stop and restart
  base::Duration loseControlPlane{0};  ///< all controllers at once, for longer than every lease
  base::Duration crashEngine{0};
  base::Duration failSwap{0};
  base::Duration leaveEngine{0};  ///< by the engine's own flag or by the machine list
  base::Duration drainEngine{0};  ///< by an operator
};

/// The load.
struct LoadOptions {
  double requestsPerSecond = 25.0;
  double notRepeatableShare = 0.3;
  double resendFraction = 0.3;  ///< of not-repeatable requests: sent again under the same key
  double streamShare = 0.5;
  double maxResponseTokens = 120.0;  ///< tokens
  base::Duration deadline = base::seconds(6);
  std::uint32_t trainers = 1;
  std::uint32_t batchLookahead = 0;  ///< submitted before they are needed
  std::uint32_t samplesPerBatch = 16;
  double maxSampleTokens = 400.0;  ///< tokens
  std::uint64_t prompts = 500;     ///< of a trainer, drawn again and again
  std::uint64_t stalenessBound = 3;
  base::Duration trainingTime = base::milliseconds(300);
  bool trainerPublishesOnce = false;
  bool trainersRestart = false;
  std::shared_ptr<const Trace> trace;  ///< replaces random arrivals, batches and faults
  bool tightenBatches = false;
  std::uint32_t operators = 2;
  base::Duration changeInterval = base::milliseconds(700);
};

/// A run.
struct SimulationOptions {
  std::uint32_t controllers = 3;
  std::uint32_t ledgers = 3;
  std::uint32_t gateways = 2;
  std::uint32_t engines = 5;
  base::Duration faultTime = base::seconds(15);   ///< load and faults
  base::Duration settleTime = base::seconds(90);  ///< at most, until everything has ended
  base::Duration warmUp{0};                       ///< before idle time and the like count
  bool metering = false;                          ///< measure what each role costs
  double clockDrift = 0.01;                       ///< rates lie within 1 +- this
  /// Mutant: a machine's clock stands still while its process is frozen, as the operating system's
  /// monotonic clock does while a machine is suspended. What is shipped reads one that goes on.
  bool suspensionStopsClock = false;

  LoadOptions load;
  FaultIntervals faults;
  NetworkFaults network;
  bool unorderedStreams = false;    ///< chunks are doubled and reordered too
  base::Duration maxOrderDelay{0};  ///< orders to engines come late, doubled, in any order
  double streamResets = 0.0;        ///< share of dispatches cut right after the last byte went out
  base::Duration minListLag = base::milliseconds(300);
  base::Duration maxListLag = base::milliseconds(1200);  ///< each reading draws a lag

  std::uint64_t storeBytesPerSecond = 20'000'000'000;  ///< of the weight store

  control::ControllerSettings controller = controllersWithAMachineList();
  ledger::LedgerSettings ledger;
  gateway::GatewaySettings gateway;
  engine::EngineSimulatorSettings engine;
};

}  // namespace tackpick::simulation
