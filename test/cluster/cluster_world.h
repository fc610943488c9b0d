/// \file
/// A self-formed cluster in virtual time: the shipped decision modules of controllers, ledgers and
/// gateways, with a network that delays and loses, machines that die and disks that vanish. One
/// seed decides everything.
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

/// One machine with its process, when it runs.
struct WorldNode {
  std::uint32_t number = 0;
  directory::NodeRole role = directory::NodeRole::kGateway;
  bool running = false;
  bool gone = false;           ///< taken away for good
  std::uint64_t epoch = 0;     ///< of the running process
  std::uint32_t instance = 0;  ///< of the disk
  std::unique_ptr<simulation::SimulatedDisk> disk;
  std::unique_ptr<storage::SegmentedLog> log;
  std::unique_ptr<directory::DirectoryRole> controller;
  std::unique_ptr<jobs::JobRole> ledger;
  std::unique_ptr<cluster::ClusterMember> member;

  [[nodiscard]] base::NodeId id() const { return base::makeNodeId(number, instance); }
  [[nodiscard]] const consensus::RaftConsensus* raft() const;
};

/// Which machines there are at the start. Controllers 1, 2 and 3 are the seeds.
struct WorldLayout {
  std::uint32_t losses = 1;  ///< machines with disks that may be lost at once
  std::vector<std::uint32_t> controllers = {1, 2, 3};
  std::vector<std::uint32_t> ledgers = {11, 12, 13, 14};
  std::vector<std::uint32_t> gateways = {21, 22};
};

class ClusterWorld {
 public:
  /// `replica` may hold mutants: mechanisms broken on purpose.
  explicit ClusterWorld(std::uint64_t seed, consensus::ReplicaSettings replica = {},
                        WorldLayout layout = {});

  /// Runs for `time`; `onStep` is called every 20 ms.
  void run(base::Duration time, const std::function<void()>& onStep);
  void kill(WorldNode& node);
  /// Kills the node and takes its disk.
  void wipe(WorldNode& node);
  void start(WorldNode& node);
  /// The machine is taken away for good.
  void remove(WorldNode& node);
  /// Adds a machine with an empty disk at an address that nobody had, and starts it.
  WorldNode& add(std::uint32_t number, directory::NodeRole role);
  /// While cut, nothing passes between the two.
  void setCut(const WorldNode& one, const WorldNode& other, bool cut);
  void healAll() { cuts_.clear(); }
  /// All members of the role's group are running nodes of now, and it has as many voters as the
  /// losses to be borne need.
  [[nodiscard]] bool isWhole(directory::NodeRole role) const;

  [[nodiscard]] WorldNode& node(std::uint32_t number) { return nodes_.at(number); }
  [[nodiscard]] std::map<std::uint32_t, WorldNode>& nodes() { return nodes_; }
  [[nodiscard]] base::TimePoint now() const { return now_; }
  [[nodiscard]] base::Random& random() { return random_; }
  double lossProbability = 0.01;

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

  [[nodiscard]] std::size_t wantedVoters() const { return 2 * m_layout.losses + 1; }
  [[nodiscard]] std::uint32_t drawInstance();
  /// What a process that starts now is told: three controllers that have not been taken away.
  [[nodiscard]] std::vector<base::NodeId> seeds() const;
  void openLog(WorldNode& node, base::GroupId group, const std::set<base::NodeId>& initialVoters);
  void openLedger(WorldNode& node, const std::set<base::NodeId>& initialVoters);
  void onView(WorldNode& node, const directory::DirectoryView& view);
  void turn(WorldNode& node);
  void send(const WorldNode& from, const transport::Outbox& outbox);
  void deliver(const Delivery& delivery);

  base::SeededRandom random_;
  const consensus::ReplicaSettings replica_;
  const WorldLayout m_layout;
  base::TimePoint now_{base::seconds(100)};
  base::SystemWallTimeSource wall_;
  std::map<std::uint32_t, WorldNode> nodes_;
  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> network_;
  std::uint64_t next_delivery_ = 0;
  std::set<std::pair<std::uint32_t, std::uint32_t>> cuts_;
};

}  // namespace tackpick::test
