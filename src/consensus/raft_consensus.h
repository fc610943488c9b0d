/// \file
/// Server of a Raft group as a deterministic state machine without I/O of its own.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "consensus/log_store.h"
#include "consensus/raft_types.h"

namespace tackpick::consensus {

/// Settings of RaftConsensus.
struct RaftSettings {
  base::Duration minElectionTimeout = base::milliseconds(400);
  base::Duration maxElectionTimeout = base::milliseconds(800);
  /// Minimum time after which a pre-vote without a majority is repeated. Random jitter of up to the
  /// same time is added.
  base::Duration preVoteRetryInterval = base::milliseconds(120);
  base::Duration heartbeatInterval = base::milliseconds(80);
  /// Maximum difference between the clock rates of two servers, in percent.
  int clockDriftPercent = 2;
  std::size_t maxEntriesPerMessage = 512;
  /// Size at which no further entries are added to a message.
  std::size_t maxBytesPerMessage = 256U << 10U;
  /// Time after which an unacknowledged chunk of a snapshot is sent again.
  base::Duration snapshotResendInterval = base::milliseconds(800);
  /// Size of the chunks in which a snapshot is sent.
  std::size_t snapshotChunkBytes = 256U << 10U;
  /// Maximum number of entries by which a learner may lag to be promoted.
  LogIndex maxPromotionLag = 16;

  /// Deliberate faults for tests of the simulator's checkers.
  struct Mutants {
    bool voteTwicePerTerm = false;
    bool acknowledgeBeforeSync = false;
    bool ignoreLeaderLease = false;
  } mutants;
};

enum class RaftState { kFollower, kPreCandidate, kCandidate, kLeader };

/// Raft as in Ongaro's dissertation: pre-vote (9.6), check-quorum (6.2), leader lease (6.4.1),
/// single-server membership change with learners (4), snapshots (5), leadership transfer (3.10).
///
/// Usage: pass in messages, ticks and proposals; call flush(), which starts to sync the log, and
/// send the messages that it returns; then apply the entries of takeCommitted(). A message that
/// depends on a write is deferred until the write is durable; flush() must be called again when a
/// sync has completed. Deferred messages are lost in a crash. After a storage failure failed() is
/// true, and the server neither sends nor accepts messages. Owned by one thread.
class RaftConsensus {
 public:
  RaftConsensus(base::NodeId self, RaftSettings settings, LogStore& log, base::Random& random,
                base::TimePoint now);

  /// Handles a message from another server of the group.
  void handle(base::NodeId from, const RaftMessage& message, base::TimePoint now);
  /// Handles timeouts. Must be called at least every heartbeat interval, and after any stall.
  void tick(base::TimePoint now);
  /// Appends a command and returns its index, std::nullopt if this server is not the leader or is
  /// transferring leadership.
  std::optional<LogIndex> propose(base::Bytes command, base::TimePoint now);

  /// Adds a server as a learner, which is promoted once it has caught up. Returns false if this
  /// server is not the leader, has not committed an entry of its term, is transferring leadership,
  /// or another membership change is pending.
  bool addMember(base::NodeId node, base::TimePoint now);
  bool removeMember(base::NodeId node, base::TimePoint now);
  /// Transfers leadership to a voter with a complete log (section 3.10). Returns false if this
  /// server is not the leader, a transfer is in progress, or no other voter has a complete log.
  bool transferLeadership(base::TimePoint now);

  /// Starts to sync the writes so far, unless a sync is in progress, and returns the messages that
  /// may be sent now.
  [[nodiscard]] std::vector<OutgoingRaftMessage> flush(base::TimePoint now);
  /// Returns a snapshot received from the leader, which the state machine must load before it
  /// applies entries; std::nullopt if none.
  [[nodiscard]] std::optional<Snapshot> takeReceivedSnapshot();
  /// Returns the entries committed since the last call, in order.
  [[nodiscard]] std::vector<LogEntry> takeCommitted();
  /// Stores a snapshot of the state machine after `lastApplied` and drops the entries it covers.
  void compact(LogIndex lastApplied, base::Bytes state);

