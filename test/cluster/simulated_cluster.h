/// \file
/// Simulated cluster in virtual time: the production roles of controllers, ledgers and gateways on
/// a network that delays and loses messages, with crashes and lost disks. A run is determined by
/// its seed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "cluster/cluster_member.h"
#include "directory/directory_role.h"
#include "jobs/job_role.h"
#include "simulation/simulated_disk.h"
#include "storage/segmented_log.h"

namespace tackpick::test {

/// A machine and its process.
struct SimulatedNode {
  std::uint32_t number = 0;
  directory::NodeRole role = directory::NodeRole::kGateway;
  bool running = false;
  bool removed = false;        ///< removed permanently
  std::uint64_t epoch = 0;     ///< number of process starts
  std::uint32_t instance = 0;  ///< identity of the disk
  std::unique_ptr<simulation::SimulatedDisk> disk;
  std::unique_ptr<storage::SegmentedLog> log;
  std::unique_ptr<directory::DirectoryRole> controller;
  std::unique_ptr<jobs::JobRole> ledger;
  std::unique_ptr<cluster::ClusterMember> member;

  [[nodiscard]] base::NodeId id() const { return base::makeNodeId(number, instance); }
  /// Returns the Raft server of a running controller or ledger, otherwise nullptr.
  [[nodiscard]] const consensus::RaftConsensus* raft() const;
};

/// Initial machines by number. Controllers 1, 2 and 3 are the seeds.
struct SimulatedClusterLayout {
  std::uint32_t toleratedLosses = 1;  ///< disks that may be lost simultaneously
  std::vector<std::uint32_t> controllers = {1, 2, 3};
  std::vector<std::uint32_t> ledgers = {11, 12, 13, 14};
  std::vector<std::uint32_t> gateways = {21, 22};
};

/// Cluster of simulated nodes.
class SimulatedCluster {
 public:
  /// `replica` may enable mutants, which are deliberate faults.
  explicit SimulatedCluster(std::uint64_t seed, consensus::ReplicaSettings replica = {},
                            SimulatedClusterLayout layout = {});

  /// Runs for `time`; `onStep` is called every 20 ms.
  void run(base::Duration time, const std::function<void()>& onStep);
  void kill(SimulatedNode& node);
  /// Kills the node and replaces its disk by an empty one.
  void wipe(SimulatedNode& node);
  void start(SimulatedNode& node);
  /// Removes the machine permanently.
  void remove(SimulatedNode& node);
  /// Adds and starts a machine with an empty disk at an unused address.
  SimulatedNode& add(std::uint32_t number, directory::NodeRole role);
  /// Starts or ends a network partition between two nodes.
  void setPartition(const SimulatedNode& one, const SimulatedNode& other, bool partitioned);
  void healAll() { m_partitions.clear(); }
  /// Whether all members of the role's group are running, and it has as many voters as the
  /// tolerated losses require.
  [[nodiscard]] bool isComplete(directory::NodeRole role) const;

  [[nodiscard]] SimulatedNode& node(std::uint32_t number) { return nodes_.at(number); }
  [[nodiscard]] std::map<std::uint32_t, SimulatedNode>& nodes() { return nodes_; }
  [[nodiscard]] base::TimePoint now() const { return now_; }
  [[nodiscard]] base::Random& random() { return random_; }
  double lossProbability = 0.01;  ///< probability that a message is lost

 private:
  struct Delivery {
    base::TimePoint at{};
    std::uint64_t sequence = 0;
    base::NodeId from;
    base::NodeId to;
    transport::InternalMessage message;
    bool operator>(const Delivery& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
    }
  };

  [[nodiscard]] std::size_t targetVoters() const { return 2 * m_layout.toleratedLosses + 1; }
  [[nodiscard]] std::uint32_t randomInstanceId();
  /// Returns the seeds of a process that starts now: three controllers that have not been removed.
  [[nodiscard]] std::vector<base::NodeId> seeds() const;
  void openLog(SimulatedNode& node, base::GroupId group,
               const std::set<base::NodeId>& initialVoters);
  void openLedger(SimulatedNode& node, const std::set<base::NodeId>& initialVoters);
  void onView(SimulatedNode& node, const directory::DirectoryView& view);
  /// Ends the node's turn and sends its messages.
  void endTurn(SimulatedNode& node);
  void send(const SimulatedNode& from, const transport::Outbox& outbox);
  void deliver(const Delivery& delivery);

  base::SeededRandom random_;
  const consensus::ReplicaSettings replica_;
  const SimulatedClusterLayout m_layout;
  base::TimePoint now_{base::seconds(100)};
  base::SystemWallTimeSource wall_;
  std::map<std::uint32_t, SimulatedNode> nodes_;
  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> network_;
  std::uint64_t next_delivery_ = 0;
  std::set<std::pair<std::uint32_t, std::uint32_t>> m_partitions;
};

}  // namespace tackpick::test
