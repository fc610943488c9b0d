/// \file
/// Membership changes of RaftConsensus, one server at a time: chapter 4.
#include "consensus/raft_consensus.h"

namespace tackpick::consensus {

bool RaftConsensus::addMember(base::NodeId node, base::TimePoint now) {
  if (membership_.contains(node)) {
    return state_ == RaftState::kLeader;
  }
  Membership next = membership_;
  next.learners.insert(node);
  return proposeMembership(next, now);
}

bool RaftConsensus::removeMember(base::NodeId node, base::TimePoint now) {
  if (!membership_.contains(node)) {
    return state_ == RaftState::kLeader;
  }
  Membership next = membership_;
  next.voters.erase(node);
  next.learners.erase(node);
  return !next.voters.empty() && proposeMembership(next, now);
}

bool RaftConsensus::proposeMembership(const Membership& next, base::TimePoint now) {
  checkQuorum(now);
  // A change requires a committed entry of this term (correction of 2015 to section 4.1) and no
  // other uncommitted change.
  if (failed_ || !hasCommittedInTerm() || transferring_ || membershipChangePending()) {
    return false;
  }
  appendLocally(EntryKind::kMembership, base::encode(next));
  m_replicationPending = true;
  return true;
}

void RaftConsensus::promoteCaughtUpLearner(base::TimePoint now) {
  if (membershipChangePending()) {
    return;
  }
  for (const base::NodeId learner : membership_.learners) {
    const auto found = progress_.find(learner);
    if (found == progress_.end() || found->second.matchIndex < commit_index_) {
      continue;
    }
    if (found->second.matchIndex + settings_.maxPromotionLag < log_.lastIndex()) {
      continue;
    }
    Membership next = membership_;
    next.learners.erase(learner);
    next.voters.insert(learner);
    proposeMembership(next, now);
    return;
  }
}

void RaftConsensus::reloadMembership() {
  membership_ = log_.snapshot().membership;
  membership_index_ = log_.snapshot().lastIndex;
  for (LogIndex index = log_.lastIndex(); index >= log_.firstIndex() && index > 0; --index) {
    const LogEntry& entry = log_.entry(index);
    if (entry.kind != EntryKind::kMembership) {
      continue;
    }
    membership_ = base::decode<Membership>(entry.payload).value_or(Membership{});
    membership_index_ = index;
    return;
  }
}

bool RaftConsensus::transferLeadership(base::TimePoint now) {
  if (failed_ || state_ != RaftState::kLeader || transferring_) {
    return false;
  }
  base::NodeId target;
  LogIndex best = 0;
  for (const auto& [node, progress] : progress_) {
    if (membership_.isVoter(node) && progress.matchIndex > best) {
      best = progress.matchIndex;
      target = node;
    }
  }
  if (best < log_.lastIndex()) {
    return false;
  }
  transferring_ = true;
  transfer_deadline_ = now + settings_.maxElectionTimeout;
  send(target, TimeoutNowRequest{currentTerm()});
  return true;
}

}  // namespace tackpick::consensus
