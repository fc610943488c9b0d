/// \file
/// Replica of a group: RaftConsensus, its state machine, and the calls of clients.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "consensus/raft_consensus.h"
#include "consensus/state_machine.h"
#include "transport/internal_messages.h"

namespace tackpick::consensus {

/// Settings of a Replica.
struct ReplicaSettings {
  RaftSettings raft;
  /// Number of entries at which the log is replaced by a snapshot.
  LogIndex compactionThreshold = 8192;
  /// Size of the log at which it is replaced by a snapshot, if it also exceeds half of the size of
  /// the last snapshot. The log is also kept in memory.
  std::size_t compactionBytes = 12U << 20U;
  /// Minimum size of the last snapshot for which a leader transfers leadership before it compacts
  /// the log, because encoding a snapshot blocks the replica for about 2 ms of CPU time per
  /// megabyte.
  std::size_t leadershipTransferBytes = 64U << 20U;

  /// Deliberate faults for tests.
  struct Mutants {
    bool answerBeforeCommit = false;  ///< acknowledge a command once appended
    bool readWithoutLease = false;    ///< answer queries without a valid lease
  } mutants;
};

/// Replica of one group. In each turn its owner calls handle(), tick() or propose() any number of
/// times and then finish() once, which syncs the log, applies committed entries and returns
/// messages. Deterministic; owned by one thread.
class Replica {
 public:
  Replica(base::NodeId self, base::GroupId group, ReplicaSettings settings, LogStore& log,
          StateMachine& machine, base::Random& random, base::TimePoint now);

  void handle(base::NodeId from, const transport::RaftEnvelope& envelope, base::TimePoint now);
  void handle(base::NodeId from, const transport::CommandRequest& request, base::TimePoint now);
  void handle(base::NodeId from, const transport::MembershipRequest& request, base::TimePoint now);
  void tick(base::TimePoint now) { raft_.tick(now); }

  /// Receives the result of a command once it is applied, or nullptr if this replica lost
  /// leadership before the command was applied, so that the outcome is unknown.
  using Completion = std::function<void(const base::Bytes* result, LogIndex index)>;
  /// Proposes a command. Returns false if this replica is not the leader or is transferring
  /// leadership.
  bool propose(base::Bytes command, base::TimePoint now, Completion completion);

  /// Ends a turn and appends messages to clients and peers to `outbox`.
  void finish(base::TimePoint now, transport::Outbox& outbox);

  /// Whether reads of the state machine see every acknowledged command.
  [[nodiscard]] bool canRead(base::TimePoint now) const;
  /// Returns the index of the last applied entry.
  [[nodiscard]] LogIndex appliedIndex() const { return applied_index_; }
  [[nodiscard]] const RaftConsensus& raft() const { return raft_; }
  [[nodiscard]] RaftConsensus& raft() { return raft_; }
  [[nodiscard]] base::GroupId group() const { return group_; }

 private:
  struct PendingCommand {
    Term term = 0;
    Completion completion;
  };
  struct PendingQuery {
    base::NodeId from;
    base::CallId call;
    base::Bytes payload;
  };

  void respond(base::NodeId to, base::CallId call, transport::CommandStatus status,
               base::Bytes payload);
  void applyCommitted(base::TimePoint now);
  /// Starts a compaction, or first a leadership transfer, if the log is long enough.
  void compactIfNeeded(base::TimePoint now);
  /// Completes the pending command of an applied entry, if any.
  void completeCommand(const LogEntry& entry, const base::Bytes& result);
  void answerQueries(base::TimePoint now);
  void failPendingUnlessLeading();

  const base::NodeId self_;
  const base::GroupId group_;
  const ReplicaSettings settings_;
  StateMachine& machine_;
  RaftConsensus raft_;
  LogIndex applied_index_ = 0;
  std::map<LogIndex, PendingCommand> pending_commands_;
  std::vector<PendingQuery> pending_queries_;
  transport::Outbox outbox_;
};

}  // namespace tackpick::consensus
