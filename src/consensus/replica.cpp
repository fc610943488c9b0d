#include "consensus/replica.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tackpick::consensus {

using transport::CommandStatus;

Replica::Replica(base::NodeId self, base::GroupId group, ReplicaSettings settings, LogStore& log,
                 StateMachine& machine, base::Random& random, base::TimePoint now)
    : self_(self),
      group_(group),
      settings_(settings),
      machine_(machine),
      raft_(self, settings.raft, log, random, now),
      applied_index_(log.snapshot().lastIndex) {
  const auto state = log.readSnapshotState();
  if (!state) {
    raft_.fail();
  } else if (!state->empty()) {
    machine_.loadSnapshot(*state);
  }
}

void Replica::handle(base::NodeId from, const transport::RaftEnvelope& envelope,
                     base::TimePoint now) {
  if (envelope.to == self_) {
    raft_.handle(from, envelope.message, now);
  }
}

void Replica::handle(base::NodeId from, const transport::CommandRequest& request,
                     base::TimePoint now) {
  if (request.kind == transport::CommandKind::kQuery) {
    pending_queries_.push_back({from, request.call, request.payload});
    return;
  }
  const base::CallId call = request.call;
  const bool proposed =
      propose(request.payload, now, [this, from, call](const base::Bytes* result, LogIndex) {
        if (result == nullptr) {
          respond(from, call, CommandStatus::kUnavailable, {});
        } else {
          respond(from, call, CommandStatus::kOk, *result);
        }
      });
  if (!proposed) {
    respond(from, call, CommandStatus::kNotLeader, {});
  } else if (settings_.mutants.answerBeforeCommit) {
    respond(from, call, CommandStatus::kOk, {});
  }
}

void Replica::handle(base::NodeId from, const transport::MembershipRequest& request,
                     base::TimePoint now) {
  const bool accepted =
      request.remove ? raft_.removeMember(request.node, now) : raft_.addMember(request.node, now);
  respond(from, request.call, accepted ? CommandStatus::kOk : CommandStatus::kNotLeader, {});
}

bool Replica::propose(base::Bytes command, base::TimePoint now, Completion completion) {
  const auto index = raft_.propose(std::move(command), now);
  if (!index) {
    return false;
  }
  pending_commands_[*index] = {raft_.currentTerm(), std::move(completion)};
  return true;
}

void Replica::finish(base::TimePoint now, transport::Outbox& outbox) {
  bool progressed = true;
  while (progressed && !raft_.failed()) {
    for (OutgoingRaftMessage& outgoing : raft_.flush(now)) {
      outbox_.push_back(
          {outgoing.to, transport::RaftEnvelope{group_, outgoing.to, std::move(outgoing.message)}});
    }
    const LogIndex before = applied_index_;
    applyCommitted(now);
    progressed = applied_index_ != before;
  }
  failPendingUnlessLeading();
  answerQueries(now);
  if (!raft_.failed()) {
    outbox.insert(outbox.end(), std::make_move_iterator(outbox_.begin()),
                  std::make_move_iterator(outbox_.end()));
  }
  outbox_.clear();
}

void Replica::compactIfNeeded(base::TimePoint now) {
  if (!raft_.needsCompaction(applied_index_, settings_.compactionThreshold,
                             settings_.compactionBytes)) {
    return;
  }
  // Encoding a large snapshot blocks a replica for longer than an election takes, so a leader
  // transfers leadership first, unless its log has already grown to kDeferralFactor times the
  // limit.
  constexpr std::size_t kDeferralFactor = 2;
  const bool large = raft_.snapshotBytes() >= settings_.leadershipTransferBytes;
  const bool overdue = raft_.needsCompaction(
      applied_index_, settings_.compactionThreshold * kDeferralFactor,
      std::max(settings_.compactionBytes, raft_.snapshotBytes() / 2) * kDeferralFactor);
  if (raft_.isLeader() && large && !overdue) {
    raft_.transferLeadership(now);
    return;
  }
  raft_.compact(applied_index_, machine_.takeSnapshot());
}

void Replica::applyCommitted(base::TimePoint now) {
  if (const auto snapshot = raft_.takeReceivedSnapshot()) {
    machine_.loadSnapshot(snapshot->state);
    applied_index_ = snapshot->lastIndex;
  }
  for (const LogEntry& entry : raft_.takeCommitted()) {
    base::Bytes result;
    if (entry.kind == EntryKind::kCommand) {
      result = machine_.apply(entry.index, entry.payload);
    }
    applied_index_ = entry.index;
    completeCommand(entry, result);
  }
  compactIfNeeded(now);
}

void Replica::completeCommand(const LogEntry& entry, const base::Bytes& result) {
  const auto found = pending_commands_.find(entry.index);
  if (found == pending_commands_.end()) {
    return;
  }
  const PendingCommand pending = std::move(found->second);
  pending_commands_.erase(found);
  pending.completion(pending.term == entry.term ? &result : nullptr, entry.index);
}

void Replica::failPendingUnlessLeading() {
  if (raft_.isLeader()) {
    return;
  }
  for (auto& [index, pending] : std::exchange(pending_commands_, {})) {
    pending.completion(nullptr, index);
  }
}

bool Replica::canRead(base::TimePoint now) const {
  if (settings_.mutants.readWithoutLease && raft_.isLeader()) {
    return true;
  }
  return raft_.hasLease(now) && raft_.hasCommittedInTerm() && applied_index_ == raft_.commitIndex();
}

void Replica::answerQueries(base::TimePoint now) {
  const bool readable = canRead(now);
  for (const PendingQuery& query : std::exchange(pending_queries_, {})) {
    if (readable) {
      respond(query.from, query.call, CommandStatus::kOk, machine_.query(query.payload));
    } else {
      respond(query.from, query.call, CommandStatus::kNotLeader, {});
    }
  }
}

void Replica::respond(base::NodeId to, base::CallId call, CommandStatus status,
                      base::Bytes payload) {
  transport::CommandResponse response;
  response.group = group_;
  response.call = call;
  response.status = status;
  response.leader = raft_.leader() == self_ ? base::NodeId{} : raft_.leader();
  response.payload = std::move(payload);
  outbox_.push_back({to, std::move(response)});
}

}  // namespace tackpick::consensus
