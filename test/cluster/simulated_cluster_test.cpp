/// Tests that acknowledged changes survive crashes, lost disks, partitions and lost messages.
#include "cluster/simulated_cluster.h"

#include <criterion/criterion.h>

#include <cstdlib>

namespace base = tackpick::base;
namespace directory = tackpick::directory;
namespace jobs = tackpick::jobs;
using tackpick::test::SimulatedCluster;
using tackpick::test::SimulatedNode;

namespace {

constexpr std::uint32_t kFirstGateway = 21;
constexpr std::uint32_t kItems = 4;

/// Clients that change the configuration, submit and read jobs, and run items. They verify the
/// responses.
class Clients {
 public:
  explicit Clients(SimulatedCluster& cluster) : m_cluster(cluster) {}

  void step() {
    const auto every = [this](std::uint64_t steps) { return steps_ % steps == 0; };
    ++steps_;
    for (const std::uint32_t number : {kFirstGateway, kFirstGateway + 1}) {
      SimulatedNode& gateway = m_cluster.node(number);
      if (!gateway.running) {
        continue;
      }
      if (every(25)) {
        changeConfiguration(gateway);
        submit(gateway);
      }
      if (every(10)) {
        readConfiguration(gateway);
        readJob(gateway);
      }
      if (every(8)) {
        runItems(gateway);
      }
    }
  }
  /// Verifies that all acknowledged changes and jobs can be read.
  void verifyAcknowledged() {
    // Pending calls may still be acknowledged.
    m_cluster.run(base::seconds(5), [] {});
    found_.clear();
    last_read_ = 0;
    for (int round = 0; round < 40 && (found_.size() < accepted_.size() || last_read_ == 0);
         ++round) {
      for (const std::string& id : accepted_) {
        read(m_cluster.node(kFirstGateway), id);
      }
      readConfiguration(m_cluster.node(kFirstGateway));
      m_cluster.run(base::milliseconds(500), [] {});
    }
    if (found_.size() < accepted_.size()) {
      problem_ = "accepted jobs are lost or cannot be read";
    }
    if (last_read_ < acknowledged_) {
      problem_ = "the acknowledged configuration cannot be read";
    }
  }
  [[nodiscard]] const std::string& problem() const { return problem_; }
  [[nodiscard]] std::uint64_t acknowledged() const { return acknowledged_; }
  [[nodiscard]] std::size_t accepted() const { return accepted_.size(); }
  [[nodiscard]] std::size_t resultsSeen() const { return results_seen_; }

