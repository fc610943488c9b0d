#include "cluster/group_service.h"

#include <algorithm>
#include <utility>

namespace tackpick::cluster {

using transport::CommandStatus;

void GroupService::reply(const ServiceCaller& caller, base::Bytes payload) {
  transport::CommandResponse response;
  response.group = replica_.group();
  response.call = caller.call;
  response.status = CommandStatus::kOk;
  response.payload = std::move(payload);
  outbox_.push_back({caller.node, std::move(response)});
}

void GroupService::reject(const ServiceCaller& caller, CommandStatus status) {
  transport::CommandResponse response;
  response.group = replica_.group();
  response.call = caller.call;
  response.status = status;
  const base::NodeId leader = replica_.raft().leader();
  response.leader = replica_.raft().isLeader() ? base::NodeId{} : leader;
  outbox_.push_back({caller.node, std::move(response)});
}

void GroupService::proposeFor(const ServiceCaller& caller, base::Bytes command,
                              const base::Bytes& payload, base::TimePoint now) {
  if (!m_inFlight.insert(caller).second) {
    return;
  }
  const bool proposed =
      replica_.propose(std::move(command), now,
                       [this, caller, payload](const base::Bytes* result, consensus::LogIndex) {
                         m_inFlight.erase(caller);
                         if (result == nullptr) {
                           reject(caller, CommandStatus::kUnavailable);
                         } else {
                           reply(caller, payload);
                         }
                       });
  if (!proposed) {
    m_inFlight.erase(caller);
    reject(caller, CommandStatus::kNotLeader);
  }
}

void GroupService::propose(base::Bytes command, base::TimePoint now) {
  replica_.propose(std::move(command), now, [](const base::Bytes*, consensus::LogIndex) {});
}

void GroupService::repairMembership(const std::vector<GroupNode>& nodes,
                                    const GroupRepairSettings& settings, base::TimePoint now) {
  consensus::RaftConsensus& raft = replica_.raft();
  if (raft.membershipChangePending()) {
    return;
  }
  const bool includesSelf = std::any_of(nodes.begin(), nodes.end(),
                                        [&](const GroupNode& node) { return node.node == self_; });
  if (includesSelf) {
    m_health = assessGroup(raft.membership(), nodes, settings);
  }
  const auto change = nextMembershipChange(self_, raft.membership(), nodes, settings);
  if (!change) {
    return;
  }
  if (change->remove) {
    raft.removeMember(change->node, now);
  } else {
    raft.addMember(change->node, now);
  }
}

}  // namespace tackpick::cluster
