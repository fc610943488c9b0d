#include "storage/segmented_log.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>

#include "base/random.h"

namespace tackpick::storage {
namespace {

constexpr std::uint32_t kRecordMagic = 0x74705231;  // "tpR1"
constexpr std::size_t kHeaderSize = 16;
constexpr std::uint32_t kMaxRecordSize = 256U << 20U;
constexpr std::string_view kSegmentPrefix = "segment-";
constexpr std::size_t kSegmentDigits = 10;
const std::string kIdentityFile = kIdentityFileName;
const std::string kSnapshotFile = "snapshot";

/// Record that removes all entries starting with `firstRemoved` when replayed.
struct TruncateRecord {
  consensus::LogIndex firstRemoved = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(firstRemoved);
  }
};

/// Record that precedes the state in the snapshot file.
struct SnapshotRecord {
  consensus::Snapshot snapshot;  ///< without its state
  std::uint64_t stateBytes = 0;
  std::uint64_t stateHash = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(snapshot, stateBytes, stateHash);
  }
};

using Record = std::variant<consensus::LogEntry, consensus::HardState, TruncateRecord>;

template <typename Integer>
void putInteger(base::Bytes& bytes, Integer value) {
  constexpr unsigned kBitsPerByte = 8;
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    bytes.push_back(static_cast<char>((value >> (kBitsPerByte * i)) & 0xffU));
  }
}

template <typename Integer>
Integer getInteger(std::string_view bytes, std::size_t offset) {
  constexpr unsigned kBitsPerByte = 8;
  Integer value = 0;
  for (std::size_t i = 0; i < sizeof(Integer); ++i) {
    const auto byte = static_cast<Integer>(static_cast<unsigned char>(bytes[offset + i]));
    value |= byte << (kBitsPerByte * i);
  }
  return value;
}

base::Bytes frameRecord(const base::Bytes& payload) {
  base::Bytes encodedRecord;
  encodedRecord.reserve(kHeaderSize + payload.size());
  putInteger(encodedRecord, kRecordMagic);
  putInteger(encodedRecord, static_cast<std::uint32_t>(payload.size()));
  putInteger(encodedRecord, base::hashBytes(payload));
  encodedRecord += payload;
  return encodedRecord;
}

/// Returns the payload of the record at `offset`, std::nullopt if there is no valid record.
std::optional<std::string_view> recordAt(std::string_view content, std::size_t offset) {
  if (offset + kHeaderSize > content.size() ||
      getInteger<std::uint32_t>(content, offset) != kRecordMagic) {
    return std::nullopt;
  }
  const auto length = getInteger<std::uint32_t>(content, offset + 4);
  if (length > kMaxRecordSize || offset + kHeaderSize + length > content.size()) {
    return std::nullopt;
  }
  const std::string_view payload = content.substr(offset + kHeaderSize, length);
  if (getInteger<std::uint64_t>(content, offset + 8) != base::hashBytes(payload)) {
    return std::nullopt;
  }
  return payload;
}

bool hasRecordAfter(std::string_view content, std::size_t offset) {
  for (std::size_t probe = offset + 1; probe + kHeaderSize <= content.size(); ++probe) {
    if (recordAt(content, probe)) {
      return true;
    }
  }
  return false;
}

template <typename T>
base::Result<T> readRecordFile(FileSystem& files, const std::string& name) {
  BOOST_LEAF_AUTO(content, files.read(name));
  const auto payload = recordAt(content, 0);
  auto value = payload ? base::decode<T>(base::Bytes(*payload)) : std::nullopt;
  if (!value) {
    return base::fail(base::ErrorCode::kCorrupt, name + ": invalid record");
  }
  return *value;
}

std::string segmentName(std::uint64_t number) {
  std::string digits = std::to_string(number);
  digits.insert(0, kSegmentDigits - std::min(kSegmentDigits, digits.size()), '0');
  return std::string(kSegmentPrefix) + digits;
}

SnapshotRecord makeSnapshotRecord(const consensus::Snapshot& snapshot) {
  SnapshotRecord record;
  record.snapshot = {snapshot.lastIndex, snapshot.lastTerm, snapshot.membership, {}};
  record.stateBytes = snapshot.state.size();
  record.stateHash = base::hashBytes(snapshot.state);
  return record;
}

/// Removes all segments except `name` and opens this one.
base::Result<std::unique_ptr<AppendFile>> removeOtherSegments(FileSystem& files,
                                                              const std::string& name) {
  BOOST_LEAF_AUTO(names, files.list());
  for (const std::string& other : names) {
    if (other.starts_with(kSegmentPrefix) && other != name) {
      BOOST_LEAF_CHECK(files.remove(other));
    }
  }
  return files.open(name);
}

}  // namespace

