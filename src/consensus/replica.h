/// \file
/// A replica of one group: RaftConsensus, the state machine behind it, and its clients' calls.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "consensus/raft_consensus.h"
#include "consensus/state_machine.h"
#include "transport/internal_messages.h"

namespace tackpick::consensus {

/// Knobs of a Replica.
struct ReplicaSettings {
  RaftSettings raft;
  /// A snapshot replaces the log when it has grown to this many entries.
  LogIndex compactionThreshold = 8192;
  /// ... or to this many bytes, and to half of the last snapshot. The log is also held in memory,
  /// beside the state that it leads to.
  std::size_t compactionBytes = 12U << 20U;
  /// A leader hands over before it compacts when its last snapshot was this large: to encode it
  /// holds a replica up for about 2 ms a megabyte of a whole core's time.
  std::size_t handOverBytes = 64U << 20U;

  struct Mutants {
    bool answerBeforeCommit = false;  ///< acknowledge a command once appended
    bool readWithoutLease = false;    ///< answer queries in the belief of leading
  } mutants;
};

/// Deterministic; owned by one thread. The driver calls handle(), tick() and the like, then
/// finish() once per turn, which syncs the log, applies what is committed and returns messages.
class Replica {
 public:
  Replica(base::NodeId self, base::GroupId group, ReplicaSettings settings, LogStore& log,
          StateMachine& machine, base::Random& random, base::TimePoint now);

  void handle(base::NodeId from, const transport::RaftEnvelope& envelope, base::TimePoint now);
  void handle(base::NodeId from, const transport::CommandRequest& request, base::TimePoint now);
  void handle(base::NodeId from, const transport::MembershipRequest& request, base::TimePoint now);
  void tick(base::TimePoint now) { raft_.tick(now); }

  /// Called with the result of a command once it is applied, or with nothing when this replica
  /// lost leadership before that and the outcome is unknown.
  using Completion = std::function<void(const base::Bytes* result, LogIndex index)>;
  /// Proposes a command from within this process. False when this replica does not lead.
  bool propose(base::Bytes command, base::TimePoint now, Completion completion);

  /// Ends a turn. Messages to clients and peers are appended to `outbox`.
  void finish(base::TimePoint now, transport::Outbox& outbox);

  /// True when reads of the state machine see every acknowledged command.
  [[nodiscard]] bool canRead(base::TimePoint now) const;
  /// Applied up to here.
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
  void compactWhenDue(base::TimePoint now);
  void completeApplied(const LogEntry& entry, const base::Bytes& result);
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
