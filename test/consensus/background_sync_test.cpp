/// Tests Raft with asynchronous syncs and power loss at any point.
#include <criterion/criterion.h>

#include <deque>

#include "consensus/raft_consensus.h"
#include "simulation/simulated_disk.h"
#include "storage/manual_executor.h"
#include "storage/segmented_log.h"

namespace base = tackpick::base;
namespace consensus = tackpick::consensus;
namespace simulation = tackpick::simulation;
namespace storage = tackpick::storage;

namespace {

constexpr base::GroupId kGroup{1};
constexpr std::uint32_t kServers = 3;

std::set<base::NodeId> allVoters() {
  std::set<base::NodeId> voters;
  for (std::uint32_t i = 1; i <= kServers; ++i) {
    voters.insert(base::makeNodeId(i, 0));
  }
  return voters;
}

/// A server with a simulated disk and a manual executor.
struct Server {
  explicit Server(std::uint32_t number) : id(base::makeNodeId(number, 0)), random(number) {}

  void start(base::TimePoint now, consensus::RaftSettings settings) {
    log = base::recover(
        [&] {
          return storage::SegmentedLog::open(disk, {"cluster", id, kGroup}, {allVoters(), {}},
                                             &executor);
        },
        [](const base::Error&) { return std::unique_ptr<storage::SegmentedLog>(); });
    raft = std::make_unique<consensus::RaftConsensus>(id, settings, *log, random, now);
    applied = log->snapshot().lastIndex;
  }

  void losePower(base::Random& faultRandom) {
    raft.reset();
    executor.drop();
    log.reset();
    disk.crash(faultRandom);
  }

  base::NodeId id;
  base::SeededRandom random;
  simulation::SimulatedDisk disk;
  storage::ManualExecutor executor;
  std::unique_ptr<storage::SegmentedLog> log;
  std::unique_ptr<consensus::RaftConsensus> raft;
  consensus::LogIndex applied = 0;
};

struct InFlightMessage {
  base::NodeId from;
  base::NodeId to;
  consensus::RaftMessage message;
};

/// Three servers with a random order of messages, syncs and power losses.
class RaftSimulation {
 public:
  RaftSimulation(std::uint64_t seed, consensus::RaftSettings settings)
      : m_random(seed), m_settings(settings) {
    for (std::uint32_t i = 1; i <= kServers; ++i) {
      m_servers.push_back(std::make_unique<Server>(i));
      m_servers.back()->start(m_now, m_settings);
    }
  }

  /// Returns false if two servers committed different commands at the same index.
  bool run(int steps) {
    for (int i = 0; i < steps && m_consistent; ++i) {
      step();
    }
    return m_consistent;
  }
  [[nodiscard]] std::size_t committed() const { return m_committed.size(); }

 private:
  Server& randomServer() { return *m_servers[m_random.below(kServers)]; }

  void step() {
    constexpr std::uint64_t kKinds = 100;
    constexpr std::uint64_t kSync = 30;
    constexpr std::uint64_t kDeliver = 80;
    constexpr std::uint64_t kPropose = 90;
    constexpr std::uint64_t kCompact = 91;
    constexpr std::uint64_t kTick = 99;
    const std::uint64_t kind = m_random.below(kKinds);
    Server& server = randomServer();
    if (kind < kSync) {
      server.executor.finish();
    } else if (kind < kDeliver) {
      deliver();
    } else if (kind < kPropose) {
      server.raft->propose("command" + std::to_string(++m_proposed), m_now);
    } else if (kind < kCompact) {
      if (!server.log->compacting()) {
        server.raft->compact(server.applied, "state");
      }
    } else if (kind < kTick) {
      m_now += base::milliseconds(20);
      server.raft->tick(m_now);
    } else {
      server.losePower(m_random);
      server.start(m_now, m_settings);
    }
    collect(server);
  }

  void deliver() {
    if (m_network.empty()) {
      return;
    }
    InFlightMessage next = std::move(m_network.front());
    m_network.pop_front();
    for (const auto& server : m_servers) {
      if (server->id == next.to) {
        server->raft->handle(next.from, next.message, m_now);
        collect(*server);
      }
    }
  }

  void collect(Server& server) {
    for (consensus::OutgoingRaftMessage& outgoing : server.raft->flush(m_now)) {
      m_network.push_back({server.id, outgoing.to, std::move(outgoing.message)});
    }
    if (const auto snapshot = server.raft->takeReceivedSnapshot()) {
      server.applied = snapshot->lastIndex;
    }
    for (const consensus::LogEntry& entry : server.raft->takeCommitted()) {
      server.applied = entry.index;
      const auto [known, added] = m_committed.try_emplace(entry.index, entry.payload);
      m_consistent = m_consistent && known->second == entry.payload;
    }
  }

  base::SeededRandom m_random;
  consensus::RaftSettings m_settings;
  base::TimePoint m_now{};
  std::vector<std::unique_ptr<Server>> m_servers;
  std::deque<InFlightMessage> m_network;
  std::map<consensus::LogIndex, base::Bytes> m_committed;
  int m_proposed = 0;
  bool m_consistent = true;
};

constexpr int kSteps = 6000;

}  // namespace

Test(background_sync, committed_entries_survive_power_loss_at_any_point) {
  std::size_t committed = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    RaftSimulation raftSimulation(seed, {});
    cr_assert(raftSimulation.run(kSteps), "seed %lu", static_cast<unsigned long>(seed));
    committed += raftSimulation.committed();
  }
  cr_assert_gt(committed, 400U, "the servers committed entries");
}

Test(background_sync, acknowledgement_before_the_sync_is_detected) {
  consensus::RaftSettings settings;
  settings.mutants.acknowledgeBeforeSync = true;
  bool detected = false;
  for (std::uint64_t seed = 1; seed <= 40 && !detected; ++seed) {
    RaftSimulation raftSimulation(seed, settings);
    detected = !raftSimulation.run(kSteps);
  }
  cr_assert(detected);
}

Test(background_sync, entries_are_sent_before_they_are_durable_on_the_leader) {
  std::vector<std::unique_ptr<Server>> servers;
  base::TimePoint now{};
  for (std::uint32_t i = 1; i <= kServers; ++i) {
    servers.push_back(std::make_unique<Server>(i));
    servers.back()->start(now, {});
  }
  const auto exchange = [&](bool leaderDisk) {
    for (const auto& server : servers) {
      if (leaderDisk || !server->raft->isLeader()) {
        server->executor.finish();
      }
      for (consensus::OutgoingRaftMessage& outgoing : server->raft->flush(now)) {
        servers[base::nodeNumber(outgoing.to) - 1]->raft->handle(server->id, outgoing.message, now);
      }
    }
  };
  const auto leader = [&]() -> Server* {
    for (const auto& server : servers) {
      if (server->raft->isLeader()) {
        return server.get();
      }
    }
    return nullptr;
  };
  for (int i = 0; i < 200 && leader() == nullptr; ++i) {
    now += base::milliseconds(20);
    for (const auto& server : servers) {
      server->raft->tick(now);
    }
    exchange(true);
  }
  cr_assert_not_null(leader());
  for (int i = 0; i < 10; ++i) {
    exchange(true);
  }
  const auto index = leader()->raft->propose("one", now);
  cr_assert(index.has_value());
  for (int i = 0; i < 10; ++i) {
    exchange(false);
  }
  cr_assert(leader()->executor.running(), "the sync of the leader is still in progress");
  cr_assert_geq(leader()->raft->commitIndex(), *index, "the two other servers are a quorum");
}
