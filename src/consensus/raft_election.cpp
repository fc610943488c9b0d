/// \file
/// Elections of RaftConsensus: sections 3.4, 3.6, 3.10, 6.2, 6.4.1 and 9.6.
#include <algorithm>

#include "consensus/raft_consensus.h"

namespace tackpick::consensus {

void RaftConsensus::onMessage(base::NodeId from, const VoteRequest& request, base::TimePoint now) {
  // A server in contact with a leader, or within a lease that it may have granted, does not vote
  // for another one (section 6.2), unless the leader itself requested the election.
  const bool leaderIsAlive = hasRecentLeaderContact(now) && !settings_.mutants.ignoreLeaderLease;
  if ((leaderIsAlive && !request.leadershipTransfer) || membership_.empty()) {
    return;
  }
  if (request.preVote) {
    const bool granted =
        request.term > currentTerm() && isUpToDate(request.lastLogIndex, request.lastLogTerm);
    send(from, VoteResponse{granted ? request.term : currentTerm(), true, granted});
    return;
  }
  if (request.term > currentTerm()) {
    stepDown(request.term, now);
  }
  const base::NodeId votedFor = log_.hardState().votedFor;
  const bool canVote = !votedFor.valid() || votedFor == from || settings_.mutants.voteTwicePerTerm;
  const bool granted = request.term == currentTerm() && canVote && state_ == RaftState::kFollower &&
                       isUpToDate(request.lastLogIndex, request.lastLogTerm);
  if (granted) {
    saveHardState({currentTerm(), from});
    resetElectionTimer(now);
  }
  send(from, VoteResponse{currentTerm(), false, granted});
}

void RaftConsensus::onMessage(base::NodeId from, const VoteResponse& response,
                              base::TimePoint now) {
  if (!response.granted) {
    if (response.term > currentTerm()) {
      stepDown(response.term, now);
    }
    return;
  }
  if (response.preVote) {
    if (state_ == RaftState::kPreCandidate && response.term == currentTerm() + 1) {
      votes_.insert(from);
      if (hasQuorum(votes_)) {
        startElection(false, now);
      }
    }
    return;
  }
  if (state_ == RaftState::kCandidate && response.term == currentTerm()) {
    votes_.insert(from);
    if (hasQuorum(votes_)) {
      becomeLeader(now);
    }
  }
}

void RaftConsensus::onMessage(base::NodeId /*from*/, const TimeoutNowRequest& request,
                              base::TimePoint now) {
  if (request.term == currentTerm() && membership_.isVoter(self_)) {
    startElection(true, now);
  }
}

void RaftConsensus::startPreVote(base::TimePoint now) {
  state_ = RaftState::kPreCandidate;
  leader_ = {};
  // The pre-vote can be repeated soon, as it changes neither terms nor votes. After a restart of
  // all servers the first pre-votes are rejected by the servers that started last.
  const auto jitter =
      random_.below(static_cast<std::uint64_t>(settings_.preVoteRetryInterval.count()) + 1);
  election_deadline_ = now + settings_.preVoteRetryInterval +
                       base::Duration(static_cast<base::Duration::rep>(jitter));
  votes_ = {self_};
  if (hasQuorum(votes_)) {
    startElection(false, now);
    return;
  }
  requestVotes(true, false);
}

void RaftConsensus::startElection(bool leadershipTransfer, base::TimePoint now) {
  state_ = RaftState::kCandidate;
  leader_ = {};
  saveHardState({currentTerm() + 1, self_});
  resetElectionTimer(now);
  votes_ = {self_};
  if (hasQuorum(votes_)) {
    becomeLeader(now);
    return;
  }
  requestVotes(false, leadershipTransfer);
}

void RaftConsensus::requestVotes(bool preVote, bool leadershipTransfer) {
  VoteRequest request;
  request.term = preVote ? currentTerm() + 1 : currentTerm();
  request.lastLogIndex = log_.lastIndex();
  request.lastLogTerm = termAt(log_.lastIndex());
  request.preVote = preVote;
  request.leadershipTransfer = leadershipTransfer;
  for (const base::NodeId voter : membership_.voters) {
    if (voter != self_) {
      send(voter, request);
    }
  }
}

void RaftConsensus::becomeLeader(base::TimePoint now) {
  state_ = RaftState::kLeader;
  leader_ = self_;
  leader_since_ = now;
  // The votes prove contact with a quorum until the first heartbeat round is answered.
  quorum_confirmed_at_ = now;
  transferring_ = false;
  rounds_.clear();
  progress_.clear();
  appendLocally(EntryKind::kNoOp, {});
  term_start_index_ = log_.lastIndex();
  broadcast(now);
}

void RaftConsensus::stepDown(Term term, base::TimePoint now) {
  if (state_ != RaftState::kFollower) {
    resetElectionTimer(now);
  }
  state_ = RaftState::kFollower;
  leader_ = {};
  transferring_ = false;
  if (term > currentTerm()) {
    saveHardState({term, {}});
  }
}

void RaftConsensus::resetElectionTimer(base::TimePoint now) {
  const auto spread = settings_.maxElectionTimeout - settings_.minElectionTimeout;
  const auto jitter = random_.below(static_cast<std::uint64_t>(spread.count()) + 1);
  election_deadline_ =
      now + settings_.minElectionTimeout + base::Duration(static_cast<base::Duration::rep>(jitter));
}

bool RaftConsensus::hasRecentLeaderContact(base::TimePoint now) const {
  if (state_ == RaftState::kLeader) {
    return true;
  }
  return now < m_lastLeaderContactAt + settings_.minElectionTimeout;
}

bool RaftConsensus::isUpToDate(LogIndex lastIndex, Term lastTerm) const {
  const Term ownTerm = termAt(log_.lastIndex());
  if (lastTerm != ownTerm) {
    return lastTerm > ownTerm;
  }
  return lastIndex >= log_.lastIndex();
}

bool RaftConsensus::hasQuorum(const std::set<base::NodeId>& nodes) const {
  const auto agreeing = std::count_if(membership_.voters.begin(), membership_.voters.end(),
                                      [&](base::NodeId voter) { return nodes.contains(voter); });
  return static_cast<std::size_t>(agreeing) > membership_.voters.size() / 2;
}

}  // namespace tackpick::consensus
