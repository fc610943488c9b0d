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
      m_durableIndex(log.lastIndex()),
      m_lastLeaderContactAt(now) {
  // m_lastLeaderContactAt is initialized with the current time: the server may have granted a lease
  // before it restarted, so it must not vote before that lease has expired.
  reloadMembership();
  resetElectionTimer(now);
  constexpr std::size_t kMinCompactionPercent = 75;
  constexpr std::size_t kCompactionPercentSpread = 50;
  compaction_percent_ = kMinCompactionPercent + random.below(kCompactionPercentSpread);
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
      // The request to take over may still arrive and win an election in spite of a lease.
      stepDown(currentTerm(), now);
      return;
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
  m_replicationPending = true;
  return log_.lastIndex();
}

std::vector<OutgoingRaftMessage> RaftConsensus::flush(base::TimePoint now) {
  if (failed_) {
    outbox_.clear();
    return {};
  }
  if (m_replicationPending && state_ == RaftState::kLeader) {
    replicatePending(now);
  }
  m_replicationPending = false;
  advanceSync();
  if (failed_) {
    outbox_.clear();
    return {};
  }
  if (state_ == RaftState::kLeader) {
    confirmRounds();
    advanceCommit();
  }
  return takeReadyMessages();
}

void RaftConsensus::advanceSync() {
  if (failed_) {
    return;
  }
  completeSync();
  if (sync_ || failed_ || m_writeCount == m_durableWriteCount) {
    return;
  }
  sync_ = Sync{m_writeCount, log_.lastIndex()};
  if (!settings_.mutants.acknowledgeBeforeSync) {
    check(log_.beginSync());
  }
  completeSync();
}

void RaftConsensus::completeSync() {
  if (failed_ || (!sync_ && !log_.compacting())) {
    return;
  }
  const auto result = log_.pollSync();
  failed_ = !result;
  const bool ended = settings_.mutants.acknowledgeBeforeSync || (result && *result);
  if (ended && sync_) {
    m_durableWriteCount = sync_->writeCount;
    m_durableIndex = sync_->index;
    sync_.reset();
  }
}

std::vector<OutgoingRaftMessage> RaftConsensus::takeReadyMessages() {
  std::vector<OutgoingRaftMessage> ready;
  std::vector<DeferredMessage> deferred;
  for (DeferredMessage& message : outbox_) {
    if (message.writeCount <= m_durableWriteCount) {
      ready.push_back(std::move(message.outgoing));
    } else {
      deferred.push_back(std::move(message));
    }
  }
  outbox_ = std::move(deferred);
  return ready;
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
  // Entries that are not applied cannot be dropped. Without a leader this may be the complete log,
  // and repeated snapshots that drop nothing would delay the election.
  constexpr LogIndex kMinDroppableFraction = 2;
  const LogIndex droppable = applied - log_.snapshot().lastIndex;
  if (log_.compacting() || droppable * kMinDroppableFraction < logLength()) {
    return false;
  }
  const std::size_t maxBytes = std::max(bytes, log_.snapshotBytes() / 2);
  constexpr std::size_t kHundredPercent = 100;
  return logLength() * kHundredPercent > entries * compaction_percent_ ||
         log_.logBytes() * kHundredPercent > maxBytes * compaction_percent_;
}

bool RaftConsensus::hasLease(base::TimePoint now) const {
  if (state_ != RaftState::kLeader || transferring_) {
    return false;
  }
  constexpr int kHundredPercent = 100;
  const auto leaseDuration = settings_.minElectionTimeout *
                             (kHundredPercent - settings_.clockDriftPercent) / kHundredPercent;
  return now < quorum_confirmed_at_ + leaseDuration;
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
  ++m_writeCount;
  if (kind == EntryKind::kMembership) {
    reloadMembership();
  }
}

void RaftConsensus::send(base::NodeId to, RaftMessage message) {
  // Responses and vote requests depend on this server's log. A leader may send entries before
  // the entries are durable on its own disk (section 10.2.1), but does not count itself until then.
  const bool isLeaderMessage = std::holds_alternative<AppendRequest>(message) ||
                               std::holds_alternative<InstallSnapshotRequest>(message) ||
                               std::holds_alternative<TimeoutNowRequest>(message);
  outbox_.push_back(
      {isLeaderMessage ? m_lastHardStateWrite : m_writeCount, {to, std::move(message)}});
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
  m_lastHardStateWrite = ++m_writeCount;
}

}  // namespace tackpick::consensus