/// State of a compaction. Shared with the executor, which modifies only `segment`.
struct SegmentedLog::Compaction {
  consensus::Snapshot snapshot;
  SnapshotRecord record;
  base::Bytes encodedRecord;  ///< `record` as stored in the snapshot file
  base::Bytes segmentBytes;   ///< content of the new segment
  std::uint64_t segmentNumber = 0;
  std::unique_ptr<AppendFile> segment;
};

base::Result<DataDirectoryIdentity> readIdentity(FileSystem& files) {
  return readRecordFile<DataDirectoryIdentity>(files, kIdentityFile);
}

base::Result<std::unique_ptr<SegmentedLog>> SegmentedLog::open(
    FileSystem& files, const DataDirectoryIdentity& identity, const consensus::Membership& initial,
    DiskExecutor* executor) {
  std::unique_ptr<SegmentedLog> log(new SegmentedLog(files, executor));
  BOOST_LEAF_AUTO(names, files.list());
  bool initialized = false;
  for (const std::string& name : names) {
    initialized = initialized || name == kIdentityFile;
  }
  if (!initialized) {
    consensus::Snapshot first;
    first.membership = initial;
    BOOST_LEAF_CHECK(log->writeSnapshot(first));
    BOOST_LEAF_CHECK(
        writeFileAtomically(files, kIdentityFile, frameRecord(base::encode(identity))));
  } else {
    BOOST_LEAF_AUTO(found, readIdentity(files));
    if (!(found == identity)) {
      return base::fail(base::ErrorCode::kWrongIdentity,
                        "the data directory belongs to another node, cluster or format version");
    }
  }
  BOOST_LEAF_CHECK(log->load());
  return log;
}

SegmentedLog::~SegmentedLog() {
  if (executor_ != nullptr) {
    executor_->wait();
  }
}

base::Result<void> SegmentedLog::load() {
  BOOST_LEAF_CHECK(loadSnapshot());
  BOOST_LEAF_AUTO(names, files_.list());
  std::vector<std::string> segments;
  for (const std::string& name : names) {
    if (name.starts_with(kSegmentPrefix) && !name.ends_with(".tmp")) {
      segments.push_back(name);
    }
  }
  if (!segments.empty()) {
    // A segment starts with all earlier state and is renamed to its final name only once this state
    // is durable. Older segments are left over from a crash and may end with a torn record.
    BOOST_LEAF_CHECK(replaySegment(segments.back()));
    segment_number_ = std::stoull(segments.back().substr(kSegmentPrefix.size()));
  }
  dropEntriesCoveredBySnapshot();
  recomputeLogBytes();
  return rollSegment();
}

void SegmentedLog::recomputeLogBytes() {
  log_bytes_ = 0;
  for (const consensus::LogEntry& entry : entries_) {
    log_bytes_ += entry.payload.size();
  }
}

base::Result<void> SegmentedLog::loadSnapshot() {
  BOOST_LEAF_AUTO(head, files_.readRange(kSnapshotFile, 0, kHeaderSize));
  const std::size_t length = head.size() < kHeaderSize ? 0 : getInteger<std::uint32_t>(head, 4);
  if (length == 0 || length > kMaxRecordSize) {
    return base::fail(base::ErrorCode::kCorrupt, kSnapshotFile + ": invalid snapshot record");
  }
  BOOST_LEAF_AUTO(encodedRecord, files_.readRange(kSnapshotFile, 0, kHeaderSize + length));
  const auto payload = recordAt(encodedRecord, 0);
  auto record = payload ? base::decode<SnapshotRecord>(base::Bytes(*payload)) : std::nullopt;
  if (!record) {
    return base::fail(base::ErrorCode::kCorrupt, kSnapshotFile + ": invalid snapshot record");
  }
  snapshot_ = std::move(record->snapshot);
  snapshot_bytes_ = record->stateBytes;
  snapshot_offset_ = encodedRecord.size();
  BOOST_LEAF_AUTO(state, readSnapshotState());
  if (state.size() != record->stateBytes || base::hashBytes(state) != record->stateHash) {
    return base::fail(base::ErrorCode::kCorrupt,
                      kSnapshotFile + ": size or checksum of the snapshot state does not match");
  }
  return {};
}

base::Result<void> SegmentedLog::writeSnapshot(const consensus::Snapshot& snapshot) {
  const SnapshotRecord record = makeSnapshotRecord(snapshot);
  const base::Bytes encodedRecord = frameRecord(base::encode(record));
  BOOST_LEAF_CHECK(writeFileAtomically(files_, kSnapshotFile, encodedRecord, snapshot.state));
  snapshot_ = record.snapshot;
  snapshot_bytes_ = record.stateBytes;
  snapshot_offset_ = encodedRecord.size();
  return {};
}

