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

/// Servers of a group (section 4). Learners receive the log but do not vote (section 4.2.1).
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
  kNoOp,        ///< appended by a new leader to commit entries of earlier terms (section 3.6.2)
  kCommand,     ///< command of the state machine
  kMembership,  ///< new Membership, in force as soon as it is appended (section 4.1)
};

struct LogEntry {
  Term term = 0;
  LogIndex index = 0;
  EntryKind kind = EntryKind::kNoOp;
  base::Bytes payload;

  bool operator==(const LogEntry&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, index, kind, payload);
  }
};

/// State that must be durable before a server answers a vote request (section 3.8).
struct HardState {
  Term term = 0;
  base::NodeId votedFor;

  bool operator==(const HardState&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, votedFor);
  }
};

/// State of the state machine after `lastIndex`; replaces all entries up to it (chapter 5).
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
  bool preVote = false;             ///< request of a pre-vote (section 9.6)
  bool leadershipTransfer = false;  ///< the leader requested this election (section 3.10)

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

/// Replication and heartbeat. `round` is the number of the leader's latest broadcast.
/// Responses echo it, which shows the leader when a quorum last followed it.
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
  LogIndex lastIndex = 0;  ///< matched index on success, otherwise the index to retry from
  std::uint64_t round = 0;
  bool isSnapshotChunk = false;     ///< acknowledges a chunk of an incomplete snapshot
  std::uint64_t snapshotBytes = 0;  ///< received bytes of that snapshot's state

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, success, lastIndex, round, isSnapshotChunk, snapshotBytes);
  }
};

/// Chunk of a snapshot. The next chunk is sent when this one is acknowledged.
struct InstallSnapshotRequest {
  Term term = 0;
  std::uint64_t round = 0;
  Snapshot snapshot;             ///< its state holds only the chunk
  std::uint64_t offset = 0;      ///< offset of the chunk in the state
  std::uint64_t totalBytes = 0;  ///< size of the complete state

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, round, snapshot, offset, totalBytes);
  }
};

/// Requests the receiver to start an election immediately (section 3.10).
struct TimeoutNowRequest {
  Term term = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(term);
  }
};

using RaftMessage = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                                 InstallSnapshotRequest, TimeoutNowRequest>;

/// A message and its destination.
struct OutgoingRaftMessage {
  base::NodeId to;
  RaftMessage message;
};

}  // namespace tackpick::consensus
