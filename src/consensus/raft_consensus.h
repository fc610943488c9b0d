/// \file
/// One server of a Raft group as a deterministic state machine, without I/O of its own.
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

/// Knobs of RaftConsensus.
struct RaftSettings {
  base::Duration electionTimeoutMinimum = base::milliseconds(400);
  base::Duration electionTimeoutMaximum = base::milliseconds(800);
  /// A pre-vote without a majority is repeated after this time, and up to as much more.
  base::Duration preVoteRetry = base::milliseconds(120);
  base::Duration heartbeatInterval = base::milliseconds(80);
  /// The clocks of two servers may differ in rate by at most this many percent.
  int clockDriftPercent = 2;
  std::size_t maximumEntriesPerMessage = 512;
  /// A message carries no further entry once it holds this many bytes.
  std::size_t maximumBytesPerMessage = 256U << 10U;
  /// A part of a snapshot without an answer is sent again after this time.
  base::Duration snapshotResend = base::milliseconds(800);
  /// A snapshot travels in parts of this many bytes.
  std::size_t snapshotPartBytes = 256U << 10U;
  /// A learner is promoted when it lags by at most this many entries.
  LogIndex promotionLag = 16;

  /// Deliberate faults, used only by the simulator to show that its checkers bite.
  struct Mutants {
    bool voteTwicePerTerm = false;
    bool acknowledgeBeforeSync = false;
    bool ignoreLeaderLease = false;
  } mutants;
};

enum class RaftState { kFollower, kPreCandidate, kCandidate, kLeader };

/// Raft as in the dissertation: pre-vote (9.6), check-quorum (6.2), leader lease (6.4.1),
/// single-server membership change with learners (4), snapshots (5), leadership transfer (3.10).
///
/// Use: feed messages, ticks and proposals; then call flush(), which begins to sync the log, and
/// send what it returns; then apply takeCommitted(). A message that depends on a write is held back
/// until that is durable: call flush() again when a sync has ended. To the others that looks like a
/// slower network; after a crash what was held back was never sent. Owned by one thread. After a
/// storage failure failed() is true and the server neither sends nor accepts anything.
class RaftConsensus {
 public:
  RaftConsensus(base::NodeId self, RaftSettings settings, LogStore& log, base::Random& random,
                base::TimePoint now);

  /// Handles a message from another server of the group.
  void handle(base::NodeId from, const RaftMessage& message, base::TimePoint now);
  /// Fires timeouts. Call at least every heartbeat interval, and after any stall.
  void tick(base::TimePoint now);
  /// Appends a command when this server leads; its index, or nothing when it does not lead.
  std::optional<LogIndex> propose(base::Bytes command, base::TimePoint now);

  /// Adds a server as a learner; it is promoted once it has caught up. False when this server
  /// does not lead or another membership change is under way.
  bool addMember(base::NodeId node, base::TimePoint now);
  bool removeMember(base::NodeId node, base::TimePoint now);
  /// Hands leadership to the most up-to-date voter (section 3.10). False when there is none.
  bool transferLeadership(base::TimePoint now);

  /// Begins to sync what was written, unless a sync is under way, and returns the messages that may
  /// now be sent.
  [[nodiscard]] std::vector<OutgoingRaftMessage> flush(base::TimePoint now);
  /// A snapshot received from the leader that the state machine must load first, if any.
  [[nodiscard]] std::optional<Snapshot> takeReceivedSnapshot();
  /// Entries committed since the last call, in order, for the state machine.
  [[nodiscard]] std::vector<LogEntry> takeCommitted();
  /// Stores a snapshot of the state machine after `lastApplied` and drops the log before it.
  void compact(LogIndex lastApplied, base::Bytes state);

  [[nodiscard]] bool isLeader() const { return state_ == RaftState::kLeader; }
  [[nodiscard]] RaftState state() const { return state_; }
  [[nodiscard]] Term currentTerm() const { return log_.hardState().term; }
  [[nodiscard]] base::NodeId leader() const { return leader_; }
  [[nodiscard]] LogIndex commitIndex() const { return commit_index_; }
  [[nodiscard]] const Membership& membership() const { return membership_; }
  /// True while the latest membership is not yet committed.
  [[nodiscard]] bool membershipChangePending() const { return membership_index_ > commit_index_; }
  [[nodiscard]] bool failed() const { return failed_; }
  /// Stops this server for good: what it depends on cannot be read.
  void fail() { failed_ = true; }
  /// While this holds no other server can have become leader (section 6.4.1).
  [[nodiscard]] bool hasLease(base::TimePoint now) const;
  /// The latest own time at which a quorum is known to have followed this leader.
  [[nodiscard]] base::TimePoint quorumConfirmedAt() const { return quorum_confirmed_at_; }
  /// When this server became leader.
  [[nodiscard]] base::TimePoint leaderSince() const { return leader_since_; }
  /// True once an entry of the current term is committed, so that reads see all earlier commits.
  [[nodiscard]] bool hasCommittedInTerm() const;
  /// Bytes of the newest snapshot's state.
  [[nodiscard]] std::size_t snapshotBytes() const { return log_.snapshotBytes(); }
  /// True when the log should give way to a new snapshot of what is applied: it has grown beyond
  /// `entries`, or beyond `bytes` and half of the last snapshot, and most of it can go.
  [[nodiscard]] bool needsCompaction(LogIndex applied, LogIndex entries, std::size_t bytes) const;
  /// Entries in the log that a snapshot does not cover.
  [[nodiscard]] LogIndex logLength() const { return log_.lastIndex() + 1 - log_.firstIndex(); }