 private:
  void changeConfiguration(SimulatedNode& gateway) {
    directory::Configuration configuration;
    configuration.version = ++version_;
    configuration.document = std::to_string(configuration.version);
    gateway.member->call(
        directory::DirectoryRequest{directory::ReplaceConfiguration{configuration}},
        base::seconds(3), m_cluster.now(),
        [this, version = version_](const directory::DirectoryReply* reply) {
          if (reply != nullptr && reply->status == directory::DirectoryStatus::kDone) {
            acknowledged_ = std::max(acknowledged_, version);
          }
        });
  }
  void readConfiguration(SimulatedNode& gateway) {
    gateway.member->call(
        directory::DirectoryRequest{directory::ReadConfiguration{}}, base::seconds(2),
        m_cluster.now(),
        [this, minVersion = acknowledged_](const directory::DirectoryReply* reply) {
          if (reply == nullptr || (minVersion == 0 && reply->text.empty())) {
            return;
          }
          last_read_ = reply->text.empty() ? 0 : std::stoull(reply->text);
          if (last_read_ < minVersion) {
            problem_ = "a read returned a version older than one acknowledged before the read";
          }
        });
  }
  void submit(SimulatedNode& gateway) {
    jobs::SubmitJob request;
    request.job.id = "job" + std::to_string(++jobs_);
    request.job.queueTimeout = base::seconds(1000);
    for (std::uint32_t i = 0; i < kItems; ++i) {
      request.job.items.push_back({"i" + std::to_string(i), "/", {}, "body", "g", i});
    }
    gateway.member->call(jobs::JobRequest{request}, base::seconds(3), m_cluster.now(),
                         [this, id = request.job.id](const jobs::JobReply* reply) {
                           if (reply != nullptr) {
                             accepted_.insert(id);
                           }
                         });
  }
  void readJob(SimulatedNode& gateway) {
    if (accepted_.empty()) {
      return;
    }
    auto chosen = accepted_.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(m_cluster.random().below(accepted_.size())));
    read(gateway, *chosen);
  }
  void read(SimulatedNode& gateway, const std::string& id) {
    gateway.member->call(
        jobs::JobRequest{jobs::ReadJob{id, 0, base::Duration{0}}}, base::seconds(2),
        m_cluster.now(), [this, id](const jobs::JobReply* reply) {
          if (reply == nullptr) {
            return;
          }
          if (reply->status == jobs::JobStatus::kNotFound) {
            problem_ = "an accepted job is not found";
            return;
          }
          found_.insert(id);
          std::vector<std::string>& seen = m_resultsByJob[id];
          for (std::size_t at = 0; at < reply->results.size(); ++at) {
            const std::string text = reply->results[at].itemId + " " +
                                     reply->results[at].result.text.decompressedText().value();
            if (at >= seen.size()) {
              seen.push_back(text);
              ++results_seen_;
            } else if (seen[at] != text) {
              problem_ = "a result changed between two reads";
            }
          }
        });
  }
  void runItems(SimulatedNode& gateway) {
    jobs::LeaseItems lease;
    lease.freeSlots.add("", 1, 3);
    gateway.member->call(jobs::JobRequest{lease}, base::seconds(2), m_cluster.now(),
                         [this, &gateway](const jobs::JobReply* reply) {
                           if (reply == nullptr || reply->leased.empty() || !gateway.running) {
                             return;
                           }
                           jobs::CommitResults commit;
                           for (const jobs::LeasedItem& leased : reply->leased) {
                             const std::string text = "run" + std::to_string(++runs_);
                             commit.jobs.push_back({leased.key.job,
                                                    {{leased.key.item,
                                                      jobs::ItemState::kCompleted,
                                                      base::CompressedText(text),
                                                      {1}}}});
                           }
                           gateway.member->call(jobs::JobRequest{commit}, base::seconds(4),
                                                m_cluster.now(), [](const jobs::JobReply*) {});
                         });
  }

  SimulatedCluster& m_cluster;
  std::uint64_t steps_ = 0;
  std::uint64_t version_ = 0;
  std::uint64_t jobs_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t acknowledged_ = 0;
  std::uint64_t last_read_ = 0;
  std::size_t results_seen_ = 0;
  std::set<std::string> accepted_;
  std::set<std::string> found_;
  std::map<std::string, std::vector<std::string>> m_resultsByJob;
  std::string problem_;
};

/// Injects random crashes, lost disks and partitions. A disk is wiped only while both groups are
/// complete, as the default layout tolerates one lost disk at a time.
void injectFaults(SimulatedCluster& cluster, Clients& clients) {
  std::map<std::uint32_t, base::TimePoint> downUntil;
  for (int round = 0; round < 40 && clients.problem().empty(); ++round) {
    const std::uint64_t kind = cluster.random().below(4);
    std::vector<std::uint32_t> running;
    for (const auto& [number, node] : cluster.nodes()) {
      if (node.running) {
        running.push_back(number);
      }
    }
    SimulatedNode& victim = cluster.node(running.at(cluster.random().below(running.size())));
    SimulatedNode& other = cluster.node(running.at(cluster.random().below(running.size())));
    const auto back =
        cluster.now() + base::milliseconds(static_cast<int>(200 + cluster.random().below(2000)));
    const bool complete = cluster.isComplete(directory::NodeRole::kController) &&
                          cluster.isComplete(directory::NodeRole::kLedger);
    if (kind == 0 && complete && victim.role != directory::NodeRole::kGateway) {
      cluster.wipe(victim);
      downUntil[victim.number] = back;
    } else if (kind == 1) {
      cluster.kill(victim);
      downUntil[victim.number] = back;
    } else if (kind == 2) {
      cluster.setPartition(victim, other, true);
    } else {
      cluster.healAll();
    }
    cluster.run(base::milliseconds(static_cast<int>(300 + cluster.random().below(1200))), [&] {
      for (auto it = downUntil.begin(); it != downUntil.end();) {
        if (cluster.now() < it->second) {
          ++it;
          continue;
        }
        cluster.start(cluster.node(it->first));
        it = downUntil.erase(it);
      }
      clients.step();
    });
  }
  cluster.healAll();
  for (const auto& [number, until] : downUntil) {
    cluster.start(cluster.node(number));
  }
}

}  // namespace

