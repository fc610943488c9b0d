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
  constexpr std::size_t kLeastPercent = 75;
  constexpr std::size_t kPercentSpread = 50;
  compaction_percent_ = kLeastPercent + random.below(kPercentSpread);
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
  broadcast_wanted_ = true;
  return log_.lastIndex();
}

std::vector<OutgoingRaftMessage> RaftConsensus::flush(base::TimePoint now) {
  if (failed_) {
    outbox_.clear();
    return {};
  }
  if (broadcast_wanted_ && state_ == RaftState::kLeader) {
    broadcast(now);
  }
  broadcast_wanted_ = false;
  if (needs_sync_ && !settings_.mutants.acknowledgeBeforeSync) {
    check(log_.sync());
    if (failed_) {
      outbox_.clear();
      return {};
    }
    needs_sync_ = false;
  }
  synced_index_ = log_.lastIndex();
  if (state_ == RaftState::kLeader) {
    confirmRounds();
    advanceCommit();
  }
  return std::exchange(outbox_, {});
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
  check(log_.saveSnapshot(snapshot));
}

bool RaftConsensus::needsCompaction(LogIndex entries, std::size_t bytes) const {
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
  needs_sync_ = true;
  if (kind == EntryKind::kMembership) {
    reloadMembership();
  }
}

void RaftConsensus::send(base::NodeId to, RaftMessage message) {
  outbox_.push_back({to, std::move(message)});
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
  needs_sync_ = true;
}

}  // namespace tackpick::consensus
