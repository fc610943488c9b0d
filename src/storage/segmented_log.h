/// \file
/// LogStore in checksummed segment files.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "consensus/log_store.h"
#include "storage/disk_executor.h"
#include "storage/file_system.h"

namespace tackpick::storage {

/// Whose data folder this is. A folder of another cluster, node or format version is refused.
struct FolderIdentity {
  std::string cluster;
  base::NodeId node;
  base::GroupId group;
  std::uint32_t formatVersion = 2;

  bool operator==(const FolderIdentity&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cluster, node, group, formatVersion);
  }
};

/// The file of an initialised folder that holds its identity.
inline constexpr const char* kIdentityFileName = "identity";

/// Reads the identity of a folder; kNotFound when the folder is empty.
[[nodiscard]] base::Result<FolderIdentity> readIdentity(FileSystem& files);

/// Write-ahead log of entries and hard states, with the newest snapshot beside it.
///
/// Files: `identity`, `snapshot`, and segments `segment-NNNNNNNNNN` of records
/// `[magic u32][length u32][checksum u64][payload]`, little endian. A new segment begins with the
/// whole state, so only the newest one counts. The log after the snapshot is
/// also kept in memory, the snapshot's state is not; compaction keeps the log short. The snapshot's
/// file holds a record that describes it, and then its state, which may be long and is copied as
/// seldom as possible. A torn record
/// at the very end of the last segment is cut off on opening, because it was never synced and so
/// never acknowledged. Damage anywhere before a readable record is reported as kCorrupt and the
/// folder is refused. Owned by one thread.
///
/// With a DiskExecutor, records are gathered in memory and written and synced there: a slow disk
/// delays what depends on a write and nothing else. Snapshots for compaction are written there too;
/// one that another server sent is written by the caller.
class SegmentedLog final : public consensus::LogStore {
 public:
  /// Opens a folder; an empty one is initialised with `identity` and, for the first servers of a
  /// new group, their `initial` membership. `executor`, if any, is used by this log alone.
  [[nodiscard]] static base::Result<std::unique_ptr<SegmentedLog>> open(
      FileSystem& files, const FolderIdentity& identity, const consensus::Membership& initial,
      DiskExecutor* executor = nullptr);
  SegmentedLog(const SegmentedLog&) = delete;
  SegmentedLog& operator=(const SegmentedLog&) = delete;
  /// Waits for the executor, which may still be writing.
  ~SegmentedLog() override;

  [[nodiscard]] const consensus::HardState& hardState() const override { return hard_state_; }
  [[nodiscard]] const consensus::Snapshot& snapshot() const override { return snapshot_; }
  [[nodiscard]] base::Result<base::Bytes> readSnapshotState() const override;
  [[nodiscard]] base::Result<base::Bytes> readSnapshotPart(std::size_t offset,
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
  [[nodiscard]] base::Result<bool> syncEnded() override;

 private:
  SegmentedLog(FileSystem& files, DiskExecutor* executor) : files_(files), executor_(executor) {}

  [[nodiscard]] base::Result<void> load();
  [[nodiscard]] base::Result<void> loadSnapshot();
  [[nodiscard]] base::Result<void> writeSnapshot(const consensus::Snapshot& snapshot);
  /// Waits for the executor and takes in what it did.
  [[nodiscard]] base::Result<void> settle();
  /// Drops the entries that the snapshot under way covers, and goes on in the new segment.
  [[nodiscard]] base::Result<void> finishCompaction();
  void startSync();
  /// Writes and syncs a file with the hard state and all entries.
  [[nodiscard]] base::Result<void> writeAllEntries(const std::string& name);
  /// A segment's first records: the hard state and the entries behind `index`.
  [[nodiscard]] base::Bytes contentAfter(consensus::LogIndex index) const;
  [[nodiscard]] base::Result<void> replaySegment(const std::string& name);
  [[nodiscard]] bool applyRecord(const base::Bytes& payload);
  void countLogBytes();
  /// After replay: keeps only the entries that continue from the snapshot.
  void dropEntriesCoveredBySnapshot();
  [[nodiscard]] base::Result<void> writeRecord(const base::Bytes& payload);
  /// Begins a new segment holding the hard state and all entries in memory, then drops the others.
  [[nodiscard]] base::Result<void> rewrite();

  FileSystem& files_;
  DiskExecutor* const executor_;  ///< null: the caller's thread writes and syncs
  base::Bytes gathered_;          ///< records that the executor has not been given yet
  struct Compaction;
  std::shared_ptr<Compaction> compaction_;  ///< under way
  bool sync_waits_ = false;                 ///< for the end of the compaction
  bool sync_begun_ = false;                 ///< and its end has not been told
  bool sync_ended_ = false;                 ///< before the compaction began
  consensus::HardState hard_state_;
  consensus::Snapshot snapshot_;  ///< without its state
  std::size_t snapshot_bytes_ = 0;
  std::size_t snapshot_offset_ = 0;  ///< of the state in the snapshot's file
  std::size_t log_bytes_ = 0;        ///< payloads of entries_
  std::deque<consensus::LogEntry> entries_;
  std::uint64_t segment_number_ = 0;
  std::unique_ptr<AppendFile> segment_;
};

}  // namespace tackpick::storage
