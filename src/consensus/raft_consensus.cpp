#include "consensus/raft_consensus.h"

#include <algorithm>
#include <utility>

namespace tackpick::consensus {

RaftConsensus::RaftConsensus(base::NodeId self, RaftSettings settings, LogStore& log,
                             base::Random& random, base::TimePoint now)
    : self_(self),
      settings_(settings),
      log_(log),
      random_(random),
      commit_index_(log.snapshot().lastIndex),
      delivered_index_(log.snapshot().lastIndex),
      synced_index_(log.lastIndex()),
      last_heard_from_leader_(now) {
  // last_heard_from_leader_ starts at now: a restarted server has forgotten which leader it
  // promised a lease to, so it must not vote before that lease can have run out.
  reloadMembership();
  resetElectionTimer(now);
  constexpr std::size_t kMinPercent = 75;
  constexpr std::size_t kPercentSpread = 50;
  compaction_percent_ = kMinPercent + random.below(kPercentSpread);
}

void RaftConsensus::handle(base::NodeId from, const RaftMessage& message, base::TimePoint now) {
  if (failed_) {
    return;
  }
  checkQuorum(now);
  std::visit([&](const auto& typed) { onMessage(from, typed, now); }, message);
}

void RaftConsensus::tick(base::TimePoint now) {
  if (failed_) {
    return;
  }
  checkQuorum(now);
  if (state_ == RaftState::kLeader) {
    if (transferring_ && now >= transfer_deadline_) {
      transferring_ = false;
    }
    promoteCaughtUpLearner(now);
    if (now - last_broadcast_at_ >= settings_.heartbeatInterval) {
      broadcast(now);
    }
    return;
  }
  if (now >= election_deadline_ && membership_.isVoter(self_)) {
    startPreVote(now);
  }
}

std::optional<LogIndex> RaftConsensus::propose(base::Bytes command, base::TimePoint now) {
  checkQuorum(now);
  if (failed_ || state_ != RaftState::kLeader || transferring_) {
    return std::nullopt;
  }
  appendLocally(EntryKind::kCommand, std::move(command));
  news_ = true;
  return log_.lastIndex();
}

std::vector<OutgoingRaftMessage> RaftConsensus::flush(base::TimePoint now) {
  if (failed_) {
    outbox_.clear();
    return {};
  }
  if (news_ && state_ == RaftState::kLeader) {
    tellNews(now);
  }
  news_ = false;
  advanceSync();
  if (failed_) {
    outbox_.clear();
    return {};
  }
  if (state_ == RaftState::kLeader) {
    confirmRounds();
    advanceCommit();
  }
  return takeSendable();
}

void RaftConsensus::advanceSync() {
  if (failed_) {
    return;
  }
  noteSyncEnd();
  if (sync_ || failed_ || writes_ == durable_writes_) {
    return;
  }
  sync_ = Sync{writes_, log_.lastIndex()};
  if (!settings_.mutants.acknowledgeBeforeSync) {
    check(log_.beginSync());
  }
  noteSyncEnd();
}

void RaftConsensus::noteSyncEnd() {
  if (failed_ || (!sync_ && !log_.compacting())) {
    return;
  }
  const auto result = log_.syncEnded();
  failed_ = !result;
  const bool ended = settings_.mutants.acknowledgeBeforeSync || (result && *result);
  if (ended && sync_) {
    durable_writes_ = sync_->writes;
    synced_index_ = sync_->index;
    sync_.reset();
  }
}

std::vector<OutgoingRaftMessage> RaftConsensus::takeSendable() {
  std::vector<OutgoingRaftMessage> sendable;
  std::vector<HeldMessage> held;
  for (HeldMessage& message : outbox_) {
    if (message.writes <= durable_writes_) {
      sendable.push_back(std::move(message.outgoing));
    } else {
      held.push_back(std::move(message));
    }
  }
  outbox_ = std::move(held);
  return sendable;
}

std::optional<Snapshot> RaftConsensus::takeReceivedSnapshot() {
  return std::exchange(received_snapshot_, std::nullopt);
}

std::vector<LogEntry> RaftConsensus::takeCommitted() {
  std::vector<LogEntry> committed;
  while (!failed_ && delivered_index_ < commit_index_) {
    ++delivered_index_;
    committed.push_back(log_.entry(delivered_index_));
  }
  return committed;
}

void RaftConsensus::compact(LogIndex lastApplied, base::Bytes state) {
  if (failed_ || lastApplied <= log_.snapshot().lastIndex) {
    return;
  }
  Snapshot snapshot;
  snapshot.lastIndex = lastApplied;
  snapshot.lastTerm = termAt(lastApplied);
  snapshot.membership = log_.snapshot().membership;
  for (LogIndex index = log_.firstIndex(); index <= lastApplied; ++index) {
    const LogEntry& entry = log_.entry(index);
    if (entry.kind == EntryKind::kMembership) {
      snapshot.membership = base::decode<Membership>(entry.payload).value_or(Membership{});
    }
  }
  snapshot.state = std::move(state);
  check(log_.beginCompaction(std::move(snapshot)));
}

bool RaftConsensus::needsCompaction(LogIndex applied, LogIndex entries, std::size_t bytes) const {
  // Entries that are not applied stay. After a start without a leader the whole log may be such:
  // to encode the state at each turn, for nothing, took all the time that an election needs.
  constexpr LogIndex kMinPart = 2;
  const LogIndex droppable = applied - log_.snapshot().lastIndex;
  if (log_.compacting() || droppable * kMinPart < logLength()) {
    return false;
  }
  const std::size_t most = std::max(bytes, log_.snapshotBytes() / 2);
  constexpr std::size_t kWholePercent = 100;
  return logLength() * kWholePercent > entries * compaction_percent_ ||
         log_.logBytes() * kWholePercent > most * compaction_percent_;
}

bool RaftConsensus::hasLease(base::TimePoint now) const {
  if (state_ != RaftState::kLeader || transferring_) {
    return false;
  }
  constexpr int kWholePercent = 100;
  const auto safe = settings_.electionTimeoutMinimum *
                    (kWholePercent - settings_.clockDriftPercent) / kWholePercent;
  return now < quorum_confirmed_at_ + safe;
}

bool RaftConsensus::hasCommittedInTerm() const {
  return state_ == RaftState::kLeader && commit_index_ >= term_start_index_;
}

void RaftConsensus::appendLocally(EntryKind kind, base::Bytes payload) {
  LogEntry entry;
  entry.term = currentTerm();
  entry.index = log_.lastIndex() + 1;
  entry.kind = kind;
  entry.payload = std::move(payload);
  check(log_.append(entry));
  ++writes_;
  if (kind == EntryKind::kMembership) {
    reloadMembership();
  }
}

void RaftConsensus::send(base::NodeId to, RaftMessage message) {
  // Answers and requests for votes speak of this server's own log. A leader's entries may travel
  // while its own disk writes them (section 10.2.1): it counts itself only once they are durable.
  const bool leaders = std::holds_alternative<AppendRequest>(message) ||
                       std::holds_alternative<InstallSnapshotRequest>(message) ||
                       std::holds_alternative<TimeoutNowRequest>(message);
  outbox_.push_back({leaders ? hard_state_write_ : writes_, {to, std::move(message)}});
}

void RaftConsensus::check(base::Result<void> result) {
  if (!result) {
    failed_ = true;
  }
}

void RaftConsensus::saveHardState(const HardState& state) {
  if (state == log_.hardState()) {
    return;
  }
  check(log_.saveHardState(state));
  hard_state_write_ = ++writes_;
}

}  // namespace tackpick::consensus