Test(cluster_world, forms_itself) {
  SimulatedCluster cluster(1);
  Clients clients(cluster);
  cluster.run(base::seconds(6), [&] { clients.step(); });
  cr_assert(cluster.isComplete(directory::NodeRole::kController));
  cr_assert(cluster.isComplete(directory::NodeRole::kLedger));
  cr_assert_gt(clients.acknowledged(), 0U);
  cr_assert_gt(clients.accepted(), 0U);
  cr_assert_gt(clients.resultsSeen(), 0U);
}

namespace {

/// Returns the problem found in a run with injected faults, empty if none.
std::string runWithFaults(std::uint64_t seed, const tackpick::consensus::ReplicaSettings& replica) {
  SimulatedCluster cluster(seed, replica);
  Clients clients(cluster);
  cluster.run(base::seconds(5), [&] { clients.step(); });
  injectFaults(cluster, clients);
  cluster.run(base::seconds(12), [&] { clients.step(); });
  clients.verifyAcknowledged();
  if (clients.acknowledged() == 0 || clients.accepted() == 0) {
    return "nothing was acknowledged";
  }
  if (!clients.problem().empty()) {
    return clients.problem();
  }
  if (!cluster.isComplete(directory::NodeRole::kController)) {
    return "the controllers' group is not complete";
  }
  return cluster.isComplete(directory::NodeRole::kLedger) ? ""
                                                          : "the ledgers' group is not complete";
}

/// Whether some seed detects the mutant.
bool isDetected(const tackpick::consensus::ReplicaSettings& mutant) {
  constexpr std::uint64_t kSeeds = 300;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    if (!runWithFaults(seed, mutant).empty()) {
      return true;
    }
  }
  return false;
}

/// Number of seeds to run; the environment variable TACKPICK_CLUSTER_SEEDS overrides the default.
std::uint64_t seedsToRun() {
  constexpr std::uint64_t kSeeds = 60;
  const char* wanted = std::getenv("TACKPICK_CLUSTER_SEEDS");
  return wanted == nullptr ? kSeeds : std::stoull(wanted);
}

}  // namespace

Test(cluster_world, acknowledged_changes_survive_faults) {
  for (std::uint64_t seed = 1; seed <= seedsToRun(); ++seed) {
    const std::string problem = runWithFaults(seed, {});
    cr_assert(problem.empty(), "seed %lu: %s", static_cast<unsigned long>(seed), problem.c_str());
  }
}

Test(cluster_world, acknowledgement_before_sync_is_detected) {
  tackpick::consensus::ReplicaSettings mutant;
  mutant.raft.mutants.acknowledgeBeforeSync = true;
  cr_assert(isDetected(mutant));
}

Test(cluster_world, reading_without_a_lease_is_detected) {
  tackpick::consensus::ReplicaSettings mutant;
  mutant.mutants.readWithoutLease = true;
  cr_assert(isDetected(mutant));
}