 private:
  /// What a leader knows of another server.
  struct Progress {
    LogIndex nextIndex = 1;
    LogIndex matchIndex = 0;
    std::uint64_t acknowledgedRound = 0;
    base::TimePoint probedAt{};       ///< when entries were last sent
    bool awaitingSnapshot = false;    ///< a snapshot is under way; only heartbeats are sent
    bool outstanding = false;         ///< entries were sent and not yet answered
    LogIndex sentIndex = 0;           ///< the last of them
    LogIndex snapshotIndex = 0;       ///< of the snapshot under way
    std::uint64_t snapshotBytes = 0;  ///< of its state that have arrived
  };
  struct Round {
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
  [[nodiscard]] bool heardFromLeader(base::TimePoint now) const;
  [[nodiscard]] bool isUpToDate(LogIndex lastIndex, Term lastTerm) const;
  [[nodiscard]] bool hasQuorum(const std::set<base::NodeId>& nodes) const;

  // Replication: raft_replication.cpp.
  void onMessage(base::NodeId from, const AppendRequest& request, base::TimePoint now);
  void onMessage(base::NodeId from, const AppendResponse& response, base::TimePoint now);
  void onMessage(base::NodeId from, const InstallSnapshotRequest& request, base::TimePoint now);
  void refuseStaleLeader(base::NodeId from);
  void acceptLeader(base::NodeId from, Term term, base::TimePoint now);
  bool appendFollowing(const AppendRequest& request);
  /// Entries from `firstRemoved` on are no longer what a sync made or makes durable.
  void noteTruncated(LogIndex firstRemoved);
  /// Sends to all: begins a round that confirms the lease.
  void broadcast(base::TimePoint now);
  /// Sends entries and the commit index to those that have answered the last. The others get them
  /// when they answer: under load many entries travel together, and no message is empty.
  void tellNews(base::TimePoint now);
  /// The other members.
  [[nodiscard]] std::vector<base::NodeId> peers() const;
  [[nodiscard]] Progress& progressOf(base::NodeId node);
  void sendAppend(base::NodeId to, Progress& progress, base::TimePoint now);
  /// Sends the next part of the newest snapshot.
  void sendSnapshot(base::NodeId to, Progress& progress);
  void onSnapshotPart(base::NodeId from, const AppendResponse& response, base::TimePoint now);
  /// Adds a part to the snapshot that arrives; what is not the next part is passed over.
  void takeSnapshotPart(const InstallSnapshotRequest& request);
  void install(Snapshot snapshot);
  void confirmRounds();
  void advanceCommit();
  void checkQuorum(base::TimePoint now);
  [[nodiscard]] Term termAt(LogIndex index) const;

  // Membership: raft_membership.cpp.
  bool proposeMembership(const Membership& next, base::TimePoint now);
  void promoteCaughtUpLearner(base::TimePoint now);
  void reloadMembership();

  void appendLocally(EntryKind kind, base::Bytes payload);
  void send(base::NodeId to, RaftMessage message);
  /// Notes the end of a sync and begins the next one when something was written since.
  void advanceSync();
  void noteSyncEnd();
  [[nodiscard]] std::vector<OutgoingRaftMessage> takeSendable();
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
  LogIndex delivered_index_ = 0;  ///< last entry handed out by takeCommitted()
  std::optional<Snapshot> received_snapshot_;
  std::optional<Snapshot> arriving_snapshot_;  ///< its state as far as it has arrived
  /// A sync under way.
  struct Sync {
    std::uint64_t writes = 0;  ///< it makes these durable
    LogIndex index = 0;        ///< ... and with them the entries up to here
  };
  /// A message that may be sent once so many writes are durable.
  struct HeldMessage {
    std::uint64_t writes = 0;
    OutgoingRaftMessage outgoing;
  };
  std::uint64_t writes_ = 0;            ///< to the log, so far
  std::uint64_t durable_writes_ = 0;    ///< of them
  std::uint64_t hard_state_write_ = 0;  ///< the last of the hard state
  std::optional<Sync> sync_;
  LogIndex synced_index_ = 0;  ///< own entries up to here are durable
  std::vector<HeldMessage> outbox_;

  Membership membership_;  ///< the latest in the log, committed or not (section 4.1)
  LogIndex membership_index_ = 0;

  base::TimePoint election_deadline_{};
  /// Of the limits at which the log is compacted: drawn, so that the replicas of a group, which get
  /// the same entries, are not all held up at once.
  std::size_t compaction_percent_ = 100;
  base::TimePoint last_heard_from_leader_{};
  std::set<base::NodeId> votes_;

  // Valid while leader.
  std::map<base::NodeId, Progress> progress_;
  std::deque<Round> rounds_;  ///< broadcasts not yet confirmed by a quorum, oldest first
  std::uint64_t last_round_ = 0;
  base::TimePoint last_broadcast_at_{};
  base::TimePoint quorum_confirmed_at_{};
  base::TimePoint leader_since_{};
  LogIndex term_start_index_ = 0;
  base::TimePoint transfer_deadline_{};
  bool transferring_ = false;
  bool news_ = false;  ///< entries or a commit that the others have not been sent
};

}  // namespace tackpick::consensus
