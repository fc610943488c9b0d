#include "storage/segmented_log.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "simulation/simulated_disk.h"
#include "storage/disk_thread.h"
#include "storage/manual_executor.h"
#include "storage/posix_file_system.h"

namespace base = tackpick::base;
namespace consensus = tackpick::consensus;
namespace simulation = tackpick::simulation;
namespace storage = tackpick::storage;

namespace {

/// Data directory that is removed at the end of the test.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    std::string pattern = "/tmp/tackpick-test-XXXXXX";
    path_ = mkdtemp(pattern.data());
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  ~TemporaryDirectory() { std::filesystem::remove_all(path_); }
  [[nodiscard]] const std::string& path() const { return path_; }

  /// Returns the path of the latest segment.
  [[nodiscard]] std::string segment() const {
    std::string newest;
    for (const auto& entry : std::filesystem::directory_iterator(path_)) {
      const std::string name = entry.path().string();
      if (name.find("segment-") != std::string::npos) {
        newest = std::max(newest, name);
      }
    }
    return newest;
  }

 private:
  std::string path_;
};

const storage::DataDirectoryIdentity kIdentity{"cluster", base::makeNodeId(1, 0), {1}};

/// Opens the directory and runs `use` on the log. Returns the code of the error, if any.
template <typename Use>
std::optional<base::ErrorCode> withLog(const std::string& path,
                                       const storage::DataDirectoryIdentity& identity, Use use) {
  return base::recover(
      [&]() -> base::Result<std::optional<base::ErrorCode>> {
        BOOST_LEAF_AUTO(files, storage::PosixFileSystem::create(path));
        BOOST_LEAF_AUTO(log, storage::SegmentedLog::open(*files, identity, {}));
        use(*log);
        return std::optional<base::ErrorCode>{};
      },
      [](const base::Error& error) { return std::optional(error.code); });
}

consensus::LogEntry entryAt(consensus::LogIndex index, consensus::Term term = 1) {
  return {term, index, consensus::EntryKind::kCommand, "command " + std::to_string(index)};
}

void appendEntries(storage::SegmentedLog& log, consensus::LogIndex count) {
  for (consensus::LogIndex index = 1; index <= count; ++index) {
    cr_assert(static_cast<bool>(log.append(entryAt(index))));
  }
  cr_assert(static_cast<bool>(log.sync()));
}

}  // namespace

Test(segmented_log, entries_and_hard_state_survive_reopening) {
  const TemporaryDirectory directory;
  withLog(directory.path(), kIdentity, [](storage::SegmentedLog& log) {
    appendEntries(log, 5);
    cr_assert(static_cast<bool>(log.saveHardState({3, base::makeNodeId(2, 0)})));
    cr_assert(static_cast<bool>(log.truncateSuffix(5)));
    cr_assert(static_cast<bool>(log.sync()));
  });
  const auto error = withLog(directory.path(), kIdentity, [](storage::SegmentedLog& log) {
    cr_assert(log.lastIndex() == 4);
    cr_assert(log.entry(4) == entryAt(4));
    cr_assert(log.hardState().term == 3);
  });
  cr_assert_not(error.has_value());
}

Test(segmented_log, torn_record_at_the_end_is_dropped) {
  const TemporaryDirectory directory;
  withLog(directory.path(), kIdentity, [](storage::SegmentedLog& log) { appendEntries(log, 5); });
  const std::string segment = directory.segment();
  std::filesystem::resize_file(segment, std::filesystem::file_size(segment) - 3);
  const auto error = withLog(directory.path(), kIdentity,
                             [](storage::SegmentedLog& log) { cr_assert(log.lastIndex() == 4); });
  cr_assert_not(error.has_value());
}

Test(segmented_log, damage_before_a_readable_record_is_rejected) {
  const TemporaryDirectory directory;
  withLog(directory.path(), kIdentity, [](storage::SegmentedLog& log) { appendEntries(log, 5); });
  std::fstream file(directory.segment(), std::ios::in | std::ios::out | std::ios::binary);
  constexpr int kMiddle = 150;
  file.seekp(kMiddle);
  file.put('\x7f');
  file.close();
  const auto error = withLog(directory.path(), kIdentity, [](storage::SegmentedLog&) {});
  cr_assert(error == base::ErrorCode::kCorrupt);
}

Test(segmented_log, directory_of_another_node_is_rejected) {
  const TemporaryDirectory directory;
  withLog(directory.path(), kIdentity, [](storage::SegmentedLog&) {});
  storage::DataDirectoryIdentity other = kIdentity;
  other.node = base::makeNodeId(1, 7);  // The node has the same number but another disk.
  const auto error = withLog(directory.path(), other, [](storage::SegmentedLog&) {});
  cr_assert(error == base::ErrorCode::kWrongIdentity);
}

