/// \file
/// DirectoryRole: handling of requests from nodes, instances, trainers and operators.
#include <algorithm>
#include <utility>

#include "directory/directory_role.h"
#include "directory/incarnation.h"

namespace tackpick::directory {

using transport::CommandStatus;

void DirectoryRole::onRequest(const Caller& caller, ReplaceConfiguration& request,
                              base::TimePoint now) {
  std::string problem;
  const bool valid = base::recover(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_CHECK(validate(request.configuration));
        return true;
      },
      [&](const base::Error& error) {
        problem = error.message;
        return false;
      });
  if (!valid) {
    reply(caller, DirectoryStatus::kInvalid, problem);
    return;
  }
  if (request.configuration.version <= state_.configuration().version) {
    reply(caller, DirectoryStatus::kDone);
    return;
  }
  proposeFor(caller, std::move(request), {}, now);
}

void DirectoryRole::onRequest(const Caller& caller, const ReadConfiguration& /*request*/,
                              base::TimePoint /*now*/) {
  if (state_.configuration().version == 0) {
    reply(caller, DirectoryStatus::kNotFound);
    return;
  }
  reply(caller, DirectoryStatus::kDone, state_.configuration().document);
}

void DirectoryRole::onRequest(const Caller& caller, const InstanceHeartbeat& request,
                              base::TimePoint now) {
  const std::string& id = request.record.id;
  if (state_.isDeregistered(id)) {
    reply(caller, DirectoryStatus::kDone);
    return;
  }
  if (mayBeLate(request, now)) {
    reply(caller, DirectoryStatus::kDone);
    return;
  }
  const auto sequence = m_heartbeatSequences.find(id);
  const bool late = sequence != m_heartbeatSequences.end() && request.sequence <= sequence->second;
  const auto known = state_.instances().find(id);
  const bool registered =
      known != state_.instances().end() && matchesRegistration(known->second, request.record);
  if (!late) {
    recordHeartbeat(request, now);
  }
  if (registered || (late && !request.record.draining)) {
    reply(caller, DirectoryStatus::kDone);
    return;
  }
  if (const auto replaced = state_.otherAtAddress(request.record)) {
    m_replacedInstances[*replaced] = {0, now};
  }
  proposeFor(caller, RegisterInstance{request.record}, {}, now);
}

bool DirectoryRole::mayBeLate(const InstanceHeartbeat& heartbeat, base::TimePoint now) {
  const auto replaced = m_replacedInstances.find(heartbeat.record.id);
  if (replaced == m_replacedInstances.end()) {
    return false;
  }
  // An instance that has ended may have one heartbeat in transit; a running one sends more.
  constexpr std::uint32_t kMaxLateHeartbeats = 1;
  replaced->second.lastSeenAt = now;
  if (++replaced->second.heartbeats <= kMaxLateHeartbeats) {
    return true;
  }
  m_replacedInstances.erase(replaced);
  return false;
}

void DirectoryRole::onRequest(const Caller& caller, const RelayHeartbeats& request,
                              base::TimePoint now) {
  for (const RelayedHeartbeat& heartbeat : request.heartbeats) {
    std::uint64_t& sequence = m_heartbeatSequences[heartbeat.id];
    if (heartbeat.sequence <= sequence || !state_.instances().contains(heartbeat.id)) {
      continue;
    }
    sequence = heartbeat.sequence;
    const auto [report, added] = reports_.try_emplace(heartbeat.id);
    report->second.lastSeenAt = now;
    if (heartbeat.versions) {
      report->second.versions = *heartbeat.versions;
    } else if (const auto held = state_.heldVersions().find(heartbeat.id);
               added && held != state_.heldVersions().end()) {
      report->second.versions = held->second;
    }
  }
  reply(caller, DirectoryStatus::kDone);
}

void DirectoryRole::recordHeartbeat(const InstanceHeartbeat& heartbeat, base::TimePoint now) {
  m_heartbeatSequences[heartbeat.record.id] = heartbeat.sequence;
  ReportedEngine& report = reports_[heartbeat.record.id];
  report.lastSeenAt = now;
  report.versions = heartbeat.versions;
}

void DirectoryRole::onRequest(const Caller& caller, const DeregisterInstance& request,
                              base::TimePoint now) {
  const bool hasStartTime = Incarnation::parse(request.id).startTime != 0;
  const std::string id =
      hasStartTime ? request.id : state_.newestIncarnation(request.id).value_or(request.id);
  if (state_.isDeregistered(id)) {
    reply(caller, DirectoryStatus::kDone);
    return;
  }
  proposeFor(caller, RemoveInstance{id, true}, {}, now);
}

void DirectoryRole::onRequest(const Caller& caller, const PublishVersion& request,
                              base::TimePoint now) {
  const auto known = state_.versions().find(request.model);
  if (known != state_.versions().end() && known->second >= request.version) {
    reply(caller, DirectoryStatus::kDone);
    return;
  }
  proposeFor(caller, request, {}, now);
}