  [[nodiscard]] bool isLeader() const { return state_ == RaftState::kLeader; }
  [[nodiscard]] RaftState state() const { return state_; }
  [[nodiscard]] Term currentTerm() const { return log_.hardState().term; }
  [[nodiscard]] base::NodeId leader() const { return leader_; }
  [[nodiscard]] LogIndex commitIndex() const { return commit_index_; }
  [[nodiscard]] const Membership& membership() const { return membership_; }
  /// Whether the latest membership is not committed yet.
  [[nodiscard]] bool membershipChangePending() const { return membership_index_ > commit_index_; }
  [[nodiscard]] bool failed() const { return failed_; }
  /// Stops this server permanently, after a failed read of its storage.
  void fail() { failed_ = true; }
  /// Whether this leader holds a lease, so that no other server can have become leader
  /// (section 6.4.1).
  [[nodiscard]] bool hasLease(base::TimePoint now) const;
  /// Returns the latest time, by this server's clock, at which a quorum followed this leader.
  [[nodiscard]] base::TimePoint quorumConfirmedAt() const { return quorum_confirmed_at_; }
  /// Returns when this server became leader.
  [[nodiscard]] base::TimePoint leaderSince() const { return leader_since_; }
  /// Whether an entry of the current term is committed, so that reads see all earlier commits.
  [[nodiscard]] bool hasCommittedInTerm() const;
  /// Returns the size of the latest snapshot's state.
  [[nodiscard]] std::size_t snapshotBytes() const { return log_.snapshotBytes(); }
  /// Whether the log should be replaced by a snapshot: at least half of its entries are applied,
  /// and either their number exceeds `entries`, or their size exceeds both `bytes` and half of the
  /// size of the last snapshot.
  [[nodiscard]] bool needsCompaction(LogIndex applied, LogIndex entries, std::size_t bytes) const;
  /// Returns the number of entries in the log.
  [[nodiscard]] LogIndex logLength() const { return log_.lastIndex() + 1 - log_.firstIndex(); }

 private:
  /// Replication state of another server, kept by the leader.
  struct Progress {
    LogIndex nextIndex = 1;
    LogIndex matchIndex = 0;
    std::uint64_t acknowledgedRound = 0;
    base::TimePoint lastSentAt{};     ///< when entries or a chunk were last sent
    bool awaitingSnapshot = false;    ///< whether a snapshot is sent in place of entries
    bool inFlight = false;            ///< whether sent entries are not acknowledged yet
    LogIndex sentIndex = 0;           ///< last index of the entries in flight
    LogIndex snapshotIndex = 0;       ///< last index of the snapshot being sent
    std::uint64_t snapshotBytes = 0;  ///< acknowledged bytes of the state of that snapshot
  };
  /// A broadcast to all members, which confirms the lease when a quorum has answered.
  struct HeartbeatRound {
    std::uint64_t number = 0;
    base::TimePoint sentAt{};
  };

  // Elections: raft_election.cpp.
  void onMessage(base::NodeId from, const VoteRequest& request, base::TimePoint now);
  void onMessage(base::NodeId from, const VoteResponse& response, base::TimePoint now);
  void onMessage(base::NodeId from, const TimeoutNowRequest& request, base::TimePoint now);
  void startPreVote(base::TimePoint now);
  void startElection(bool leadershipTransfer, base::TimePoint now);
  void requestVotes(bool preVote, bool leadershipTransfer);
  void becomeLeader(base::TimePoint now);
  void stepDown(Term term, base::TimePoint now);
  void resetElectionTimer(base::TimePoint now);
  /// Whether this server leads or may be within the lease of another leader.
  [[nodiscard]] bool hasRecentLeaderContact(base::TimePoint now) const;
  /// Whether a log that ends with the given entry is at least as up-to-date as this one.
  [[nodiscard]] bool isUpToDate(LogIndex lastIndex, Term lastTerm) const;
  [[nodiscard]] bool hasQuorum(const std::set<base::NodeId>& nodes) const;

