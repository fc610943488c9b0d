/// \file
/// Brings about faults at random moments, and repairs them.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "simulation/environment.h"
#include "simulation/node_host.h"
#include "simulation/operator_actor.h"

namespace tackpick::simulation {

/// Faults come at exponentially distributed intervals, each kind by itself, so that any may come
/// together or twice. Only one disk of a group is lost at a time: a second one only after the first
/// machine was replaced and had caught up, which may be the very moment after.
class FaultInjector {
 public:
  FaultInjector(Environment& environment, OperatorActor& drainer);

  void start();
  /// No more faults; everything is repaired and restarted.
  void stop();

 private:
  using Fault = std::function<void()>;

  void repeat(base::Duration meanInterval, const Fault& fault);
  /// Brings about a fault of a trace: kill-gateway, kill-ledger, kill-controller, crash-engine,
  /// fail-swap, stop-gateway, freeze-gateway. Unknown names break the run.
  void cause(const std::string& name);
  [[nodiscard]] std::vector<NodeHost*> nodesOf(NodeRole role) const;
  [[nodiscard]] NodeHost* pick(const std::vector<NodeHost*>& nodes);
  [[nodiscard]] NodeHost* pickOf(NodeRole role) { return pick(nodesOf(role)); }
  /// The replica that believes to lead, or any.
  [[nodiscard]] NodeHost* leaderOf(NodeRole role);
  [[nodiscard]] EngineHost* pickEngine();

  void killForAWhile(NodeHost* node);
  void freezeForAWhile(NodeHost* node);
  void stopForAWhile(NodeHost* node);
  void restartOnceStopped(NodeHost* node);
  void cutLink();
  /// Cuts the node off from the others of its role.
  void isolate(NodeHost* node, base::Duration longest);
  void deposeLeader();
  void loseControlPlane();
  void failSync();
  void crashEngine();
  void leaveEngine();
  void drainEngine();

  // Lost disks.
  void loseDisk();
  /// Repeats the two membership changes until the new machine votes and the old one is gone.
  void replaceMember(NodeRole role, base::NodeId lost, base::NodeId added);

  Environment& environment_;
  OperatorActor& drainer_;
  bool stopped_ = false;
  std::set<NodeRole> repairing_;  ///< groups that lost a disk and are not whole again
};

}  // namespace tackpick::simulation