void DirectoryRole::onRequest(const Caller& caller, const Watch& request, base::TimePoint now) {
  nodes_[request.node.node] = {request.node, now, request.recentDemand};
  if (request.clock != base::WallTime{}) {
    clock_.onClockReport(request.node.node, request.clock, now);
  }
  if (request.node.role == NodeRole::kGateway) {
    usage_.onGatewayUsage(request.node.node, request.usage);
  }
  if (request.ledgerMembership) {
    ledger_voters_ = request.ledgerMembership->voters;
    completeRetirements(*request.ledgerMembership, now);
  }
  if (request.openJobs) {
    setOpenJobs(*request.openJobs, now);
  }
  m_watchQueue.add(caller, request, now);
}

void DirectoryRole::onRequest(const Caller& caller, const ReportUsage& request,
                              base::TimePoint /*now*/) {
  usage_.onGatewayUsage(caller.node, request.usage);
  reply(caller, DirectoryStatus::kDone);
}

void DirectoryRole::onRequest(const Caller& caller, const ReportOpenJobs& request,
                              base::TimePoint now) {
  setOpenJobs(request.openJobs, now);
  reply(caller, DirectoryStatus::kDone);
}

void DirectoryRole::onRequest(const Caller& caller, const duties::ReadCapacity& /*request*/,
                              base::TimePoint /*now*/) {
  DirectoryReply reply;
  reply.capacity = m_capacity.summaries();
  replyWith(caller, reply);
}

void DirectoryRole::onRequest(const Caller& caller, const ReadWeights& /*request*/,
                              base::TimePoint /*now*/) {
  DirectoryReply reply;
  if (const WeightsSummary* summary = weights()) {
    reply.weights = *summary;
  }
  replyWith(caller, reply);
}

bool DirectoryRole::knowsAllMembers(const consensus::Membership& group) const {
  const auto isKnown = [&](base::NodeId member) { return nodes_.contains(member); };
  return std::all_of(group.voters.begin(), group.voters.end(), isKnown) &&
         std::all_of(group.learners.begin(), group.learners.end(), isKnown);
}

void DirectoryRole::completeRetirements(const consensus::Membership& ledgers, base::TimePoint now) {
  // An unknown member may be the retiring machine, and an unknown ledger may join the group.
  if (!allNodesSeen(now) || !knowsAllMembers(ledgers)) {
    return;
  }
  for (const auto& [name, retirement] : state_.retirements()) {
    if (retirement != Retirement::kRunning) {
      continue;
    }
    const bool isMember =
        std::any_of(nodes_.begin(), nodes_.end(), [&, &retiringName = name](const auto& entry) {
          return entry.second.record.name == retiringName && ledgers.contains(entry.first);
        });
    // A group that cannot grow because no other ledger is reachable must not block the
    // retirement, or the machine could never be removed.
    const bool canComplete =
        ledgers.voters.size() >= settings_.repair.targetSize ||
        !cluster::canAddMember(ledgers, nodesOf(NodeRole::kLedger, now), settings_.repair);
    if (!isMember && canComplete) {
      proposeWithoutReply(CompleteRetirement{name}, now);
    }
  }
}

void DirectoryRole::onRequest(const Caller& caller, const RetireNode& request,
                              base::TimePoint now) {
  const auto existing = state_.retirements().find(request.name);
  if (existing != state_.retirements().end()) {
    reply(caller, DirectoryStatus::kDone);
    return;
  }
  bool known = false;
  std::size_t remaining = 0;
  for (const auto& [node, knownNode] : nodes_) {
    if (knownNode.record.role != NodeRole::kLedger) {
      continue;
    }
    if (knownNode.record.name == request.name) {
      known = true;
    } else if (!state_.retirements().contains(knownNode.record.name) &&
               now - knownNode.lastSeenAt < settings_.repair.heartbeatTimeout) {
      ++remaining;
    }
  }
  const bool refused = !known || remaining < settings_.repair.targetSize;
  if (refused && !allNodesSeen(now)) {
    service_.reject(caller, CommandStatus::kUnavailable);
    return;
  }
  if (!known) {
    reply(caller, DirectoryStatus::kNotFound);
    return;
  }
  if (remaining < settings_.repair.targetSize) {
    reply(caller, DirectoryStatus::kConflict, "too few ledgers would remain");
    return;
  }
  proposeFor(caller, BeginRetirement{request.name}, {}, now);
}

void DirectoryRole::onRequest(const Caller& caller, const ReadRetirement& request,
                              base::TimePoint /*now*/) {
  const auto found = state_.retirements().find(request.name);
  if (found == state_.retirements().end()) {
    reply(caller, DirectoryStatus::kNotFound);
  } else if (found->second == Retirement::kRunning) {
    reply(caller, DirectoryStatus::kRunning);
  } else {
    reply(caller, DirectoryStatus::kDone);
  }
}

void DirectoryRole::reply(const Caller& caller, DirectoryStatus status, std::string text) {
  replyWith(caller, {status, std::move(text), std::nullopt});
}

void DirectoryRole::replyWith(const Caller& caller, const DirectoryReply& reply) {
  service_.reply(caller, base::encode(reply));
}

void DirectoryRole::proposeFor(const Caller& caller, const DirectoryCommand& command,
                               const std::string& text, base::TimePoint now) {
  service_.proposeFor(caller, base::encode(command),
                      base::encode(DirectoryReply{DirectoryStatus::kDone, text, std::nullopt}),
                      now);
}

void DirectoryRole::proposeWithoutReply(const DirectoryCommand& command, base::TimePoint now) {
  service_.propose(base::encode(command), now);
}

}  // namespace tackpick::directory
