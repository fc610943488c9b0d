/// \file
/// Replication, commitment and the leader's lease of RaftConsensus: sections 3.5, 5, 6.2, 6.4.1.
#include <algorithm>

#include "consensus/raft_consensus.h"

namespace tackpick::consensus {

void RaftConsensus::onMessage(base::NodeId from, const AppendRequest& request,
                              base::TimePoint now) {
  if (request.term < currentTerm()) {
    rejectStaleLeader(from);
    return;
  }
  acceptLeader(from, request.term, now);
  AppendResponse response;
  response.term = currentTerm();
  response.round = request.round;
  if (request.previousIndex > log_.lastIndex()) {
    response.lastIndex = log_.lastIndex();
    send(from, response);
    return;
  }
  const bool known = request.previousIndex >= log_.snapshot().lastIndex;
  if (known && termAt(request.previousIndex) != request.previousTerm) {
    response.lastIndex = std::max(log_.snapshot().lastIndex, request.previousIndex - 1);
    send(from, response);
    return;
  }
  if (!appendEntries(request)) {
    return;
  }
  const LogIndex matched = request.previousIndex + request.entries.size();
  commit_index_ = std::max(commit_index_, std::min(request.commitIndex, matched));
  response.success = true;
  response.lastIndex = std::max(matched, log_.snapshot().lastIndex);
  send(from, response);
}

bool RaftConsensus::appendEntries(const AppendRequest& request) {
  bool membershipChanged = false;
  for (const LogEntry& entry : request.entries) {
    if (entry.index <= log_.snapshot().lastIndex) {
      continue;
    }
    if (entry.index <= log_.lastIndex()) {
      if (log_.entry(entry.index).term == entry.term) {
        continue;
      }
      if (entry.index <= commit_index_) {
        failed_ = true;  // Leader Completeness is violated (section 3.6.3): stop permanently.
        return false;
      }
      check(log_.truncateSuffix(entry.index));
      ++m_writeCount;
      onTruncated(entry.index);
      membershipChanged = true;
    }
    check(log_.append(entry));
    ++m_writeCount;
    membershipChanged = membershipChanged || entry.kind == EntryKind::kMembership;
  }
  if (membershipChanged) {
    reloadMembership();
  }
  return !failed_;
}

void RaftConsensus::onTruncated(LogIndex firstRemoved) {
  m_durableIndex = std::min(m_durableIndex, firstRemoved - 1);
  if (sync_) {
    sync_->index = std::min(sync_->index, firstRemoved - 1);
  }
}

void RaftConsensus::onMessage(base::NodeId from, const AppendResponse& response,
                              base::TimePoint now) {
  if (response.term > currentTerm()) {
    stepDown(response.term, now);
    return;
  }
  const auto found = progress_.find(from);
  if (state_ != RaftState::kLeader || response.term != currentTerm() || found == progress_.end()) {
    return;
  }
  Progress& progress = found->second;
  progress.acknowledgedRound = std::max(progress.acknowledgedRound, response.round);
  if (response.isSnapshotChunk) {
    onSnapshotChunkAck(from, response, now);
    return;
  }
  // Responses to heartbeats arrive while entries or a snapshot are in flight. Only a response to
  // the entries clears inFlight; otherwise the entries would be sent again with each heartbeat.
  const bool isBackoff = !response.success && response.lastIndex + 1 < progress.nextIndex;
  if (isBackoff || (response.success && response.lastIndex >= progress.sentIndex)) {
    progress.inFlight = false;
  }
  if (response.success && response.lastIndex + 1 >= log_.firstIndex()) {
    progress.awaitingSnapshot = false;
    progress.snapshotBytes = 0;
  }
  if (response.success) {
    progress.matchIndex = std::max(progress.matchIndex, response.lastIndex);
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
    confirmRounds();
    advanceCommit();
  } else if (isBackoff) {
    progress.nextIndex = std::max(response.lastIndex, progress.matchIndex) + 1;
  }
  // While a snapshot is being sent, heartbeats keep the follower from starting an election.
  if (progress.nextIndex <= log_.lastIndex() && !progress.awaitingSnapshot) {
    sendAppend(from, progress, now);
  }
}

void RaftConsensus::onMessage(base::NodeId from, const InstallSnapshotRequest& request,
                              base::TimePoint now) {
  if (request.term < currentTerm()) {
    rejectStaleLeader(from);
    return;
  }
  acceptLeader(from, request.term, now);
  const LogIndex index = request.snapshot.lastIndex;
  AppendResponse response{currentTerm(), true, index, request.round};
  if (index > commit_index_) {
    appendSnapshotChunk(request);
    if (m_incomingSnapshot->state.size() < request.totalBytes) {
      response.success = false;
      response.lastIndex = log_.lastIndex();
      response.isSnapshotChunk = true;
      response.snapshotBytes = m_incomingSnapshot->state.size();
    } else {
      install(std::move(*m_incomingSnapshot));
      m_incomingSnapshot.reset();
    }
  }
  send(from, response);
}

void RaftConsensus::appendSnapshotChunk(const InstallSnapshotRequest& request) {
  const Snapshot& chunk = request.snapshot;
  const bool isSameSnapshot = m_incomingSnapshot &&
                              m_incomingSnapshot->lastIndex == chunk.lastIndex &&
                              m_incomingSnapshot->lastTerm == chunk.lastTerm;
  if (!isSameSnapshot || request.offset == 0) {
    m_incomingSnapshot = Snapshot{chunk.lastIndex, chunk.lastTerm, chunk.membership, {}};
  }
  if (request.offset == m_incomingSnapshot->state.size()) {
    m_incomingSnapshot->state += chunk.state;
  }
}

void RaftConsensus::install(Snapshot snapshot) {
  check(log_.saveSnapshot(snapshot));
  onTruncated(log_.lastIndex() + 1);
  commit_index_ = snapshot.lastIndex;
  delivered_index_ = snapshot.lastIndex;
  received_snapshot_ = std::move(snapshot);
  reloadMembership();
}

void RaftConsensus::acceptLeader(base::NodeId from, Term term, base::TimePoint now) {
  if (term > currentTerm() || state_ != RaftState::kFollower) {
    stepDown(term, now);
  }
  leader_ = from;
  m_lastLeaderContactAt = now;
  resetElectionTimer(now);
}

void RaftConsensus::broadcast(base::TimePoint now) {
  last_broadcast_at_ = now;
  ++last_round_;
  rounds_.push_back({last_round_, now});
  constexpr std::size_t kMaxUnconfirmedRounds = 256;
  if (rounds_.size() > kMaxUnconfirmedRounds) {
    rounds_.pop_front();
  }
  for (const base::NodeId node : peers()) {
    sendAppend(node, progressOf(node), now);
  }
}

void RaftConsensus::replicatePending(base::TimePoint now) {
  for (const base::NodeId node : peers()) {
    Progress& progress = progressOf(node);
    const bool busy = progress.inFlight || progress.awaitingSnapshot;
    if (!busy) {
      sendAppend(node, progress, now);
    }
  }
}

std::vector<base::NodeId> RaftConsensus::peers() const {
  std::vector<base::NodeId> nodes(membership_.voters.begin(), membership_.voters.end());
  nodes.insert(nodes.end(), membership_.learners.begin(), membership_.learners.end());
  std::erase(nodes, self_);
  return nodes;
}

RaftConsensus::Progress& RaftConsensus::progressOf(base::NodeId node) {
  const auto [entry, added] = progress_.try_emplace(node);
  if (added) {
    entry->second.nextIndex = log_.lastIndex() + 1;
  }
  return entry->second;
}

void RaftConsensus::sendAppend(base::NodeId to, Progress& progress, base::TimePoint now) {
  const base::Duration sinceLastSend = now - progress.lastSentAt;
  const bool resend = sinceLastSend >= settings_.minElectionTimeout;
  if (progress.nextIndex < log_.firstIndex()) {
    if (!progress.awaitingSnapshot || sinceLastSend >= settings_.snapshotResendInterval) {
      progress.awaitingSnapshot = true;
      progress.lastSentAt = now;
      sendSnapshot(to, progress);
      return;
    }
    // This heartbeat cannot match; it only keeps the follower from starting an election.
    send(to, AppendRequest{currentTerm(), log_.lastIndex(), currentTerm(), 0, last_round_, {}});
    return;
  }
  AppendRequest request;
  request.term = currentTerm();
  request.previousIndex = progress.nextIndex - 1;
  request.previousTerm = termAt(request.previousIndex);
  request.commitIndex = commit_index_;
  request.round = last_round_;
  if (!progress.inFlight || resend) {
    const LogIndex last =
        std::min(log_.lastIndex(), progress.nextIndex + settings_.maxEntriesPerMessage - 1);
    std::size_t bytes = 0;
    for (LogIndex index = progress.nextIndex; index <= last && bytes < settings_.maxBytesPerMessage;
         ++index) {
      request.entries.push_back(log_.entry(index));
      bytes += request.entries.back().payload.size();
    }
    if (!request.entries.empty()) {
      progress.sentIndex = request.entries.back().index;
      progress.inFlight = true;
      progress.lastSentAt = now;
    }
  }
  send(to, std::move(request));
}

void RaftConsensus::rejectStaleLeader(base::NodeId from) {
  // The request's round must not be echoed: if its sender has become leader again, the response
  // with the new term and a high old round would confirm a lease that was not granted.
  send(from, AppendResponse{currentTerm(), false, log_.lastIndex(), 0});
}

void RaftConsensus::sendSnapshot(base::NodeId to, Progress& progress) {
  if (log_.compacting()) {
    return;  // A newer snapshot is about to replace this one; a later heartbeat sends it.
  }
  if (progress.snapshotIndex != log_.snapshot().lastIndex) {
    progress.snapshotIndex = log_.snapshot().lastIndex;
    progress.snapshotBytes = 0;
  }
  InstallSnapshotRequest request{currentTerm(), last_round_, log_.snapshot(),
                                 progress.snapshotBytes, log_.snapshotBytes()};
  auto chunk = log_.readSnapshotChunk(progress.snapshotBytes, settings_.snapshotChunkBytes);
  if (!chunk) {
    failed_ = true;
    return;
  }
  request.snapshot.state = std::move(*chunk);
  send(to, std::move(request));
}

void RaftConsensus::onSnapshotChunkAck(base::NodeId from, const AppendResponse& response,
                                       base::TimePoint now) {
  confirmRounds();
  Progress& progress = progress_.at(from);
  const bool isLatestSnapshot = progress.snapshotIndex == log_.snapshot().lastIndex;
  if (!progress.awaitingSnapshot ||
      (isLatestSnapshot && response.snapshotBytes == progress.snapshotBytes)) {
    return;  // The response is a duplicate.
  }
  if (isLatestSnapshot) {
    progress.snapshotBytes = response.snapshotBytes;
  }
  progress.lastSentAt = now;
  sendSnapshot(from, progress);
}

void RaftConsensus::confirmRounds() {
  while (!rounds_.empty()) {
    std::set<base::NodeId> confirming{self_};
    for (const auto& [node, progress] : progress_) {
      if (progress.acknowledgedRound >= rounds_.front().number) {
        confirming.insert(node);
      }
    }
    if (!hasQuorum(confirming)) {
      return;
    }
    quorum_confirmed_at_ = std::max(quorum_confirmed_at_, rounds_.front().sentAt);
    rounds_.pop_front();
  }
}

void RaftConsensus::advanceCommit() {
  std::vector<LogIndex> matched;
  for (const base::NodeId voter : membership_.voters) {
    if (voter == self_) {
      matched.push_back(m_durableIndex);
      continue;
    }
    const auto found = progress_.find(voter);
    matched.push_back(found == progress_.end() ? 0 : found->second.matchIndex);
  }
  if (matched.empty()) {
    return;
  }
  std::sort(matched.begin(), matched.end());
  const LogIndex quorumIndex = matched[(matched.size() - 1) / 2];
  // Only entries of the current term are committed by counting replicas (section 3.6.2).
  if (quorumIndex <= commit_index_ || termAt(quorumIndex) != currentTerm()) {
    return;
  }
  commit_index_ = quorumIndex;
  m_replicationPending = true;
  if (membership_index_ <= commit_index_ && !membership_.contains(self_)) {
    stepDown(currentTerm(), last_broadcast_at_);
  }
}

void RaftConsensus::checkQuorum(base::TimePoint now) {
  if (state_ != RaftState::kLeader) {
    return;
  }
  if (hasQuorum({self_})) {
    quorum_confirmed_at_ = now;
    return;
  }
  if (now - quorum_confirmed_at_ > settings_.maxElectionTimeout) {
    stepDown(currentTerm(), now);
  }
}

Term RaftConsensus::termAt(LogIndex index) const {
  if (index == log_.snapshot().lastIndex) {
    return log_.snapshot().lastTerm;
  }
  if (index < log_.firstIndex() || index > log_.lastIndex()) {
    return 0;
  }
  return log_.entry(index).term;
}

}  // namespace tackpick::consensus
