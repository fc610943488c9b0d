/// Tests SegmentedLog on a disk that loses unsynced writes in a crash.
#include <criterion/criterion.h>

#include "simulation/simulated_disk.h"
#include "storage/segmented_log.h"

namespace base = tackpick::base;
namespace consensus = tackpick::consensus;
namespace simulation = tackpick::simulation;
namespace storage = tackpick::storage;

namespace {

const storage::DataDirectoryIdentity kIdentity{"cluster", base::makeNodeId(1, 0), {1}};

std::unique_ptr<storage::SegmentedLog> openLog(simulation::SimulatedDisk& disk) {
  return base::recover([&] { return storage::SegmentedLog::open(disk, kIdentity, {}); },
                       [](const base::Error& error) {
                         cr_assert_fail("%s", error.message.c_str());
                         return std::unique_ptr<storage::SegmentedLog>();
                       });
}

bool succeeds(base::Result<void> result) {
  return base::recover(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_CHECK(std::move(result));
        return true;
      },
      [](const base::Error&) { return false; });
}

consensus::LogEntry entryAt(consensus::LogIndex index) {
  return {1, index, consensus::EntryKind::kCommand, "payload " + std::to_string(index)};
}

}  // namespace

// Guards against a torn segment that is left over next to a newer one and reported as corrupt.
Test(crash, torn_segment_next_to_a_newer_one_is_ignored) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    base::SeededRandom random(seed);
    simulation::SimulatedDisk disk;
    for (consensus::LogIndex index = 1; index <= 4; ++index) {
      const auto log = openLog(disk);
      cr_assert_eq(log->lastIndex(), index - 1);
      cr_assert(succeeds(log->append(entryAt(index))));
      cr_assert(succeeds(log->sync()));
      // This record is not synced, so the crash may tear it.
      cr_assert(succeeds(log->append(entryAt(index + 1))));
      disk.crash(random);
      const auto reopened = openLog(disk);
      cr_assert_geq(reopened->lastIndex(), index);
      if (reopened->lastIndex() > index) {
        cr_assert(succeeds(reopened->truncateSuffix(index + 1)));
        cr_assert(succeeds(reopened->sync()));
      }
      disk.crash(random);
    }
  }
}

Test(crash, synced_entries_survive_and_a_failing_sync_is_reported) {
  base::SeededRandom random(3);
  simulation::SimulatedDisk disk;
  {
    const auto log = openLog(disk);
    cr_assert(succeeds(log->append(entryAt(1))));
    cr_assert(succeeds(log->sync()));
    disk.failSyncs();
    cr_assert(succeeds(log->append(entryAt(2))));
    cr_assert_not(succeeds(log->sync()));
  }
  disk.crash(random);
  disk.repair();
  const auto log = openLog(disk);
  cr_assert_geq(log->lastIndex(), 1U);
  cr_assert(log->entry(1) == entryAt(1));
}

Test(crash, damage_in_the_middle_is_rejected) {
  base::SeededRandom random(5);
  simulation::SimulatedDisk disk;
  {
    const auto log = openLog(disk);
    for (consensus::LogIndex index = 1; index <= 40; ++index) {
      cr_assert(succeeds(log->append(entryAt(index))));
    }
    cr_assert(succeeds(log->sync()));
  }
  disk.corrupt(random);
  const auto code = base::recover(
      [&]() -> base::Result<std::optional<base::ErrorCode>> {
        BOOST_LEAF_CHECK(storage::SegmentedLog::open(disk, kIdentity, {}));
        return std::optional<base::ErrorCode>{};
      },
      [](const base::Error& error) { return std::optional(error.code); });
  cr_assert(code == base::ErrorCode::kCorrupt);
}
