#include "cluster/simulated_cluster.h"

namespace tackpick::test {
namespace {

constexpr base::Duration kStep = base::milliseconds(20);

std::set<base::NodeId> initialControllers() {
  return {base::makeNodeId(1, 0), base::makeNodeId(2, 0), base::makeNodeId(3, 0)};
}

}  // namespace

const consensus::RaftConsensus* SimulatedNode::raft() const {
  if (running && controller) {
    return &controller->replica().raft();
  }
  return running && ledger ? &ledger->replica().raft() : nullptr;
}

SimulatedCluster::SimulatedCluster(std::uint64_t seed, consensus::ReplicaSettings replica,
                                   SimulatedClusterLayout layout)
    : random_(seed), replica_(replica), m_layout(std::move(layout)) {
  const std::map<directory::NodeRole, std::vector<std::uint32_t>> machines = {
      {directory::NodeRole::kController, m_layout.controllers},
      {directory::NodeRole::kLedger, m_layout.ledgers},
      {directory::NodeRole::kGateway, m_layout.gateways}};
  for (const auto& [role, numbers] : machines) {
    for (const std::uint32_t number : numbers) {
      add(number, role);
    }
  }
}

std::uint32_t SimulatedCluster::randomInstanceId() {
  return static_cast<std::uint32_t>(random_.next() >> 33U) | 1U;
}

SimulatedNode& SimulatedCluster::add(std::uint32_t number, directory::NodeRole role) {
  SimulatedNode& node = nodes_[number];
  node.number = number;
  node.role = role;
  node.disk = std::make_unique<simulation::SimulatedDisk>();
  const bool isInitialVoter = initialControllers().contains(base::makeNodeId(number, 0));
  node.instance = isInitialVoter ? 0 : randomInstanceId();
  start(node);
  return node;
}

std::vector<base::NodeId> SimulatedCluster::seeds() const {
  constexpr std::size_t kSeeds = 3;
  const auto initialVoters = initialControllers();
  std::vector<base::NodeId> seeds;
  for (const base::NodeId voter : initialVoters) {
    const auto found = nodes_.find(base::nodeNumber(voter));
    if (found == nodes_.end() || !found->second.removed) {
      seeds.push_back(voter);
    }
  }
  for (const auto& [number, node] : nodes_) {
    const bool other = node.role == directory::NodeRole::kController && !node.removed &&
                       !initialVoters.contains(base::makeNodeId(number, 0));
    if (other && seeds.size() < kSeeds) {
      seeds.push_back(base::makeNodeId(number, 0));
    }
  }
  return seeds;
}

void SimulatedCluster::remove(SimulatedNode& node) {
  kill(node);
  node.removed = true;
}

void SimulatedCluster::start(SimulatedNode& node) {
  node.running = true;
  ++node.epoch;
  if (node.role == directory::NodeRole::kGateway) {
    node.instance = randomInstanceId();
  }
  directory::NodeRecord record;
  record.node = node.id();
  record.role = node.role;
  record.name = "node-" + std::to_string(node.number);
  record.controlAddress = record.name;
  cluster::ClusterMemberSettings member;
  member.directoryGroup = directory::kDirectoryGroup;
  member.ledgerGroup = directory::kLedgerGroup;
  member.seeds = seeds();
  node.member =
      std::make_unique<cluster::ClusterMember>(record, member, base::CallId{random_.next()});
  node.member->onView([this, &node](const directory::DirectoryView& view) { onView(node, view); });
  node.member->setLedgerMembershipSource([this, &node]() -> std::optional<consensus::Membership> {
    return node.ledger ? node.ledger->stableMembership(now_) : std::nullopt;
  });
  if (node.role == directory::NodeRole::kController) {
    openLog(node, directory::kDirectoryGroup, initialControllers());
    directory::DirectorySettings settings;
    settings.replica = replica_;
    settings.repair.targetSize = targetVoters();
    settings.initialLedgerVoters = targetVoters();
    node.controller = std::make_unique<directory::DirectoryRole>(record, settings, *node.log,
                                                                 random_, wall_, now_);
  } else if (node.role == directory::NodeRole::kLedger && !node.disk->list().value().empty()) {
    openLedger(node, {});
  }
}

void SimulatedCluster::openLog(SimulatedNode& node, base::GroupId group,
                               const std::set<base::NodeId>& initialVoters) {
  consensus::Membership initial;
  if (initialVoters.contains(node.id())) {
    initial.voters = initialVoters;
  }
  node.log = base::recover(
      [&] {
        return storage::SegmentedLog::open(*node.disk, {"world", node.id(), group}, initial);
      },
      [](const base::Error&) { return std::unique_ptr<storage::SegmentedLog>(); });
}

void SimulatedCluster::openLedger(SimulatedNode& node,
                                  const std::set<base::NodeId>& initialVoters) {
  openLog(node, directory::kLedgerGroup, initialVoters);
  jobs::JobRoleSettings settings;
  settings.replica = replica_;
  settings.repair.targetSize = targetVoters();
  node.ledger = std::make_unique<jobs::JobRole>(node.id(), directory::kLedgerGroup, settings,
                                                *node.log, random_, now_);
}

void SimulatedCluster::onView(SimulatedNode& node, const directory::DirectoryView& view) {
  if (node.role != directory::NodeRole::kLedger) {
    return;
  }
  if (!node.ledger && !view.initialLedgerVoters.empty()) {
    openLedger(node, view.initialLedgerVoters);
  }
  if (!node.ledger || !view.allNodesSeen) {
    return;
  }
  std::vector<cluster::GroupNode> nodes;
  for (const directory::LedgerSummary& summary : view.ledgers) {
    nodes.push_back({summary.node, summary.silence, summary.retiring});
  }
  node.ledger->setNodes(std::move(nodes));
}

void SimulatedCluster::kill(SimulatedNode& node) {
  node.running = false;
  node.controller.reset();
  node.ledger.reset();
  node.member.reset();
  node.log.reset();
  node.disk->crash(random_);
  for (auto& [number, other] : nodes_) {
    if (other.running) {
      other.member->onPeerLost(node.number);
    }
  }
}

void SimulatedCluster::wipe(SimulatedNode& node) {
  kill(node);
  node.disk->wipe();
  node.instance = randomInstanceId();
}

void SimulatedCluster::setPartition(const SimulatedNode& one, const SimulatedNode& other,
                                    bool partitioned) {
  for (const auto& link :
       {std::pair(one.number, other.number), std::pair(other.number, one.number)}) {
    if (partitioned) {
      m_partitions.insert(link);
    } else {
      m_partitions.erase(link);
    }
  }
}

bool SimulatedCluster::isComplete(directory::NodeRole role) const {
  for (const auto& [number, node] : nodes_) {
    const consensus::RaftConsensus* raft = node.raft();
    if (node.role != role || raft == nullptr || !raft->isLeader() || !raft->hasLease(now_) ||
        raft->membershipChangePending()) {
      continue;
    }
    const auto& voters = raft->membership().voters;
    bool healthy = voters.size() == targetVoters() && raft->membership().learners.empty();
    for (const base::NodeId voter : voters) {
      const SimulatedNode& member = nodes_.at(base::nodeNumber(voter));
      healthy = healthy && member.running && member.id() == voter;
    }
    return healthy;
  }
  return false;
}

void SimulatedCluster::send(const SimulatedNode& from, const transport::Outbox& outbox) {
  for (const transport::OutgoingMessage& outgoing : outbox) {
    if (random_.chance(lossProbability)) {
      continue;
    }
    const auto micros = 300 + random_.below(random_.chance(0.02) ? 300'000 : 3'000);
    network_.push({now_ + base::Duration(static_cast<base::Duration::rep>(micros)),
                   next_delivery_++, from.id(), outgoing.to, outgoing.message});
  }
}

void SimulatedCluster::endTurn(SimulatedNode& node) {
  if (node.controller) {
    send(node, node.controller->finish(now_).messages);
  }
  if (node.ledger) {
    send(node, node.ledger->finish(now_));
  }
  send(node, node.member->takeMessages());
}

void SimulatedCluster::deliver(const Delivery& delivery) {
  const auto found = nodes_.find(base::nodeNumber(delivery.to));
  const std::pair link(base::nodeNumber(delivery.from), base::nodeNumber(delivery.to));
  if (found == nodes_.end() || !found->second.running || m_partitions.contains(link)) {
    return;
  }
  SimulatedNode& node = found->second;
  const auto dispatch = [&](const auto& message) {
    if (node.controller && message.group == directory::kDirectoryGroup) {
      node.controller->handle(delivery.from, message, now_);
    } else if (node.ledger && message.group == directory::kLedgerGroup) {
      node.ledger->handle(delivery.from, message, now_);
    }
  };
  if (const auto* raft = std::get_if<transport::RaftEnvelope>(&delivery.message)) {
    dispatch(*raft);
  } else if (const auto* request = std::get_if<transport::CommandRequest>(&delivery.message)) {
    dispatch(*request);
  } else if (const auto* response = std::get_if<transport::CommandResponse>(&delivery.message)) {
    node.member->onResponse(*response, now_);
  }
  endTurn(node);
}

void SimulatedCluster::run(base::Duration time, const std::function<void()>& onStep) {
  for (const base::TimePoint end = now_ + time; now_ < end;) {
    const base::TimePoint next = now_ + kStep;
    while (!network_.empty() && network_.top().at <= next) {
      const Delivery delivery = network_.top();
      network_.pop();
      now_ = std::max(now_, delivery.at);
      deliver(delivery);
    }
    now_ = next;
    onStep();
    for (auto& [number, node] : nodes_) {
      if (!node.running) {
        continue;
      }
      if (node.controller) {
        node.controller->tick(now_);
      }
      if (node.ledger) {
        node.ledger->tick(now_);
      }
      node.member->tick(now_);
      endTurn(node);
    }
  }
}

}  // namespace tackpick::test