  // Replication: raft_replication.cpp.
  void onMessage(base::NodeId from, const AppendRequest& request, base::TimePoint now);
  void onMessage(base::NodeId from, const AppendResponse& response, base::TimePoint now);
  void onMessage(base::NodeId from, const InstallSnapshotRequest& request, base::TimePoint now);
  void rejectStaleLeader(base::NodeId from);
  void acceptLeader(base::NodeId from, Term term, base::TimePoint now);
  /// Appends the request's entries, after removal of conflicting ones. Returns false on a failure.
  bool appendEntries(const AppendRequest& request);
  /// Marks the entries starting with `firstRemoved` as not durable, also for a sync in progress.
  void onTruncated(LogIndex firstRemoved);
  /// Sends a request to all other members and starts a heartbeat round.
  void broadcast(base::TimePoint now);
  /// Sends new entries and the commit index to the members without entries in flight. Members with
  /// entries in flight receive new ones after their next response, which batches entries under
  /// load.
  void replicatePending(base::TimePoint now);
  /// Returns the other members.
  [[nodiscard]] std::vector<base::NodeId> peers() const;
  [[nodiscard]] Progress& progressOf(base::NodeId node);
  void sendAppend(base::NodeId to, Progress& progress, base::TimePoint now);
  /// Sends the next chunk of the latest snapshot.
  void sendSnapshot(base::NodeId to, Progress& progress);
  void onSnapshotChunkAck(base::NodeId from, const AppendResponse& response, base::TimePoint now);
  /// Appends a chunk to the incoming snapshot; ignores it if it is not the next one.
  void appendSnapshotChunk(const InstallSnapshotRequest& request);
  void install(Snapshot snapshot);
  /// Updates the time at which a quorum followed this leader, from the answered rounds.
  void confirmRounds();
  void advanceCommit();
  /// Steps down if this server leads and has lost contact with its quorum (section 6.2).
  void checkQuorum(base::TimePoint now);
  /// Returns the term of an entry, zero if it is not in the log.
  [[nodiscard]] Term termAt(LogIndex index) const;

  // Membership: raft_membership.cpp.
  bool proposeMembership(const Membership& next, base::TimePoint now);
  void promoteCaughtUpLearner(base::TimePoint now);
  /// Sets the membership to the latest one in the log or snapshot.
  void reloadMembership();

  void appendLocally(EntryKind kind, base::Bytes payload);
  void send(base::NodeId to, RaftMessage message);
  /// Handles a completed sync and starts the next one if there are further writes.
  void advanceSync();
  void completeSync();
  /// Returns the messages whose writes are durable.
  [[nodiscard]] std::vector<OutgoingRaftMessage> takeReadyMessages();
  void check(base::Result<void> result);
  void saveHardState(const HardState& state);

  const base::NodeId self_;
  const RaftSettings settings_;
  LogStore& log_;
  base::Random& random_;

  RaftState state_ = RaftState::kFollower;
  bool failed_ = false;
  base::NodeId leader_;
  LogIndex commit_index_ = 0;
  LogIndex delivered_index_ = 0;  ///< last entry returned by takeCommitted()
  std::optional<Snapshot> received_snapshot_;
  std::optional<Snapshot> m_incomingSnapshot;  ///< its state holds the chunks received so far
  /// A sync in progress.
  struct Sync {
    std::uint64_t writeCount = 0;  ///< number of writes that it makes durable
    LogIndex index = 0;            ///< last entry that it makes durable
  };
  /// A message that is sent once `writeCount` writes are durable.
  struct DeferredMessage {
    std::uint64_t writeCount = 0;
    OutgoingRaftMessage outgoing;
  };
  std::uint64_t m_writeCount = 0;          ///< writes to the log
  std::uint64_t m_durableWriteCount = 0;   ///< durable writes
  std::uint64_t m_lastHardStateWrite = 0;  ///< number of the last write of the hard state
  std::optional<Sync> sync_;
  LogIndex m_durableIndex = 0;  ///< last durable entry of this server
  std::vector<DeferredMessage> outbox_;

  Membership membership_;  ///< latest in the log, committed or not (section 4.1)
  LogIndex membership_index_ = 0;

  base::TimePoint election_deadline_{};
  /// Random factor on the limits at which the log is compacted, in percent. Keeps the replicas of a
  /// group from compacting simultaneously.
  std::size_t compaction_percent_ = 100;
  base::TimePoint m_lastLeaderContactAt{};
  std::set<base::NodeId> votes_;  ///< servers that granted their vote or pre-vote

  // Valid only while this server is the leader.
  std::map<base::NodeId, Progress> progress_;
  std::deque<HeartbeatRound> rounds_;  ///< rounds not confirmed by a quorum, oldest first
  std::uint64_t last_round_ = 0;
  base::TimePoint last_broadcast_at_{};
  base::TimePoint quorum_confirmed_at_{};
  base::TimePoint leader_since_{};
  LogIndex term_start_index_ = 0;
  base::TimePoint transfer_deadline_{};
  bool transferring_ = false;
  bool m_replicationPending = false;  ///< whether entries or a commit index are not sent yet
};

}  // namespace tackpick::consensus
