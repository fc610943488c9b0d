#include "simulation/scenario.h"

#include <algorithm>

namespace tackpick::simulation {
namespace {

using base::milliseconds;
using base::seconds;

/// Mean intervals of frequent, occasional and rare faults.
constexpr base::Duration kShortInterval = milliseconds(1500);
constexpr base::Duration kMediumInterval = seconds(4);
constexpr base::Duration kLongInterval = seconds(9);

void steady(SimulationOptions& /*options*/) {}

void swapMidStream(SimulationOptions& options) {
  options.load.trainingTime = milliseconds(20);
  options.load.maxResponseTokens = 300;
  options.engine.swapFailureRate = 0.1;
  options.faults.failSwap = kShortInterval;
  options.faults.crashEngine = kMediumInterval;
}

void stalenessBound(SimulationOptions& options) {
  options.load.stalenessBound = 1;
  options.load.trainers = 3;
  options.load.trainingTime = milliseconds(20);
  options.load.raiseMinVersions = true;
  options.engine.stepBaseDuration = milliseconds(12);
  options.faults.crashEngine = kMediumInterval;
  options.faults.failSwap = kMediumInterval;
}

void exactlyOnce(SimulationOptions& options) {
  options.load.trainers = 2;
  options.faults.killGateway = kShortInterval;
  options.faults.killLedger = kShortInterval;
  options.faults.partitionLink = kMediumInterval;
}

void trainerRestart(SimulationOptions& options) {
  options.load.trainers = 2;
  options.load.trainersRestart = true;
  options.faults.killLedger = kMediumInterval;
  options.faults.killGateway = kMediumInterval;
}

void completeResponse(SimulationOptions& options) {
  options.unorderedStreams = true;
  options.network = {0.01, 0.1, milliseconds(30), 0.0};
  options.load.streamFraction = 0.7;
  options.faults.crashEngine = kShortInterval;
}

void notRunVerdict(SimulationOptions& options) {
  options.streamResets = 0.1;
  options.load.requestsPerSecond = 60;
  options.load.deadline = milliseconds(900);
  options.faults.crashEngine = kShortInterval;
  options.faults.partitionLink = kMediumInterval;
}

void overload(SimulationOptions& options) {
  options.load.requestsPerSecond = 300;
  options.load.maxResponseTokens = 300;
  options.load.deadline = milliseconds(1500);
  options.engines = 3;
  options.faults.crashEngine = kMediumInterval;
}

void atMostOnce(SimulationOptions& options) {
  options.load.notRepeatableFraction = 0.9;
  options.load.resendFraction = 0.8;
  options.streamResets = 0.05;
  options.faults.killGateway = kShortInterval;
  options.faults.killLedger = kShortInterval;
  options.faults.crashEngine = kMediumInterval;
}

void drainingEngine(SimulationOptions& options) {
  options.loadDuration = seconds(25);
  options.maxListLag = seconds(4);
  options.faults.announceEngineLeave = kMediumInterval;
  options.faults.drainEngine = kMediumInterval;
  options.faults.killAllControllers = kLongInterval;
  options.faults.suspendNode = kMediumInterval;
}

void gracefulShutdown(SimulationOptions& options) {
  options.load.maxResponseTokens = 300;
  options.load.requestsPerSecond = 40;
  options.faults.stopGateway = kShortInterval;
  options.faults.stopLedger = kShortInterval;
  options.faults.stopController = kShortInterval;
}

void configuration(SimulationOptions& options) {
  options.load.operators = 4;
  options.load.changeInterval = milliseconds(200);
  options.faults.killController = kShortInterval;
  options.faults.killGateway = kMediumInterval;
  options.faults.suspendNode = kMediumInterval;
  options.faults.partitionLink = kMediumInterval;
}

void isolatedLeader(SimulationOptions& options) {
  options.load.operators = 3;
  options.load.changeInterval = milliseconds(300);
  options.load.trainingTime = milliseconds(100);
  options.faults.isolateLeader = kShortInterval;
}

void controlPlaneOutage(SimulationOptions& options) {
  options.load.operators = 3;
  options.load.changeInterval = milliseconds(300);
  options.faults.killAllControllers = kMediumInterval;
}

void secondDiskLoss(SimulationOptions& options) {
  options.load.operators = 3;
  options.load.changeInterval = milliseconds(200);
  options.loadDuration = seconds(25);
  options.faults.loseDisk = milliseconds(500);
  options.faults.killController = kMediumInterval;
  options.faults.killLedger = kMediumInterval;
}

void missedChanges(SimulationOptions& options) {
  options.load.operators = 5;
  options.load.changeInterval = milliseconds(20);
  options.controller.replica.compactionThreshold = 60;
  options.ledger.replica.compactionThreshold = 60;
  options.faults.killController = kShortInterval;
  options.faults.killLedger = kShortInterval;
  options.faults.killGateway = kMediumInterval;
}

void suspendedProcesses(SimulationOptions& options) {
  options.load.operators = 3;
  options.load.changeInterval = milliseconds(300);
  options.faults.suspendNode = milliseconds(1200);
}

void diskFailures(SimulationOptions& options) {
  options.load.operators = 3;
  options.load.changeInterval = milliseconds(200);
  options.faults.killController = milliseconds(700);
  options.faults.killLedger = milliseconds(700);
  options.faults.failSync = kShortInterval;
}

void badNetwork(SimulationOptions& options) {
  options.network = {0.05, 0.08, milliseconds(40), 0.03};
  options.load.operators = 4;
  options.load.changeInterval = milliseconds(100);
  options.faults.partitionLink = milliseconds(800);
  options.faults.killController = kShortInterval;
  options.faults.killLedger = kShortInterval;
}

void reorderedChunks(SimulationOptions& options) {
  options.unorderedStreams = true;
  options.network.maxExtraDelay = milliseconds(60);
}

void delayedCommands(SimulationOptions& options) {
  options.maxCommandDelay = milliseconds(1500);
  options.load.trainingTime = milliseconds(20);
  options.faults.killController = kMediumInterval;
  options.faults.crashEngine = kLongInterval;
}

void twoLeaders(SimulationOptions& options) {
  // Changes are rare, so a partitioned follower misses no log entry and can be elected.
  options.load.operators = 1;
  options.load.changeInterval = seconds(2);
  options.load.trainingTime = seconds(3);
  options.loadDuration = seconds(30);
  options.faults.deposeLeader = seconds(3);
}

void splitVotes(SimulationOptions& options) {
  options.network.maxExtraDelay = milliseconds(100);
  options.loadDuration = seconds(30);
  options.faults.killController = kShortInterval;
  options.faults.killLedger = kShortInterval;
}

void driftingClocks(SimulationOptions& options) {
  options.clockDrift = 0.009;  // two clocks differ by just under the allowed 2%
  options.load.operators = 3;
  options.load.changeInterval = milliseconds(300);
  options.faults.isolateLeader = kMediumInterval;
  options.faults.suspendNode = kMediumInterval;
  options.faults.partitionLink = kShortInterval;
}

void allFaults(SimulationOptions& options) {
  options.load.operators = 3;
  options.load.trainers = 2;
  options.load.trainersRestart = true;
  options.load.raiseMinVersions = true;
  options.load.trainingTime = milliseconds(100);
  options.controller.replica.compactionThreshold = 200;
  options.ledger.replica.compactionThreshold = 300;
  options.unorderedStreams = true;
  options.streamResets = 0.02;
  options.network = {0.01, 0.02, milliseconds(5), 0.002};
  options.maxListLag = seconds(3);
  options.engine.swapFailureRate = 0.02;
  FaultIntervals& faults = options.faults;
  faults.killGateway = kMediumInterval;
  faults.killLedger = kMediumInterval;
  faults.killController = kMediumInterval;
  faults.suspendNode = kMediumInterval;
  faults.partitionLink = kMediumInterval;
  faults.isolateLeader = kLongInterval;
  faults.loseDisk = kMediumInterval;
  faults.failSync = kLongInterval;
  faults.stopGateway = kLongInterval;
  faults.stopController = kLongInterval;
  faults.stopLedger = kLongInterval;
  faults.killAllControllers = seconds(20);
  faults.crashEngine = kMediumInterval;
  faults.failSwap = kMediumInterval;
  faults.announceEngineLeave = kLongInterval;
  faults.drainEngine = kLongInterval;
}

}  // namespace

const std::vector<Scenario>& scenarios() {
  static const std::vector<Scenario> kScenarios = {
      {"steady", "no faults: all requests are served", steady},
      {"swap-mid-stream",
       "correct versions: swaps during streams, failed swaps, old weights after a crash",
       swapMidStream},
      {"staleness-bound",
       "staleness bound: publications during running samples, raised minimum versions",
       stalenessBound},
      {"exactly-once", "exactly once: gateways and leading ledgers are killed at any time",
       exactlyOnce},
      {"trainer-restart", "exactly once: trainers restart, repeat calls and read positions again",
       trainerRestart},
      {"whole-answer", "complete responses: chunks are lost, duplicated, reordered; engines crash",
       completeResponse},
      {"not-run",
       "correct 'not run' verdicts: resets after the last byte, short deadlines, partitions",
       notRunVerdict},
      {"overload", "correct 'not run' verdicts: far more requests than the engines can serve",
       overload},
      {"at-most-once",
       "at most once: resends to other gateways while gateways and ledgers are killed", atMostOnce},
      {"leaving-engine",
       "draining engines: the list flaps, controllers are down, gateways are suspended",
       drainingEngine},
      {"planned-stop",
       "graceful shutdowns: all roles shut down under load, several at the same time",
       gracefulShutdown},
      {"configuration", "configuration: operators compete and resend while controllers are killed",
       configuration},
      {"silent-leader",
       "configuration: a leader is partitioned from its group but reachable by clients",
       isolatedLeader},
      {"control-plane-gone", "configuration: all controllers are down for longer than every lease",
       controlPlaneOutage},
      {"second-loss", "no loss: a second machine loses its disk right after the first was replaced",
       secondDiskLoss},
      {"missed-changes",
       "configuration: processes restart from a snapshot after hundreds of changes", missedChanges},
      {"frozen", "suspended processes resume with outdated state", suspendedProcesses},
      {"broken-disks", "torn writes, lost unsynced writes, failed syncs", diskFailures},
      {"bad-network", "message loss, duplication, reordering, one-way partitions", badNetwork},
      {"reordered-chunks", "complete responses: chunks are reordered", reorderedChunks},
      {"late-orders", "correct versions: commands to engines are delayed, duplicated, reordered",
       delayedCommands},
      {"two-leaders", "configuration: a second leader is elected while the first one still serves",
       twoLeaders},
      {"split-votes",
       "one leader per term: slow links make several replicas candidates at the same time",
       splitVotes},
      {"drifting-clocks", "leases with the maximum allowed clock drift", driftingClocks},
      {"everything", "all invariants: all faults at the same time", allFaults},
  };
  return kScenarios;
}

const Scenario* findScenario(std::string_view name) {
  const auto found = std::find_if(scenarios().begin(), scenarios().end(),
                                  [&](const Scenario& scenario) { return scenario.name == name; });
  return found == scenarios().end() ? nullptr : &*found;
}

RunResult runScenario(const Scenario& scenario, const Mutant* mutant, std::uint64_t seed,
                      std::ostream* traceOutput) {
  SimulationOptions options;
  scenario.configure(options);
  if (mutant != nullptr) {
    mutant->apply(options);
  }
  Simulator simulator(options, seed, traceOutput);
  return simulator.run();
}

}  // namespace tackpick::simulation
