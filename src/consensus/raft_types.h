/// \file
/// Types of the replicated log, after Ongaro's dissertation "Consensus: Bridging Theory and
/// Practice" (2014). Section numbers in this folder refer to it.
#pragma once

#include <cstdint>
#include <set>
#include <variant>
#include <vector>

#include "base/identifiers.h"
#include "base/serialization.h"

namespace tackpick::consensus {

using Term = std::uint64_t;
using LogIndex = std::uint64_t;

/// The servers of a group (section 4). Learners receive the log and do not vote (section 4.2.1).
struct Membership {
  std::set<base::NodeId> voters;
  std::set<base::NodeId> learners;

  bool operator==(const Membership&) const = default;
  [[nodiscard]] bool empty() const { return voters.empty() && learners.empty(); }
  [[nodiscard]] bool isVoter(base::NodeId node) const { return voters.contains(node); }
  [[nodiscard]] bool contains(base::NodeId node) const {
    return voters.contains(node) || learners.contains(node);
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(voters, learners);
  }
};

enum class EntryKind : std::uint8_t {
  kNoOperation,  ///< appended by a new leader to commit entries of earlier terms (section 3.6.2)
  kCommand,      ///< a command of the state machine
  kMembership,   ///< a new Membership, in force as soon as it is appended (section 4.1)
};

struct LogEntry {
  Term term = 0;
  LogIndex index = 0;
  EntryKind kind = EntryKind::kNoOperation;
  base::Bytes payload;

  bool operator==(const LogEntry&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, index, kind, payload);
  }
};

/// What must be durable before a server answers a vote (section 3.8).
struct HardState {
  Term term = 0;
  base::NodeId votedFor;

  bool operator==(const HardState&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, votedFor);
  }
};

/// Replaces all entries up to `lastIndex` (chapter 5).
struct Snapshot {
  LogIndex lastIndex = 0;
  Term lastTerm = 0;
  Membership membership;
  base::Bytes state;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(lastIndex, lastTerm, membership, state);
  }
};

struct VoteRequest {
  Term term = 0;
  LogIndex lastLogIndex = 0;
  Term lastLogTerm = 0;
  bool preVote = false;             ///< section 9.6: would you vote for me?
  bool leadershipTransfer = false;  ///< section 3.10: the leader asked for this election

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, lastLogIndex, lastLogTerm, preVote, leadershipTransfer);
  }
};

struct VoteResponse {
  Term term = 0;
  bool preVote = false;
  bool granted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, preVote, granted);
  }
};

/// Replication and heartbeat. `round` numbers the leader's broadcasts; its echo tells the leader
/// at which of its own times a quorum still followed it.
struct AppendRequest {
  Term term = 0;
  LogIndex previousIndex = 0;
  Term previousTerm = 0;
  LogIndex commitIndex = 0;
  std::uint64_t round = 0;
  std::vector<LogEntry> entries;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, previousIndex, previousTerm, commitIndex, round, entries);
  }
};

struct AppendResponse {
  Term term = 0;
  bool success = false;
  LogIndex lastIndex = 0;  ///< matched index on success, else where the leader should try next
  std::uint64_t round = 0;
  bool snapshotPart = false;        ///< answers a part of a snapshot that is not whole yet
  std::uint64_t snapshotBytes = 0;  ///< ... of whose state so many bytes have arrived

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, success, lastIndex, round, snapshotPart, snapshotBytes);
  }
};

/// A part of a snapshot. The next follows when this one is answered.
struct InstallSnapshotRequest {
  Term term = 0;
  std::uint64_t round = 0;
  Snapshot snapshot;             ///< its state is the part
  std::uint64_t offset = 0;      ///< of the part
  std::uint64_t totalBytes = 0;  ///< of the whole state

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, round, snapshot, offset, totalBytes);
  }
};

/// Asks the receiver to start an election at once (section 3.10).
struct TimeoutNowRequest {
  Term term = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term);
  }
};

using RaftMessage = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                                 InstallSnapshotRequest, TimeoutNowRequest>;

/// A message with the server it goes to.
struct OutgoingRaftMessage {
  base::NodeId to;
  RaftMessage message;
};

}  // namespace tackpick::consensus
