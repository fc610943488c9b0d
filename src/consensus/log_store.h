/// \file
/// What RaftConsensus needs from durable storage.
#pragma once

#include <vector>

#include "base/error.h"
#include "consensus/raft_types.h"

namespace tackpick::consensus {

/// Durable log, hard state and snapshot of one server in one group. Writes become durable by a
/// sync; RaftConsensus sends no message that depends on a write before a sync begun after it ended.
/// Every failed write is final: the server must stop.
class LogStore {
 public:
  virtual ~LogStore() = default;

  [[nodiscard]] virtual const HardState& hardState() const = 0;
  /// The snapshot without its state, which stays on disk: see readSnapshotState().
  [[nodiscard]] virtual const Snapshot& snapshot() const = 0;
  /// The state of the snapshot; empty when none was ever taken.
  [[nodiscard]] virtual base::Result<base::Bytes> readSnapshotState() const = 0;
  /// Up to `size` bytes of it from `offset` on.
  [[nodiscard]] virtual base::Result<base::Bytes> readSnapshotPart(std::size_t offset,
                                                                   std::size_t size) const = 0;
  /// Bytes of the snapshot's state, and of the entries kept beside it.
  [[nodiscard]] virtual std::size_t snapshotBytes() const = 0;
  [[nodiscard]] virtual std::size_t logBytes() const = 0;
  /// Index of the last entry, or of the snapshot when the log is empty.
  [[nodiscard]] virtual LogIndex lastIndex() const = 0;
  /// Index of the first entry kept; lastIndex() + 1 when there is none.
  [[nodiscard]] virtual LogIndex firstIndex() const = 0;
  /// The entry at `index`, which must lie in [firstIndex(), lastIndex()].
  [[nodiscard]] virtual const LogEntry& entry(LogIndex index) const = 0;

  [[nodiscard]] virtual base::Result<void> append(const LogEntry& entry) = 0;
  /// Removes the entries from `firstRemoved` on.
  [[nodiscard]] virtual base::Result<void> truncateSuffix(LogIndex firstRemoved) = 0;
  [[nodiscard]] virtual base::Result<void> saveHardState(const HardState& state) = 0;
  /// Stores the snapshot durably and drops the entries it covers; also drops the whole log when
  /// it does not continue from the snapshot.
  [[nodiscard]] virtual base::Result<void> saveSnapshot(const Snapshot& snapshot) = 0;
  /// Like saveSnapshot() with a snapshot of this log's own entries, but may return before it is
  /// done: until compacting() is false again, snapshot() and firstIndex() are the former ones, and
  /// parts of the snapshot must not be read.
  [[nodiscard]] virtual base::Result<void> beginCompaction(Snapshot snapshot) = 0;
  /// A compaction is under way. It ends within a call of syncEnded().
  [[nodiscard]] virtual bool compacting() const { return false; }
  /// Makes all writes durable before it returns.
  [[nodiscard]] virtual base::Result<void> sync() = 0;
  /// Begins to make durable what has been written until now; syncEnded() says when that is done.
  /// Writes may go on meanwhile. Not while an earlier sync is under way.
  [[nodiscard]] virtual base::Result<void> beginSync() { return sync(); }
  /// True when no sync is under way; an error when the last one failed.
  [[nodiscard]] virtual base::Result<bool> syncEnded() { return true; }
};

}  // namespace tackpick::consensus
