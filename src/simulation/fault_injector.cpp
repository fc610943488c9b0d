#include "simulation/fault_injector.h"

#include <utility>

#include "simulation/simulated_engine.h"
#include "simulation/simulated_platform.h"

namespace tackpick::simulation {
namespace {

constexpr base::Duration kMinOutage = base::milliseconds(20);
constexpr base::Duration kMaxOutage = base::milliseconds(2500);
/// Minimum duration of a suspension; longer than every lease.
constexpr base::Duration kMinSuspension = base::milliseconds(300);
constexpr base::Duration kMaxSuspension = base::seconds(8);
constexpr base::Duration kMembershipRetryInterval = base::milliseconds(150);

}  // namespace

FaultInjector::FaultInjector(Environment& environment, OperatorActor& drainOperator)
    : environment_(environment), m_drainOperator(drainOperator) {}

void FaultInjector::start() {
  const FaultIntervals& faults = environment_.options.faults;
  injectRepeatedly(faults.killGateway,
                   [this] { killTemporarily(randomNodeWithRole(NodeRole::kGateway)); });
  injectRepeatedly(faults.killLedger,
                   [this] { killTemporarily(leaderOrRandom(NodeRole::kLedger)); });
  injectRepeatedly(faults.killController,
                   [this] { killTemporarily(leaderOrRandom(NodeRole::kController)); });
  injectRepeatedly(faults.suspendNode, [this] {
    suspendTemporarily(randomNodeWithRole(static_cast<NodeRole>(environment_.random.below(3))));
  });
  injectRepeatedly(faults.partitionLink, [this] { partitionLink(); });
  injectRepeatedly(faults.deposeLeader, [this] { deposeLeader(); });
  injectRepeatedly(faults.isolateLeader, [this] {
    isolateFromGroup(leaderOrRandom(NodeRole::kController), kMaxSuspension);
  });
  injectRepeatedly(faults.loseDisk, [this] { loseDisk(); });
  injectRepeatedly(faults.failSync, [this] { failSync(); });
  injectRepeatedly(faults.stopController,
                   [this] { shutDownTemporarily(leaderOrRandom(NodeRole::kController)); });
  injectRepeatedly(faults.stopLedger,
                   [this] { shutDownTemporarily(leaderOrRandom(NodeRole::kLedger)); });
  injectRepeatedly(faults.stopGateway,
                   [this] { shutDownTemporarily(randomNodeWithRole(NodeRole::kGateway)); });
  injectRepeatedly(faults.killAllControllers, [this] { killAllControllers(); });
  injectRepeatedly(faults.crashEngine, [this] { crashEngine(); });
  injectRepeatedly(faults.failSwap, [this] { randomEngine()->failNextSwap(); });
  injectRepeatedly(faults.announceEngineLeave, [this] { announceEngineLeave(); });
  injectRepeatedly(faults.drainEngine, [this] { drainEngine(); });
  const std::shared_ptr<const WorkloadTrace>& trace = environment_.options.load.trace;
  if (trace) {
    for (const TraceFault& fault : trace->faults) {
      environment_.loop.scheduleAfter(fault.at, [this, name = fault.name] { injectNamed(name); });
    }
  }
}

void FaultInjector::injectNamed(const std::string& name) {
  environment_.writeTraceLine("fault of the trace: " + name);
  if (name == "kill-gateway") {
    killTemporarily(randomNodeWithRole(NodeRole::kGateway));
  } else if (name == "kill-ledger") {
    killTemporarily(leaderOrRandom(NodeRole::kLedger));
  } else if (name == "kill-controller") {
    killTemporarily(leaderOrRandom(NodeRole::kController));
  } else if (name == "crash-engine") {
    crashEngine();
  } else if (name == "fail-swap") {
    randomEngine()->failNextSwap();
  } else if (name == "stop-gateway") {
    shutDownTemporarily(randomNodeWithRole(NodeRole::kGateway));
  } else if (name == "freeze-gateway") {
    suspendTemporarily(randomNodeWithRole(NodeRole::kGateway));
  } else {
    environment_.checker.reportViolation(Invariant::kLiveness,
                                         "unknown fault in the trace: " + name);
  }
}

void FaultInjector::stop() {
  stopped_ = true;
  environment_.network.healAll();
  for (const auto& node : environment_.nodes) {
    node->resume();
    node->restart();
  }
  for (const auto& engine : environment_.engines) {
    if (!engine->isRunning()) {
      engine->start();
    }
  }
}

void FaultInjector::injectRepeatedly(base::Duration meanInterval, const FaultAction& fault) {
  if (meanInterval.count() == 0) {
    return;
  }
  const double mean = static_cast<double>(meanInterval.count());
  const base::Duration gap(static_cast<base::Duration::rep>(environment_.random.exponential(mean)) +
                           1);
  environment_.loop.scheduleAfter(gap, [this, meanInterval, fault] {
    if (!stopped_) {
      fault();
      injectRepeatedly(meanInterval, fault);
    }
  });
}

std::vector<SimulatedNode*> FaultInjector::nodesWithRole(NodeRole role) const {
  std::vector<SimulatedNode*> nodes;
  for (const auto& node : environment_.nodes) {
    if (node->role() == role) {
      nodes.push_back(node.get());
    }
  }
  return nodes;
}

SimulatedNode* FaultInjector::randomNode(const std::vector<SimulatedNode*>& nodes) {
  return nodes[environment_.random.below(nodes.size())];
}

SimulatedNode* FaultInjector::leaderOrRandom(NodeRole role) {
  const std::vector<SimulatedNode*> nodes = nodesWithRole(role);
  for (SimulatedNode* node : nodes) {
    if (node->isRunning() && node->replica()->raft().isLeader() &&
        environment_.random.chance(0.7)) {
      return node;
    }
  }
  return randomNode(nodes);
}

SimulatedEngine* FaultInjector::randomEngine() {
  return environment_.engines[environment_.random.below(environment_.engines.size())].get();
}

void FaultInjector::killTemporarily(SimulatedNode* node) {
  if (!node->isRunning()) {
    return;
  }
  node->kill();
  environment_.loop.scheduleAfter(environment_.randomDuration(kMinOutage, kMaxOutage),
                                  [node] { node->restart(); });
}

void FaultInjector::suspendTemporarily(SimulatedNode* node) {
  if (!node->isRunning() || node->isSuspended() || node->isShuttingDown()) {
    return;
  }
  environment_.writeTraceLine("node " + std::to_string(node->number()) + " freezes");
  node->suspend();
  environment_.loop.scheduleAfter(environment_.randomDuration(kMinSuspension, kMaxSuspension),
                                  [node] { node->resume(); });
}

void FaultInjector::shutDownTemporarily(SimulatedNode* node) {
  node->beginGracefulShutdown();
  restartAfterShutdown(node);
}

void FaultInjector::restartAfterShutdown(SimulatedNode* node) {
  environment_.loop.scheduleAfter(environment_.randomDuration(base::seconds(1), base::seconds(4)),
                                  [this, node] {
                                    if (node->isShuttingDown()) {
                                      restartAfterShutdown(node);
                                    } else {
                                      node->restart();
                                    }
                                  });
}

void FaultInjector::partitionLink() {
  const auto& nodes = environment_.nodes;
  const MachineId from = nodes[environment_.random.below(nodes.size())]->machine();
  MachineId to = nodes[environment_.random.below(nodes.size())]->machine();
  if (environment_.random.chance(0.3)) {
    to = randomEngine()->machine();
  }
  const bool bothWays = environment_.random.chance(0.5);
  environment_.network.partition(from, to);
  if (bothWays) {
    environment_.network.partition(to, from);
  }
  environment_.loop.scheduleAfter(environment_.randomDuration(kMinSuspension, kMaxSuspension),
                                  [this, from, to] {
                                    environment_.network.heal(from, to);
                                    environment_.network.heal(to, from);
                                  });
}

void FaultInjector::isolateFromGroup(SimulatedNode* node, base::Duration max) {
  environment_.writeTraceLine("node " + std::to_string(node->number()) +
                              " is partitioned from its group");
  const auto others = nodesWithRole(node->role());
  for (const SimulatedNode* other : others) {
    environment_.network.partition(node->machine(), other->machine());
    environment_.network.partition(other->machine(), node->machine());
  }
  environment_.loop.scheduleAfter(environment_.randomDuration(base::seconds(1), max),
                                  [this, node, others] {
                                    for (const SimulatedNode* other : others) {
                                      environment_.network.heal(node->machine(), other->machine());
                                      environment_.network.heal(other->machine(), node->machine());
                                    }
                                  });
}

void FaultInjector::deposeLeader() {
  SimulatedNode* leader = leaderOrRandom(NodeRole::kController);
  const SimulatedNode* partitionedPeer = randomNodeWithRole(NodeRole::kController);
  environment_.network.partition(leader->machine(), partitionedPeer->machine());
  environment_.network.partition(partitionedPeer->machine(), leader->machine());
  environment_.loop.scheduleAfter(
      environment_.randomDuration(base::milliseconds(400), base::milliseconds(800)),
      [this, leader] { isolateFromGroup(leader, base::seconds(2)); });
  environment_.loop.scheduleAfter(base::seconds(2), [this, leader, partitionedPeer] {
    environment_.network.heal(leader->machine(), partitionedPeer->machine());
    environment_.network.heal(partitionedPeer->machine(), leader->machine());
  });
}

void FaultInjector::killAllControllers() {
  const auto controllers = nodesWithRole(NodeRole::kController);
  const base::Duration outage = environment_.randomDuration(base::seconds(2), base::seconds(9));
  for (SimulatedNode* node : controllers) {
    node->kill();
    environment_.loop.scheduleAfter(outage, [node] { node->restart(); });
  }
}

void FaultInjector::failSync() {
  SimulatedNode* node = environment_.random.chance(0.5) ? leaderOrRandom(NodeRole::kLedger)
                                                        : leaderOrRandom(NodeRole::kController);
  node->disk().failSyncs();
  environment_.loop.scheduleAfter(environment_.randomDuration(kMinOutage, kMaxOutage), [node] {
    node->disk().repair();
    node->restart();
  });
}

void FaultInjector::crashEngine() {
  SimulatedEngine* engine = randomEngine();
  if (!engine->isRunning()) {
    return;
  }
  engine->crash();
  environment_.loop.scheduleAfter(environment_.randomDuration(kMinOutage, kMaxOutage), [engine] {
    if (!engine->isRunning()) {
      engine->start();
    }
  });
}

void FaultInjector::announceEngineLeave() {
  SimulatedEngine* engine = randomEngine();
  if (!engine->isRunning()) {
    return;
  }
  if (environment_.random.chance(0.5)) {
    engine->startDraining();
  } else {
    environment_.platform->markDraining(engine->id());
  }
  // The engine terminates and restarts as a new incarnation.
  environment_.loop.scheduleAfter(environment_.randomDuration(base::seconds(6), base::seconds(10)),
                                  [engine] {
                                    engine->crash();
                                    engine->start();
                                  });
}

void FaultInjector::drainEngine() {
  const base::EngineId engine = randomEngine()->id();
  m_drainOperator.drain(engine, true);
  environment_.loop.scheduleAfter(environment_.randomDuration(base::seconds(6), base::seconds(10)),
                                  [this, engine] { m_drainOperator.drain(engine, false); });
}

void FaultInjector::loseDisk() {
  const NodeRole role = environment_.random.chance(0.5) ? NodeRole::kController : NodeRole::kLedger;
  if (!m_rolesUnderRepair.insert(role).second) {
    return;
  }
  SimulatedNode* node = leaderOrRandom(role);
  environment_.writeTraceLine("node " + std::to_string(node->number()) + " loses its disk");
  const base::NodeId lost = node->id();
  const base::NodeId added = node->replace();
  replaceMember(role, lost, added);
}

void FaultInjector::replaceMember(NodeRole role, base::NodeId lost, base::NodeId added) {
  for (SimulatedNode* node : nodesWithRole(role)) {
    if (!node->isRunning() || node->isSuspended() || !node->replica()->raft().isLeader()) {
      continue;
    }
    // The leader rejects a change of the membership while another one is pending.
    consensus::RaftConsensus& raft = node->replica()->raft();
    const consensus::Membership& membership = raft.membership();
    const bool settled = raft.hasCommittedInTerm() && !raft.membershipChangePending();
    if (settled && membership.isVoter(added) && !membership.contains(lost)) {
      m_rolesUnderRepair.erase(role);
      return;
    }
    const transport::MembershipRequest addition{node->replica()->group(), {}, added, false};
    const transport::MembershipRequest removal{node->replica()->group(), {}, lost, true};
    const auto& next = membership.isVoter(added) ? removal : addition;
    node->post(node->epoch(), [node, next] { node->receive({}, next); });
  }
  environment_.loop.scheduleAfter(kMembershipRetryInterval,
                                  [this, role, lost, added] { replaceMember(role, lost, added); });
}

}  // namespace tackpick::simulation