Test(cluster_world, retired_ledger_leaves_its_group) {
  SimulatedCluster cluster(3);
  Clients clients(cluster);
  cluster.run(base::seconds(6), [&] { clients.step(); });
  std::uint32_t retiring = 0;
  for (const auto& [number, node] : cluster.nodes()) {
    if (node.role == directory::NodeRole::kLedger && node.raft()->isLeader()) {
      retiring = number;
    }
  }
  const std::string name = "node-" + std::to_string(retiring);
  directory::DirectoryStatus retireStatus = directory::DirectoryStatus::kNotFound;
  directory::DirectoryStatus state = directory::DirectoryStatus::kNotFound;
  SimulatedNode& gateway = cluster.node(kFirstGateway);
  const auto ask = [&](const directory::DirectoryRequest& request,
                       directory::DirectoryStatus& status) {
    gateway.member->call(request, base::seconds(3), cluster.now(),
                         [&](const directory::DirectoryReply* reply) {
                           status = reply == nullptr ? status : reply->status;
                         });
    cluster.run(base::seconds(4), [&] { clients.step(); });
  };
  ask(directory::RetireNode{"nobody"}, retireStatus);
  cr_assert(retireStatus == directory::DirectoryStatus::kNotFound);
  ask(directory::RetireNode{name}, retireStatus);
  cr_assert(retireStatus == directory::DirectoryStatus::kDone);
  ask(directory::ReadRetirement{name}, state);
  cr_assert(state == directory::DirectoryStatus::kDone, "the ledger has left its group");
  cluster.wipe(cluster.node(retiring));
  clients.verifyAcknowledged();
  cr_assert(clients.problem().empty(), "%s", clients.problem().c_str());
  ask(directory::RetireNode{"node-14"}, retireStatus);
  cr_assert(retireStatus != directory::DirectoryStatus::kDone || retiring == 14,
            "too few ledgers would remain");
}

namespace {

constexpr std::uint32_t kFirstSuccessor = 41;

/// Removes machines of a role one after the other. One second after each removal a machine with an
/// empty disk is added at another address; it has nine seconds to join the group.
void replaceNodes(SimulatedCluster& cluster, Clients& clients, directory::NodeRole role,
                  const std::vector<std::uint32_t>& lost) {
  std::uint32_t successor = kFirstSuccessor;
  for (const std::uint32_t number : lost) {
    cluster.remove(cluster.node(number));
    cluster.run(base::seconds(1), [&] { clients.step(); });
    cluster.add(successor++, role);
    cluster.run(base::seconds(9), [&] { clients.step(); });
  }
}

/// Kills all running nodes and restarts them after one second.
void losePowerEverywhere(SimulatedCluster& cluster) {
  std::vector<std::uint32_t> lost;
  for (auto& [number, node] : cluster.nodes()) {
    if (node.running) {
      cluster.kill(node);
      lost.push_back(number);
    }
  }
  cluster.run(base::seconds(1), [] {});
  for (const std::uint32_t number : lost) {
    cluster.start(cluster.node(number));
  }
}

}  // namespace

// Guards against voters that are lost permanently and never removed because the group has fewer
// machines than its target size: each replacement would raise the quorum until none is left.
Test(cluster_world, replaced_controllers_leave_a_group_below_its_size) {
  SimulatedCluster cluster(5, {}, {.toleratedLosses = 2});
  Clients clients(cluster);
  cluster.run(base::seconds(6), [&] { clients.step(); });
  replaceNodes(cluster, clients, directory::NodeRole::kController, {1, 2, 3});
  const std::uint64_t before = clients.acknowledged();
  cluster.run(base::seconds(3), [&] { clients.step(); });
  cr_assert_gt(clients.acknowledged(), before, "changes are accepted");
  losePowerEverywhere(cluster);
  cluster.run(base::seconds(5), [&] { clients.step(); });
  clients.verifyAcknowledged();
  cr_assert(clients.problem().empty(), "%s", clients.problem().c_str());
}

// Guards against lost ledger voters that are never removed: the group must still accept and return
// batches after all initial ledgers were replaced.
Test(cluster_world, replaced_ledgers_leave_a_group_below_its_size) {
  SimulatedCluster cluster(
      6, {}, {.toleratedLosses = 2, .controllers = {1, 2, 3, 4, 5}, .ledgers = {11, 12, 13}});
  Clients clients(cluster);
  cluster.run(base::seconds(12), [&] { clients.step(); });
  replaceNodes(cluster, clients, directory::NodeRole::kLedger, {11, 12, 13});
  const std::size_t before = clients.accepted();
  cluster.run(base::seconds(3), [&] { clients.step(); });
  cr_assert_gt(clients.accepted(), before, "batches are accepted");
  clients.verifyAcknowledged();
  cr_assert(clients.problem().empty(), "%s", clients.problem().c_str());
}