Test(segmented_log, snapshot_drops_covered_entries_and_keeps_later_ones) {
  const TemporaryDirectory directory;
  withLog(directory.path(), kIdentity, [](storage::SegmentedLog& log) {
    appendEntries(log, 8);
    cr_assert(static_cast<bool>(log.saveSnapshot({5, 1, {}, "state"})));
    cr_assert(log.firstIndex() == 6 && log.lastIndex() == 8);
  });
  withLog(directory.path(), kIdentity, [](storage::SegmentedLog& log) {
    cr_assert(log.firstIndex() == 6 && log.lastIndex() == 8);
    cr_assert(log.readSnapshotState().value() == "state");
    // A snapshot beyond the end of the log replaces the log.
    cr_assert(static_cast<bool>(log.saveSnapshot({20, 2, {}, "newer"})));
    cr_assert(log.firstIndex() == 21 && log.lastIndex() == 20);
  });
}

Test(segmented_log, records_written_during_a_sync_are_part_of_the_next) {
  simulation::SimulatedDisk disk;
  storage::ManualExecutor executor;
  base::SeededRandom random(1);
  const auto open = [&] {
    return base::recover(
        [&] { return storage::SegmentedLog::open(disk, kIdentity, {}, &executor); },
        [](const base::Error&) { return std::unique_ptr<storage::SegmentedLog>(); });
  };
  auto log = open();
  cr_assert(log->append({1, 1, consensus::EntryKind::kCommand, "a"}));
  cr_assert(log->beginSync());
  cr_assert(log->append({1, 2, consensus::EntryKind::kCommand, "b"}));
  cr_assert_not(log->pollSync().value(), "the sync is in progress");
  executor.finish();
  cr_assert(log->pollSync().value());
  executor.drop();
  log.reset();
  disk.crash(random);
  log = open();
  cr_assert_eq(log->lastIndex(), 1U, "the second record was not written");
  cr_assert(log->append({1, 2, consensus::EntryKind::kCommand, "c"}));
  cr_assert(log->beginSync());
  cr_assert(log->append({1, 3, consensus::EntryKind::kCommand, "d"}));
  // Saving a snapshot waits for the executor and makes all entries durable.
  cr_assert(log->saveSnapshot({1, 1, {}, "state"}));
  log.reset();
  disk.crash(random);
  cr_assert_eq(open()->lastIndex(), 3U);
}

Test(disk_thread, failure_is_reported_for_the_failed_task_only) {
  std::atomic<int> ended = 0;
  storage::DiskThread thread([&] { ++ended; });
  thread.start(
      []() -> base::Result<void> { return base::fail(base::ErrorCode::kStorage, "full"); });
  thread.wait();
  cr_assert_not(thread.running());
  cr_assert_not(thread.result());
  thread.start([]() -> base::Result<void> { return {}; });
  thread.wait();
  cr_assert(thread.result());
}

Test(segmented_log, compaction_allows_writes_and_survives_power_loss_at_any_point) {
  // Power loss 0: during the compaction, 1: after it, 2: after the sync queued behind it.
  for (int point = 0; point < 3; ++point) {
    simulation::SimulatedDisk disk;
    storage::ManualExecutor executor;
    base::SeededRandom random(7);
    const auto open = [&] {
      return base::recover(
          [&] { return storage::SegmentedLog::open(disk, kIdentity, {}, &executor); },
          [](const base::Error&) { return std::unique_ptr<storage::SegmentedLog>(); });
    };
    auto log = open();
    for (consensus::LogIndex index = 1; index <= 4; ++index) {
      cr_assert(log->append({1, index, consensus::EntryKind::kCommand, "e"}));
    }
    cr_assert(log->beginSync());
    executor.finish();
    cr_assert(log->pollSync().value());
    cr_assert(log->beginCompaction({3, 1, {}, "state"}));
    cr_assert(log->compacting());
    cr_assert_eq(log->firstIndex(), 1U, "the log is unchanged until the compaction has completed");
    cr_assert(log->append({1, 5, consensus::EntryKind::kCommand, "f"}));
    cr_assert(log->beginSync());
    cr_assert_not(log->pollSync().value());
    if (point > 0) {
      executor.finish();
      cr_assert_not(log->pollSync().value(), "the queued sync starts now");
      cr_assert_not(log->compacting());
      cr_assert_eq(log->firstIndex(), 4U);
      cr_assert_eq(log->readSnapshotState().value(), "state");
    }
    if (point > 1) {
      executor.finish();
      cr_assert(log->pollSync().value());
    }
    executor.drop();
    log.reset();
    disk.crash(random);
    log = open();
    cr_assert_eq(log->firstIndex(), point > 0 ? 4U : 1U);
    cr_assert_eq(log->lastIndex(), point > 1 ? 5U : 4U);
    cr_assert_eq(log->readSnapshotState().value(), point > 0 ? "state" : "");
  }
}

Test(posix_file_system, files_are_readable_by_their_owner_only) {
  const TemporaryDirectory directory;
  const auto opened = base::recover(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_AUTO(files, storage::PosixFileSystem::create(directory.path()));
        BOOST_LEAF_CHECK(storage::writeFileAtomically(*files, "kept", "bytes"));
        return true;
      },
      [](const base::Error&) { return false; });
  cr_assert(opened);
  using std::filesystem::perms;
  const perms mode = std::filesystem::status(directory.path() + "/kept").permissions();
  cr_assert_eq(mode & (perms::group_all | perms::others_all), perms::none);
}