base::Result<base::Bytes> SegmentedLog::readSnapshotState() const {
  return readSnapshotChunk(0, snapshot_bytes_);
}

base::Result<base::Bytes> SegmentedLog::readSnapshotChunk(std::size_t offset,
                                                          std::size_t size) const {
  const std::size_t remaining = snapshot_bytes_ - std::min(offset, snapshot_bytes_);
  if (remaining == 0 || size == 0) {
    return base::Bytes();
  }
  return files_.readRange(kSnapshotFile, snapshot_offset_ + offset, std::min(size, remaining));
}

void SegmentedLog::dropEntriesCoveredBySnapshot() {
  bool continues = !entries_.empty() && entries_.front().index == snapshot_.lastIndex + 1;
  for (const consensus::LogEntry& entry : entries_) {
    if (entry.index == snapshot_.lastIndex) {
      continues = entry.term == snapshot_.lastTerm;
    }
  }
  if (!continues) {
    entries_.clear();
  }
  while (!entries_.empty() && entries_.front().index <= snapshot_.lastIndex) {
    entries_.pop_front();
  }
}

base::Result<void> SegmentedLog::replaySegment(const std::string& name) {
  BOOST_LEAF_AUTO(content, files_.read(name));
  std::size_t offset = 0;
  while (offset < content.size()) {
    const auto payload = recordAt(content, offset);
    if (!payload) {
      if (hasRecordAfter(content, offset)) {
        return base::fail(base::ErrorCode::kCorrupt,
                          name + ": invalid record at byte " + std::to_string(offset));
      }
      return {};
    }
    if (!applyRecord(base::Bytes(*payload))) {
      return base::fail(base::ErrorCode::kCorrupt,
                        name + ": record cannot be applied at byte " + std::to_string(offset));
    }
    offset += kHeaderSize + payload->size();
  }
  return {};
}

bool SegmentedLog::applyRecord(const base::Bytes& payload) {
  auto record = base::decode<Record>(payload);
  if (!record) {
    return false;
  }
  if (const auto* state = std::get_if<consensus::HardState>(&*record)) {
    hard_state_ = *state;
    return true;
  }
  if (const auto* truncate = std::get_if<TruncateRecord>(&*record)) {
    while (!entries_.empty() && entries_.back().index >= truncate->firstRemoved) {
      entries_.pop_back();
    }
    return true;
  }
  auto& entry = std::get<consensus::LogEntry>(*record);
  if (!entries_.empty() && entry.index != entries_.back().index + 1) {
    return false;
  }
  entries_.push_back(std::move(entry));
  return true;
}

base::Result<void> SegmentedLog::writeRecord(const base::Bytes& payload) {
  if (executor_ == nullptr) {
    return segment_->append(frameRecord(payload));
  }
  m_pendingRecords += frameRecord(payload);
  return {};
}

base::Result<void> SegmentedLog::append(const consensus::LogEntry& entry) {
  BOOST_LEAF_CHECK(writeRecord(base::encode(Record{entry})));
  entries_.push_back(entry);
  log_bytes_ += entry.payload.size();
  return {};
}

base::Result<void> SegmentedLog::truncateSuffix(consensus::LogIndex firstRemoved) {
  BOOST_LEAF_CHECK(writeRecord(base::encode(Record{TruncateRecord{firstRemoved}})));
  while (!entries_.empty() && entries_.back().index >= firstRemoved) {
    log_bytes_ -= entries_.back().payload.size();
    entries_.pop_back();
  }
  return {};
}

base::Result<void> SegmentedLog::saveHardState(const consensus::HardState& state) {
  BOOST_LEAF_CHECK(writeRecord(base::encode(Record{state})));
  hard_state_ = state;
  return {};
}

base::Result<void> SegmentedLog::saveSnapshot(const consensus::Snapshot& snapshot) {
  BOOST_LEAF_CHECK(waitForExecutor());
  const bool continues = snapshot.lastIndex >= firstIndex() && snapshot.lastIndex <= lastIndex() &&
                         entry(snapshot.lastIndex).term == snapshot.lastTerm;
  if (continues) {
    entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(
                                                            snapshot.lastIndex + 1 - firstIndex()));
  } else {
    entries_.clear();
  }
  BOOST_LEAF_CHECK(writeSnapshot(snapshot));
  recomputeLogBytes();
  return rollSegment();
}