// The maximum tolerated number of disks is lost while all other processes lose power.
Test(cluster_world, group_of_target_size_tolerates_lost_disks_while_all_others_lose_power) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedCluster cluster(
        seed, {},
        {.toleratedLosses = 2, .controllers = {1, 2, 3, 4, 5}, .ledgers = {11, 12, 13, 14, 15}});
    Clients clients(cluster);
    cluster.run(base::seconds(12), [&] { clients.step(); });
    cr_assert(cluster.isComplete(directory::NodeRole::kController));
    for (const std::uint32_t number : {1U, 2U, 11U, 12U}) {
      cluster.wipe(cluster.node(number));
    }
    losePowerEverywhere(cluster);
    for (const std::uint32_t number : {1U, 2U, 11U, 12U}) {
      cluster.start(cluster.node(number));
    }
    cluster.run(base::seconds(12), [&] { clients.step(); });
    clients.verifyAcknowledged();
    cr_assert(clients.problem().empty(), "seed %lu: %s", static_cast<unsigned long>(seed),
              clients.problem().c_str());
    cr_assert(cluster.isComplete(directory::NodeRole::kController));
    cr_assert(cluster.isComplete(directory::NodeRole::kLedger));
  }
}

namespace {

/// Replaces all initial controllers and ledgers at other addresses in random order, with partitions
/// in between and a final power loss. Returns the problem found, empty if none.
std::string runWithReplacements(std::uint64_t seed,
                                const tackpick::test::SimulatedClusterLayout& layout) {
  SimulatedCluster cluster(seed, {}, layout);
  Clients clients(cluster);
  cluster.run(base::seconds(12), [&] { clients.step(); });
  std::vector<std::uint32_t> first = layout.controllers;
  first.insert(first.end(), layout.ledgers.begin(), layout.ledgers.end());
  std::uint32_t successor = kFirstSuccessor;
  while (!first.empty()) {
    const auto chosen =
        first.begin() + static_cast<std::ptrdiff_t>(cluster.random().below(first.size()));
    SimulatedNode& lost = cluster.node(*chosen);
    first.erase(chosen);
    cluster.remove(lost);
    cluster.run(base::milliseconds(static_cast<int>(500 + cluster.random().below(1500))),
                [&] { clients.step(); });
    cluster.add(successor++, lost.role);
    // A successor joins the group within this time.
    cluster.run(base::seconds(6), [&] { clients.step(); });
    SimulatedNode& gateway = cluster.node(kFirstGateway + 1);
    cluster.setPartition(gateway, cluster.node(successor - 1), true);
    cluster.run(base::seconds(1), [&] { clients.step(); });
    cluster.healAll();
  }
  losePowerEverywhere(cluster);
  cluster.run(base::seconds(8), [&] { clients.step(); });
  clients.verifyAcknowledged();
  return clients.problem();
}

}  // namespace

Test(cluster_world, all_initial_machines_can_be_replaced) {
  const std::vector<tackpick::test::SimulatedClusterLayout> layouts = {
      {.toleratedLosses = 1},
      {.toleratedLosses = 2, .ledgers = {11, 12, 13, 14, 15}},
      {.toleratedLosses = 2, .controllers = {1, 2, 3, 4}, .ledgers = {11, 12, 13, 14}},
      {.toleratedLosses = 2, .controllers = {1, 2, 3, 4, 5}, .ledgers = {11, 12, 13, 14, 15, 16}}};
  for (const tackpick::test::SimulatedClusterLayout& layout : layouts) {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      const std::string problem = runWithReplacements(seed, layout);
      cr_assert(problem.empty(), "seed %lu, %zu controllers: %s", static_cast<unsigned long>(seed),
                layout.controllers.size(), problem.c_str());
    }
  }
}
