#include "simulation/fault_injector.h"

#include <utility>

#include "simulation/engine_host.h"
#include "simulation/platform.h"

namespace tackpick::simulation {
namespace {

constexpr base::Duration kMinOutage = base::milliseconds(20);
constexpr base::Duration kMaxOutage = base::milliseconds(2500);
/// Longer than every lease.
constexpr base::Duration kMinFreeze = base::milliseconds(300);
constexpr base::Duration kMaxFreeze = base::seconds(8);
constexpr base::Duration kMembershipInterval = base::milliseconds(150);

}  // namespace

FaultInjector::FaultInjector(Environment& environment, OperatorActor& drainer)
    : environment_(environment), drainer_(drainer) {}

void FaultInjector::start() {
  const FaultIntervals& faults = environment_.options.faults;
  repeat(faults.killGateway, [this] { killForAWhile(pickOf(NodeRole::kGateway)); });
  repeat(faults.killLedger, [this] { killForAWhile(leaderOf(NodeRole::kLedger)); });
  repeat(faults.killController, [this] { killForAWhile(leaderOf(NodeRole::kController)); });
  repeat(faults.freezeNode,
         [this] { freezeForAWhile(pickOf(static_cast<NodeRole>(environment_.random.below(3)))); });
  repeat(faults.cutLink, [this] { cutLink(); });
  repeat(faults.deposeLeader, [this] { deposeLeader(); });
  repeat(faults.isolateLeader, [this] { isolate(leaderOf(NodeRole::kController), kMaxFreeze); });
  repeat(faults.loseDisk, [this] { loseDisk(); });
  repeat(faults.failSync, [this] { failSync(); });
  repeat(faults.stopController, [this] { stopForAWhile(leaderOf(NodeRole::kController)); });
  repeat(faults.stopLedger, [this] { stopForAWhile(leaderOf(NodeRole::kLedger)); });
  repeat(faults.stopGateway, [this] { stopForAWhile(pickOf(NodeRole::kGateway)); });
  repeat(faults.loseControlPlane, [this] { loseControlPlane(); });
  repeat(faults.crashEngine, [this] { crashEngine(); });
  repeat(faults.failSwap, [this] { pickEngine()->failNextSwap(); });
  repeat(faults.leaveEngine, [this] { leaveEngine(); });
  repeat(faults.drainEngine, [this] { drainEngine(); });
  const std::shared_ptr<const Trace>& trace = environment_.options.load.trace;
  if (trace) {
    for (const TracedFault& fault : trace->faults) {
      environment_.loop.after(fault.at, [this, name = fault.name] { cause(name); });
    }
  }
}

void FaultInjector::cause(const std::string& name) {
  environment_.say("traced fault " + name);
  if (name == "kill-gateway") {
    killForAWhile(pickOf(NodeRole::kGateway));
  } else if (name == "kill-ledger") {
    killForAWhile(leaderOf(NodeRole::kLedger));
  } else if (name == "kill-controller") {
    killForAWhile(leaderOf(NodeRole::kController));
  } else if (name == "crash-engine") {
    crashEngine();
  } else if (name == "fail-swap") {
    pickEngine()->failNextSwap();
  } else if (name == "stop-gateway") {
    stopForAWhile(pickOf(NodeRole::kGateway));
  } else if (name == "freeze-gateway") {
    freezeForAWhile(pickOf(NodeRole::kGateway));
  } else {
    environment_.observations.broken(Promise::kProgress, "the trace names no fault " + name);
  }
}

void FaultInjector::stop() {
  stopped_ = true;
  environment_.network.healAll();
  for (const auto& node : environment_.nodes) {
    node->thaw();
    node->restart();
  }
  for (const auto& engine : environment_.engines) {
    if (!engine->isRunning()) {
      engine->start();
    }
  }
}

void FaultInjector::repeat(base::Duration meanInterval, const Fault& fault) {
  if (meanInterval.count() == 0) {
    return;
  }
  const double mean = static_cast<double>(meanInterval.count());
  const base::Duration gap(static_cast<base::Duration::rep>(environment_.random.exponential(mean)) +
                           1);
  environment_.loop.after(gap, [this, meanInterval, fault] {
    if (!stopped_) {
      fault();
      repeat(meanInterval, fault);
    }
  });
}

std::vector<NodeHost*> FaultInjector::nodesOf(NodeRole role) const {
  std::vector<NodeHost*> nodes;
  for (const auto& node : environment_.nodes) {
    if (node->role() == role) {
      nodes.push_back(node.get());
    }
  }
  return nodes;
}

NodeHost* FaultInjector::pick(const std::vector<NodeHost*>& nodes) {
  return nodes[environment_.random.below(nodes.size())];
}

NodeHost* FaultInjector::leaderOf(NodeRole role) {
  const std::vector<NodeHost*> nodes = nodesOf(role);
  for (NodeHost* node : nodes) {
    if (node->isRunning() && node->replica()->raft().isLeader() &&
        environment_.random.chance(0.7)) {
      return node;
    }
  }
  return pick(nodes);
}

EngineHost* FaultInjector::pickEngine() {
  return environment_.engines[environment_.random.below(environment_.engines.size())].get();
}

void FaultInjector::killForAWhile(NodeHost* node) {
  if (!node->isRunning()) {
    return;
  }
  node->kill();
  environment_.loop.after(environment_.drawBetween(kMinOutage, kMaxOutage),
                          [node] { node->restart(); });
}

void FaultInjector::freezeForAWhile(NodeHost* node) {
  if (!node->isRunning() || node->isFrozen() || node->isStopping()) {
    return;
  }
  environment_.say("node " + std::to_string(node->number()) + " freezes");
  node->freeze();
  environment_.loop.after(environment_.drawBetween(kMinFreeze, kMaxFreeze),
                          [node] { node->thaw(); });
}

void FaultInjector::stopForAWhile(NodeHost* node) {
  node->beginPlannedStop();
  restartOnceStopped(node);
}

void FaultInjector::restartOnceStopped(NodeHost* node) {
  environment_.loop.after(environment_.drawBetween(base::seconds(1), base::seconds(4)),
                          [this, node] {
                            if (node->isStopping()) {
                              restartOnceStopped(node);
                            } else {
                              node->restart();
                            }
                          });
}

void FaultInjector::cutLink() {
  const auto& nodes = environment_.nodes;
  const MachineId from = nodes[environment_.random.below(nodes.size())]->machine();
  MachineId to = nodes[environment_.random.below(nodes.size())]->machine();
  if (environment_.random.chance(0.3)) {
    to = pickEngine()->machine();
  }
  const bool bothWays = environment_.random.chance(0.5);
  environment_.network.cut(from, to);
  if (bothWays) {
    environment_.network.cut(to, from);
  }
  environment_.loop.after(environment_.drawBetween(kMinFreeze, kMaxFreeze), [this, from, to] {
    environment_.network.heal(from, to);
    environment_.network.heal(to, from);
  });
}

void FaultInjector::isolate(NodeHost* leader, base::Duration longest) {
  environment_.say("node " + std::to_string(leader->number()) + " is cut off from its group");
  const auto others = nodesOf(leader->role());
  for (const NodeHost* other : others) {
    environment_.network.cut(leader->machine(), other->machine());
    environment_.network.cut(other->machine(), leader->machine());
  }
  environment_.loop.after(environment_.drawBetween(base::seconds(1), longest),
                          [this, leader, others] {
                            for (const NodeHost* other : others) {
                              environment_.network.heal(leader->machine(), other->machine());
                              environment_.network.heal(other->machine(), leader->machine());
                            }
                          });
}

void FaultInjector::deposeLeader() {
  NodeHost* leader = leaderOf(NodeRole::kController);
  const NodeHost* deaf = pickOf(NodeRole::kController);
  environment_.network.cut(leader->machine(), deaf->machine());
  environment_.network.cut(deaf->machine(), leader->machine());
  environment_.loop.after(
      environment_.drawBetween(base::milliseconds(400), base::milliseconds(800)),
      [this, leader] { isolate(leader, base::seconds(2)); });
  environment_.loop.after(base::seconds(2), [this, leader, deaf] {
    environment_.network.heal(leader->machine(), deaf->machine());
    environment_.network.heal(deaf->machine(), leader->machine());
  });
}

void FaultInjector::loseControlPlane() {
  const auto controllers = nodesOf(NodeRole::kController);
  const base::Duration outage = environment_.drawBetween(base::seconds(2), base::seconds(9));
  for (NodeHost* node : controllers) {
    node->kill();
    environment_.loop.after(outage, [node] { node->restart(); });
  }
}

void FaultInjector::failSync() {
  NodeHost* node = environment_.random.chance(0.5) ? leaderOf(NodeRole::kLedger)
                                                   : leaderOf(NodeRole::kController);
  node->disk().failSyncs();
  environment_.loop.after(environment_.drawBetween(kMinOutage, kMaxOutage), [node] {
    node->disk().repair();
    node->restart();
  });
}

void FaultInjector::crashEngine() {
  EngineHost* engine = pickEngine();
  if (!engine->isRunning()) {
    return;
  }
  engine->crash();
  environment_.loop.after(environment_.drawBetween(kMinOutage, kMaxOutage), [engine] {
    if (!engine->isRunning()) {
      engine->start();
    }
  });
}

void FaultInjector::leaveEngine() {
  EngineHost* engine = pickEngine();
  if (!engine->isRunning()) {
    return;
  }
  if (environment_.random.chance(0.5)) {
    engine->startDraining();
  } else {
    environment_.platform->markDraining(engine->id());
  }
  // The machine goes away and comes back as a new incarnation.
  environment_.loop.after(environment_.drawBetween(base::seconds(6), base::seconds(10)), [engine] {
    engine->crash();
    engine->start();
  });
}

void FaultInjector::drainEngine() {
  const base::EngineId engine = pickEngine()->id();
  drainer_.drain(engine, true);
  environment_.loop.after(environment_.drawBetween(base::seconds(6), base::seconds(10)),
                          [this, engine] { drainer_.drain(engine, false); });
}

void FaultInjector::loseDisk() {
  const NodeRole role = environment_.random.chance(0.5) ? NodeRole::kController : NodeRole::kLedger;
  if (!repairing_.insert(role).second) {
    return;
  }
  NodeHost* node = leaderOf(role);
  environment_.say("node " + std::to_string(node->number()) + " loses its disk");
  const base::NodeId lost = node->id();
  const base::NodeId added = node->replace();
  replaceMember(role, lost, added);
}

void FaultInjector::replaceMember(NodeRole role, base::NodeId lost, base::NodeId added) {
  for (NodeHost* node : nodesOf(role)) {
    if (!node->isRunning() || node->isFrozen() || !node->replica()->raft().isLeader()) {
      continue;
    }
    // The operator's two calls, addressed to the leader; refused while another change is pending.
    consensus::RaftConsensus& raft = node->replica()->raft();
    const consensus::Membership& membership = raft.membership();
    const bool settled = raft.hasCommittedInTerm() && !raft.membershipChangePending();
    if (settled && membership.isVoter(added) && !membership.contains(lost)) {
      repairing_.erase(role);
      return;
    }
    const transport::MembershipRequest request{node->replica()->group(), {}, added, false};
    const transport::MembershipRequest removal{node->replica()->group(), {}, lost, true};
    const auto& next = membership.isVoter(added) ? removal : request;
    node->post(node->epoch(), [node, next] { node->receive({}, next); });
  }
  environment_.loop.after(kMembershipInterval,
                          [this, role, lost, added] { replaceMember(role, lost, added); });
}

}  // namespace tackpick::simulation
