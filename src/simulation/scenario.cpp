#include "simulation/scenario.h"

#include <algorithm>

namespace tackpick::simulation {
namespace {

using base::milliseconds;
using base::seconds;

/// Small intervals that faults of one scenario have in common.
constexpr base::Duration kOften = milliseconds(1500);
constexpr base::Duration kSometimes = seconds(4);
constexpr base::Duration kSeldom = seconds(9);

void steady(SimulationOptions& /*options*/) {}

void swapMidStream(SimulationOptions& options) {
  options.load.trainingTime = milliseconds(20);
  options.load.maxResponseTokens = 300;
  options.engine.swapFailureRate = 0.1;
  options.faults.failSwap = kOften;
  options.faults.crashEngine = kSometimes;
}

void stalenessBound(SimulationOptions& options) {
  options.load.stalenessBound = 1;
  options.load.trainers = 3;
  options.load.trainingTime = milliseconds(20);
  options.load.tightenBatches = true;
  options.engine.stepBaseDuration = milliseconds(12);
  options.faults.crashEngine = kSometimes;
  options.faults.failSwap = kSometimes;
}

void exactlyOnce(SimulationOptions& options) {
  options.load.trainers = 2;
  options.faults.killGateway = kOften;
  options.faults.killLedger = kOften;
  options.faults.cutLink = kSometimes;
}

void trainerRestart(SimulationOptions& options) {
  options.load.trainers = 2;
  options.load.trainersRestart = true;
  options.faults.killLedger = kSometimes;
  options.faults.killGateway = kSometimes;
}

void wholeAnswer(SimulationOptions& options) {
  options.unorderedStreams = true;
  options.network = {0.01, 0.1, milliseconds(30), 0.0};
  options.load.streamShare = 0.7;
  options.faults.crashEngine = kOften;
}

void notRunIsTrue(SimulationOptions& options) {
  options.streamResets = 0.1;
  options.load.requestsPerSecond = 60;
  options.load.deadline = milliseconds(900);
  options.faults.crashEngine = kOften;
  options.faults.cutLink = kSometimes;
}

void overload(SimulationOptions& options) {
  options.load.requestsPerSecond = 300;
  options.load.maxResponseTokens = 300;
  options.load.deadline = milliseconds(1500);
  options.engines = 3;
  options.faults.crashEngine = kSometimes;
}

void atMostOnce(SimulationOptions& options) {
  options.load.notRepeatableShare = 0.9;
  options.load.resendFraction = 0.8;
  options.streamResets = 0.05;
  options.faults.killGateway = kOften;
  options.faults.killLedger = kOften;
  options.faults.crashEngine = kSometimes;
}

void drainingEngine(SimulationOptions& options) {
  options.faultTime = seconds(25);
  options.maxListLag = seconds(4);
  options.faults.leaveEngine = kSometimes;
  options.faults.drainEngine = kSometimes;
  options.faults.loseControlPlane = kSeldom;
  options.faults.freezeNode = kSometimes;
}

void plannedStop(SimulationOptions& options) {
  options.load.maxResponseTokens = 300;
  options.load.requestsPerSecond = 40;
  options.faults.stopGateway = kOften;
  options.faults.stopLedger = kOften;
  options.faults.stopController = kOften;
}

void configuration(SimulationOptions& options) {
  options.load.operators = 4;
  options.load.changeInterval = milliseconds(200);
  options.faults.killController = kOften;
  options.faults.killGateway = kSometimes;
  options.faults.freezeNode = kSometimes;
  options.faults.cutLink = kSometimes;
}

void silentLeader(SimulationOptions& options) {
  options.load.operators = 3;
  options.load.changeInterval = milliseconds(300);
  options.load.trainingTime = milliseconds(100);
  options.faults.isolateLeader = kOften;
}

void controlPlaneGone(SimulationOptions& options) {
  options.load.operators = 3;
  options.load.changeInterval = milliseconds(300);
  options.faults.loseControlPlane = kSometimes;
}

void secondLoss(SimulationOptions& options) {
  options.load.operators = 3;
  options.load.changeInterval = milliseconds(200);
  options.faultTime = seconds(25);
  options.faults.loseDisk = milliseconds(500);
  options.faults.killController = kSometimes;
  options.faults.killLedger = kSometimes;
}

void missedChanges(SimulationOptions& options) {
  options.load.operators = 5;
  options.load.changeInterval = milliseconds(20);
  options.controller.replica.compactionThreshold = 60;
  options.ledger.replica.compactionThreshold = 60;
  options.faults.killController = kOften;
  options.faults.killLedger = kOften;
  options.faults.killGateway = kSometimes;
}

void frozen(SimulationOptions& options) {
  options.load.operators = 3;
  options.load.changeInterval = milliseconds(300);
  options.faults.freezeNode = milliseconds(1200);
}

void brokenDisks(SimulationOptions& options) {
  options.load.operators = 3;
  options.load.changeInterval = milliseconds(200);
  options.faults.killController = milliseconds(700);
  options.faults.killLedger = milliseconds(700);
  options.faults.failSync = kOften;
}

void badNetwork(SimulationOptions& options) {
  options.network = {0.05, 0.08, milliseconds(40), 0.03};
  options.load.operators = 4;
  options.load.changeInterval = milliseconds(100);
  options.faults.cutLink = milliseconds(800);
  options.faults.killController = kOften;
  options.faults.killLedger = kOften;
}

void reorderedChunks(SimulationOptions& options) {
  options.unorderedStreams = true;
  options.network.maxExtraDelay = milliseconds(60);
}

void lateOrders(SimulationOptions& options) {
  options.maxOrderDelay = milliseconds(1500);
  options.load.trainingTime = milliseconds(20);
  options.faults.killController = kSometimes;
  options.faults.crashEngine = kSeldom;
}

void twoLeaders(SimulationOptions& options) {
  // A follower that misses no entry meanwhile can be elected.
  options.load.operators = 1;
  options.load.changeInterval = seconds(2);
  options.load.trainingTime = seconds(3);
  options.faultTime = seconds(30);
  options.faults.deposeLeader = seconds(3);
}

void splitVotes(SimulationOptions& options) {
  options.network.maxExtraDelay = milliseconds(100);
  options.faultTime = seconds(30);
  options.faults.killController = kOften;
  options.faults.killLedger = kOften;
}

void driftingClocks(SimulationOptions& options) {
  options.clockDrift = 0.009;  // two clocks then differ by just under the allowed 2%
  options.load.operators = 3;
  options.load.changeInterval = milliseconds(300);
  options.faults.isolateLeader = kSometimes;
  options.faults.freezeNode = kSometimes;
  options.faults.cutLink = kOften;
}

void everything(SimulationOptions& options) {
  options.load.operators = 3;
  options.load.trainers = 2;
  options.load.trainersRestart = true;
  options.load.tightenBatches = true;
  options.load.trainingTime = milliseconds(100);
  options.controller.replica.compactionThreshold = 200;
  options.ledger.replica.compactionThreshold = 300;
  options.unorderedStreams = true;
  options.streamResets = 0.02;
  options.network = {0.01, 0.02, milliseconds(5), 0.002};
  options.maxListLag = seconds(3);
  options.engine.swapFailureRate = 0.02;
  FaultIntervals& faults = options.faults;
  faults.killGateway = kSometimes;
  faults.killLedger = kSometimes;
  faults.killController = kSometimes;
  faults.freezeNode = kSometimes;
  faults.cutLink = kSometimes;
  faults.isolateLeader = kSeldom;
  faults.loseDisk = kSometimes;
  faults.failSync = kSeldom;
  faults.stopGateway = kSeldom;
  faults.stopController = kSeldom;
  faults.stopLedger = kSeldom;
  faults.loseControlPlane = seconds(20);
  faults.crashEngine = kSometimes;
  faults.failSwap = kSometimes;
  faults.leaveEngine = kSeldom;
  faults.drainEngine = kSeldom;
}

}  // namespace

const std::vector<Scenario>& scenarios() {
  static const std::vector<Scenario> kScenarios = {
      {"steady", "no fault: everything is served", steady},
      {"swap-mid-stream",
       "true versions: swaps during streams, failed swaps, old weights after a crash",
       swapMidStream},
      {"staleness-bound",
       "staleness bound: versions overtake running samples, bounds are tightened", stalenessBound},
      {"exactly-once", "exactly once: gateways and leading ledgers die between any two steps",
       exactlyOnce},
      {"trainer-restart", "exactly once: trainers restart, repeat calls and read places again",
       trainerRestart},
      {"whole-answer", "whole answers: chunks are lost, doubled, reordered; engines crash",
       wholeAnswer},
      {"not-run", "'not run' is true: resets after the last byte, short deadlines, cuts",
       notRunIsTrue},
      {"overload", "'not run' is true: far more requests than the engines can serve", overload},
      {"at-most-once", "at most once: resends elsewhere while gateways and ledgers die",
       atMostOnce},
      {"leaving-engine", "leaving engines: the list flaps, controllers are away, gateways freeze",
       drainingEngine},
      {"planned-stop", "planned stops: every role is stopped under load, several together",
       plannedStop},
      {"configuration", "configuration: operators race and resend while controllers die",
       configuration},
      {"silent-leader", "configuration: a leader cut off in silence, still reached by clients",
       silentLeader},
      {"control-plane-gone", "configuration: all controllers away for longer than every lease",
       controlPlaneGone},
      {"second-loss", "no loss: a second machine's disk goes right after the first was replaced",
       secondLoss},
      {"missed-changes", "configuration: processes restart after hundreds of changes, by snapshot",
       missedChanges},
      {"frozen", "stalled processes wake with their old beliefs", frozen},
      {"broken-disks", "torn writes, unsynced writes lost, syncs that fail", brokenDisks},
      {"bad-network", "loss, duplication, reordering, one-way cuts", badNetwork},
      {"reordered-chunks", "whole answers: chunks overtake one another", reorderedChunks},
      {"late-orders", "true versions: orders to engines come late, doubled, in any order",
       lateOrders},
      {"two-leaders", "configuration: another controller is elected while one still leads",
       twoLeaders},
      {"split-votes", "one leader a term: slow links make several replicas stand at once",
       splitVotes},
      {"drifting-clocks", "leases under clocks that differ as much as is allowed", driftingClocks},
      {"everything", "all promises: all faults together", everything},
  };
  return kScenarios;
}

const Scenario* findScenario(std::string_view name) {
  const auto found = std::find_if(scenarios().begin(), scenarios().end(),
                                  [&](const Scenario& scenario) { return scenario.name == name; });
  return found == scenarios().end() ? nullptr : &*found;
}

RunResult runScenario(const Scenario& scenario, const Mutant* mutant, std::uint64_t seed,
                      std::ostream* trace) {
  SimulationOptions options;
  scenario.configure(options);
  if (mutant != nullptr) {
    mutant->apply(options);
  }
  World world(options, seed, trace);
  return world.run();
}

}  // namespace tackpick::simulation