base::Result<void> SegmentedLog::beginCompaction(consensus::Snapshot snapshot) {
  if (executor_ == nullptr) {
    return saveSnapshot(snapshot);
  }
  BOOST_LEAF_CHECK(waitForExecutor());
  m_syncCompleted = std::exchange(m_syncInFlight, false);
  compaction_ = std::make_shared<Compaction>();
  compaction_->record = makeSnapshotRecord(snapshot);
  compaction_->encodedRecord = frameRecord(base::encode(compaction_->record));
  compaction_->segmentBytes = encodeTail(snapshot.lastIndex);
  compaction_->segmentNumber = segment_number_ + 1;
  compaction_->snapshot = std::move(snapshot);
  m_pendingRecords.clear();  // The new segment contains these records.
  executor_->start([&files = files_, compaction = compaction_]() -> base::Result<void> {
    BOOST_LEAF_CHECK(writeFileAtomically(files, kSnapshotFile, compaction->encodedRecord,
                                         compaction->snapshot.state));
    BOOST_LEAF_CHECK(writeFileAtomically(files, segmentName(compaction->segmentNumber),
                                         compaction->segmentBytes));
    BOOST_LEAF_ASSIGN(compaction->segment,
                      removeOtherSegments(files, segmentName(compaction->segmentNumber)));
    return {};
  });
  return {};
}

base::Result<void> SegmentedLog::finishCompaction() {
  const std::shared_ptr<Compaction> done = std::exchange(compaction_, nullptr);
  while (!entries_.empty() && entries_.front().index <= done->record.snapshot.lastIndex) {
    entries_.pop_front();
  }
  snapshot_ = done->record.snapshot;
  snapshot_bytes_ = done->record.stateBytes;
  snapshot_offset_ = done->encodedRecord.size();
  segment_number_ = done->segmentNumber;
  segment_ = std::move(done->segment);
  recomputeLogBytes();
  return {};
}

base::Result<void> SegmentedLog::waitForExecutor() {
  if (executor_ == nullptr) {
    return {};
  }
  executor_->wait();
  BOOST_LEAF_CHECK(executor_->result());
  return compaction_ == nullptr ? base::Result<void>() : finishCompaction();
}

base::Bytes SegmentedLog::encodeTail(consensus::LogIndex index) const {
  base::Bytes content = frameRecord(base::encode(Record{hard_state_}));
  for (const consensus::LogEntry& entry : entries_) {
    if (entry.index > index) {
      content += frameRecord(base::encode(Record{entry}));
    }
  }
  return content;
}

base::Result<void> SegmentedLog::rollSegment() {
  m_pendingRecords.clear();  // The new segment contains all entries.
  const std::uint64_t number = segment_number_ + 1;
  segment_.reset();
  BOOST_LEAF_CHECK(writeSegment(segmentName(number) + ".tmp"));
  BOOST_LEAF_CHECK(files_.rename(segmentName(number) + ".tmp", segmentName(number)));
  BOOST_LEAF_CHECK(files_.syncDirectory());
  BOOST_LEAF_ASSIGN(segment_, removeOtherSegments(files_, segmentName(number)));
  segment_number_ = number;
  return {};
}

base::Result<void> SegmentedLog::writeSegment(const std::string& name) {
  constexpr std::size_t kChunkBytes = 256U << 10U;  // The log may be too large for a second copy.
  BOOST_LEAF_CHECK(files_.remove(name));
  BOOST_LEAF_AUTO(file, files_.open(name));
  base::Bytes chunk = frameRecord(base::encode(Record{hard_state_}));
  for (const consensus::LogEntry& entry : entries_) {
    chunk += frameRecord(base::encode(Record{entry}));
    if (chunk.size() >= kChunkBytes) {
      BOOST_LEAF_CHECK(file->append(std::exchange(chunk, {})));
    }
  }
  BOOST_LEAF_CHECK(file->append(chunk));
  return file->sync();
}

base::Result<void> SegmentedLog::sync() {
  BOOST_LEAF_CHECK(waitForExecutor());
  BOOST_LEAF_CHECK(segment_->append(std::exchange(m_pendingRecords, {})));
  return segment_->sync();
}

base::Result<void> SegmentedLog::beginSync() {
  if (executor_ == nullptr) {
    return sync();
  }
  m_syncQueued = compaction_ != nullptr;
  if (!m_syncQueued) {
    startSync();
  }
  return {};
}

void SegmentedLog::startSync() {
  m_syncInFlight = true;
  executor_->start([this, bytes = std::exchange(m_pendingRecords, {})]() -> base::Result<void> {
    BOOST_LEAF_CHECK(segment_->append(bytes));
    return segment_->sync();
  });
}

base::Result<bool> SegmentedLog::pollSync() {
  if (executor_ == nullptr || std::exchange(m_syncCompleted, false)) {
    return true;
  }
  if (executor_->running()) {
    return false;
  }
  BOOST_LEAF_CHECK(executor_->result());
  if (compaction_ != nullptr) {
    BOOST_LEAF_CHECK(finishCompaction());
  }
  if (std::exchange(m_syncQueued, false)) {
    startSync();
    return false;
  }
  m_syncInFlight = false;
  return true;
}

}  // namespace tackpick::storage
