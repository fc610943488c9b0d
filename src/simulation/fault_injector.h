/// \file
/// Injection of faults at random times.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "simulation/environment.h"
#include "simulation/operator_actor.h"
#include "simulation/simulated_node.h"

namespace tackpick::simulation {

/// Injects faults and repairs them after a random time. Each kind of fault has its own
/// exponentially distributed intervals, so faults may overlap. Only one member of a group at a time
/// loses its disk: the next one only after the first has been replaced by a new voter.
class FaultInjector {
 public:
  FaultInjector(Environment& environment, OperatorActor& drainOperator);

  void start();
  /// Ends the injection, heals the network and restarts all processes.
  void stop();

 private:
  using FaultAction = std::function<void()>;

  void injectRepeatedly(base::Duration meanInterval, const FaultAction& fault);
  /// Injects a fault of a trace: kill-gateway, kill-ledger, kill-controller, crash-engine,
  /// fail-swap, stop-gateway or freeze-gateway. An unknown name is reported as a violation.
  void injectNamed(const std::string& name);
  [[nodiscard]] std::vector<SimulatedNode*> nodesWithRole(NodeRole role) const;
  [[nodiscard]] SimulatedNode* randomNode(const std::vector<SimulatedNode*>& nodes);
  [[nodiscard]] SimulatedNode* randomNodeWithRole(NodeRole role) {
    return randomNode(nodesWithRole(role));
  }
  /// Usually returns a node that considers itself the leader, otherwise a random node of the role.
  [[nodiscard]] SimulatedNode* leaderOrRandom(NodeRole role);
  [[nodiscard]] SimulatedEngine* randomEngine();

  void killTemporarily(SimulatedNode* node);
  void suspendTemporarily(SimulatedNode* node);
  void shutDownTemporarily(SimulatedNode* node);
  void restartAfterShutdown(SimulatedNode* node);
  void partitionLink();
  /// Partitions the node from the other nodes of its role for up to `max`.
  void isolateFromGroup(SimulatedNode* node, base::Duration max);
  /// Partitions one controller from the leader, then the leader from all controllers, so that
  /// the controller that was partitioned first can be elected.
  void deposeLeader();
  void killAllControllers();
  void failSync();
  void crashEngine();
  void announceEngineLeave();
  void drainEngine();

  // Replacement of lost disks.
  void loseDisk();
  /// Repeats the two membership changes until `added` is a voter and `lost` is removed.
  void replaceMember(NodeRole role, base::NodeId lost, base::NodeId added);

  Environment& environment_;
  OperatorActor& m_drainOperator;
  bool stopped_ = false;
  std::set<NodeRole> m_rolesUnderRepair;  ///< roles with a member that is being replaced
};

}  // namespace tackpick::simulation
