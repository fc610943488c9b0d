/// \file
/// LogStore in segment files with checksums.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "consensus/log_store.h"
#include "storage/disk_executor.h"
#include "storage/file_system.h"

namespace tackpick::storage {

/// Identity of a data directory. A directory of another cluster, node or format version is
/// rejected.
struct DataDirectoryIdentity {
  std::string cluster;
  base::NodeId node;
  base::GroupId group;
  std::uint32_t formatVersion = 2;

  bool operator==(const DataDirectoryIdentity&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cluster, node, group, formatVersion);
  }
};

/// File that holds the identity of an initialized directory.
inline constexpr const char* kIdentityFileName = "identity";

/// Returns the identity of a directory, kNotFound if it is empty.
[[nodiscard]] base::Result<DataDirectoryIdentity> readIdentity(FileSystem& files);

/// Write-ahead log of entries and hard states, with the latest snapshot.
///
/// Files: `identity`, `snapshot`, and segments `segment-NNNNNNNNNN` of records
/// `[magic u32][length u32][checksum u64][payload]`, little endian. A new segment starts with the
/// hard state and all entries after the snapshot, so only the latest segment is read. The entries
/// are also held in memory; the state of the snapshot is only on disk. The snapshot file consists
/// of a record that describes the snapshot and its state. A torn record at the end of the last
/// segment is dropped on opening, because it was never synced and therefore never acknowledged.
/// Damage before a readable record is reported as kCorrupt. Owned by one thread.
///
/// With a DiskExecutor, records are buffered in memory and written and synced by the executor, so
/// that a slow disk delays only messages that depend on a write. It also writes snapshots for
/// compaction; a snapshot received from another server is written by the caller.
class SegmentedLog final : public consensus::LogStore {
 public:
  /// Opens a directory. An empty one is initialized with `identity` and, for the initial voters of
  /// a new group, with the `initial` membership. `executor`, if any, must be used by this log only.
  [[nodiscard]] static base::Result<std::unique_ptr<SegmentedLog>> open(
      FileSystem& files, const DataDirectoryIdentity& identity,
      const consensus::Membership& initial, DiskExecutor* executor = nullptr);
  SegmentedLog(const SegmentedLog&) = delete;
  SegmentedLog& operator=(const SegmentedLog&) = delete;
  /// Waits for a running task of the executor.
  ~SegmentedLog() override;

  [[nodiscard]] const consensus::HardState& hardState() const override { return hard_state_; }
  [[nodiscard]] const consensus::Snapshot& snapshot() const override { return snapshot_; }
  [[nodiscard]] base::Result<base::Bytes> readSnapshotState() const override;
  [[nodiscard]] base::Result<base::Bytes> readSnapshotChunk(std::size_t offset,
                                                            std::size_t size) const override;
  [[nodiscard]] std::size_t snapshotBytes() const override { return snapshot_bytes_; }
  [[nodiscard]] std::size_t logBytes() const override { return log_bytes_; }
  [[nodiscard]] consensus::LogIndex lastIndex() const override {
    return snapshot_.lastIndex + entries_.size();
  }
  [[nodiscard]] consensus::LogIndex firstIndex() const override { return snapshot_.lastIndex + 1; }
  [[nodiscard]] const consensus::LogEntry& entry(consensus::LogIndex index) const override {
    return entries_.at(index - firstIndex());
  }
  [[nodiscard]] base::Result<void> append(const consensus::LogEntry& entry) override;
  [[nodiscard]] base::Result<void> truncateSuffix(consensus::LogIndex firstRemoved) override;
  [[nodiscard]] base::Result<void> saveHardState(const consensus::HardState& state) override;
  [[nodiscard]] base::Result<void> saveSnapshot(const consensus::Snapshot& snapshot) override;
  [[nodiscard]] base::Result<void> beginCompaction(consensus::Snapshot snapshot) override;
  [[nodiscard]] bool compacting() const override { return compaction_ != nullptr; }
  [[nodiscard]] base::Result<void> sync() override;
  [[nodiscard]] base::Result<void> beginSync() override;
  [[nodiscard]] base::Result<bool> pollSync() override;

 private:
  SegmentedLog(FileSystem& files, DiskExecutor* executor) : files_(files), executor_(executor) {}

  [[nodiscard]] base::Result<void> load();
  [[nodiscard]] base::Result<void> loadSnapshot();
  [[nodiscard]] base::Result<void> writeSnapshot(const consensus::Snapshot& snapshot);
  /// Waits for the executor and handles the result of its task.
  [[nodiscard]] base::Result<void> waitForExecutor();
  /// Switches to the new snapshot and segment, and drops the entries that the snapshot covers.
  [[nodiscard]] base::Result<void> finishCompaction();
  /// Hands the pending records to the executor to be written and synced.
  void startSync();
  /// Writes and syncs a segment with the hard state and all entries.
  [[nodiscard]] base::Result<void> writeSegment(const std::string& name);
  /// Returns the records of the hard state and of the entries after `index`.
  [[nodiscard]] base::Bytes encodeTail(consensus::LogIndex index) const;
  [[nodiscard]] base::Result<void> replaySegment(const std::string& name);
  /// Replays a record. Returns false if it is invalid.
  [[nodiscard]] bool applyRecord(const base::Bytes& payload);
  void recomputeLogBytes();
  /// Drops all replayed entries that do not continue from the snapshot.
  void dropEntriesCoveredBySnapshot();
  [[nodiscard]] base::Result<void> writeRecord(const base::Bytes& payload);
  /// Starts a new segment with the hard state and all entries, then removes the other segments.
  [[nodiscard]] base::Result<void> rollSegment();

  FileSystem& files_;
  DiskExecutor* const executor_;  ///< nullptr: the caller's thread writes and syncs
  base::Bytes m_pendingRecords;   ///< records not handed to the executor yet
  struct Compaction;
  std::shared_ptr<Compaction> compaction_;  ///< compaction in progress, if any
  bool m_syncQueued = false;    ///< whether a sync starts once the compaction has completed
  bool m_syncInFlight = false;  ///< whether pollSync() has yet to report the completion of a sync
  /// Whether a sync completed before the compaction started and pollSync() has yet to report it.
  bool m_syncCompleted = false;
  consensus::HardState hard_state_;
  consensus::Snapshot snapshot_;  ///< without its state
  std::size_t snapshot_bytes_ = 0;
  std::size_t snapshot_offset_ = 0;  ///< offset of the state in the snapshot file
  std::size_t log_bytes_ = 0;        ///< total size of the payloads in entries_
  std::deque<consensus::LogEntry> entries_;
  std::uint64_t segment_number_ = 0;
  std::unique_ptr<AppendFile> segment_;
};

}  // namespace tackpick::storage
