/// \file
/// Interface of the durable storage of RaftConsensus.
#pragma once

#include <vector>

#include "base/error.h"
#include "consensus/raft_types.h"

namespace tackpick::consensus {

/// Durable log, hard state and snapshot of one server in one group. Writes become durable with a
/// sync; RaftConsensus sends a message that depends on a write only after a sync that started after
/// the write has completed. A failed write is final: the server must stop.
class LogStore {
 public:
  virtual ~LogStore() = default;

  [[nodiscard]] virtual const HardState& hardState() const = 0;
  /// Returns the snapshot without its state, which stays on disk; see readSnapshotState().
  [[nodiscard]] virtual const Snapshot& snapshot() const = 0;
  /// Returns the state of the snapshot, empty if no snapshot was taken.
  [[nodiscard]] virtual base::Result<base::Bytes> readSnapshotState() const = 0;
  /// Returns up to `size` bytes of the snapshot's state, starting at `offset`.
  [[nodiscard]] virtual base::Result<base::Bytes> readSnapshotChunk(std::size_t offset,
                                                                    std::size_t size) const = 0;
  /// Returns the size of the snapshot's state.
  [[nodiscard]] virtual std::size_t snapshotBytes() const = 0;
  /// Returns the size of the payloads of all entries in the log.
  [[nodiscard]] virtual std::size_t logBytes() const = 0;
  /// Returns the index of the last entry, or the last index of the snapshot if the log is empty.
  [[nodiscard]] virtual LogIndex lastIndex() const = 0;
  /// Returns the index of the first entry, lastIndex() + 1 if the log is empty.
  [[nodiscard]] virtual LogIndex firstIndex() const = 0;
  /// Returns the entry at `index`, which must be in [firstIndex(), lastIndex()].
  [[nodiscard]] virtual const LogEntry& entry(LogIndex index) const = 0;

  [[nodiscard]] virtual base::Result<void> append(const LogEntry& entry) = 0;
  /// Removes all entries starting with `firstRemoved`.
  [[nodiscard]] virtual base::Result<void> truncateSuffix(LogIndex firstRemoved) = 0;
  [[nodiscard]] virtual base::Result<void> saveHardState(const HardState& state) = 0;
  /// Stores the snapshot durably and drops the entries it covers. If the log does not continue from
  /// the snapshot, all entries are dropped.
  [[nodiscard]] virtual base::Result<void> saveSnapshot(const Snapshot& snapshot) = 0;
  /// Like saveSnapshot() for a snapshot of this log's own entries, but may return before the
  /// snapshot is durable. Until compacting() is false again, snapshot() and firstIndex() are
  /// unchanged, and the state of the snapshot must not be read.
  [[nodiscard]] virtual base::Result<void> beginCompaction(Snapshot snapshot) = 0;
  /// Whether a compaction is in progress. It can only complete during a call of pollSync().
  [[nodiscard]] virtual bool compacting() const { return false; }
  /// Makes all writes durable and blocks until they are.
  [[nodiscard]] virtual base::Result<void> sync() = 0;
  /// Starts to make all earlier writes durable; pollSync() returns true once they are.
  /// Further writes are allowed meanwhile. Must not be called while another sync is in progress.
  [[nodiscard]] virtual base::Result<void> beginSync() { return sync(); }
  /// Returns whether no sync is in progress, or an error if the last one failed.
  [[nodiscard]] virtual base::Result<bool> pollSync() { return true; }
};

}  // namespace tackpick::consensus
