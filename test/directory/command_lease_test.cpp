/// When a new leader may give orders.
#include "directory/command_lease.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace directory = tackpick::directory;

namespace {

constexpr base::NodeId kSelf = base::makeNodeId(1, 0);
constexpr base::NodeId kOtherLeader = base::makeNodeId(7, 0);
constexpr base::Duration kLease = base::milliseconds(3100);
constexpr base::Duration kTransit = base::milliseconds(700);

directory::CommandLease commandLease(bool fenced, base::TimePoint startedAt) {
  return {kSelf, {kLease, kTransit, fenced}, 10, startedAt};
}

}  // namespace

// Engines wait for new weights while nobody gives orders: a leader that has not given any before
// cannot take turns with the former one, and waits for that one's last order only.
Test(command_lease, a_leader_that_never_gave_orders_waits_for_those_under_way) {
  const base::TimePoint start{base::seconds(100)};
  directory::CommandLease lease = commandLease(false, start);
  cr_assert(lease.freeFrom(start) <= start, "nobody gave orders");
  lease.onNote(kOtherLeader, 11, start + base::seconds(5));
  const base::TimePoint leading = start + base::seconds(6);
  cr_assert(lease.freeFrom(leading) == leading + kTransit);
  cr_assert(lease.restOfLease() == start + base::seconds(5) + kLease, "for calls that come late");
}

Test(command_lease, holders_do_not_take_turns_within_the_lease) {
  const base::TimePoint start{base::seconds(100)};
  directory::CommandLease lease = commandLease(false, start);
  lease.onNote(kSelf, 11, start + base::seconds(5));
  cr_assert(lease.freeFrom(start + base::seconds(5)) <= start, "its own orders do not alternate");
  const base::TimePoint other = start + base::seconds(7);
  lease.onNote(kOtherLeader, 12, other);
  lease.onNote(kOtherLeader, 12, other + base::seconds(1));
  cr_assert(lease.freeFrom(other + base::seconds(1)) == other + kLease, "the first look counts");
  cr_assert(lease.freeFrom(other + kLease) == other + kLease + kTransit);
}

Test(command_lease, own_orders_of_long_ago_are_no_turn) {
  const base::TimePoint start{base::seconds(100)};
  directory::CommandLease lease = commandLease(false, start);
  lease.onNote(kSelf, 11, start + base::seconds(5));
  lease.onNote(kOtherLeader, 12, start + base::seconds(5) + kLease + base::milliseconds(1));
  const base::TimePoint leading = start + base::seconds(9);
  cr_assert(lease.freeFrom(leading) == leading + kTransit);
}

// Engines know a holder by its name, which stays when the machine has lost its disk.
Test(command_lease, a_machine_with_a_new_disk_does_not_take_turns_either) {
  const base::TimePoint start{base::seconds(100)};
  const base::TimePoint noted = start + base::milliseconds(10);
  const base::NodeId former = base::makeNodeId(base::nodeNumber(kSelf), 77);
  directory::CommandLease lease{kSelf, {kLease, kTransit, false}, 0, start};
  lease.onNote(former, 11, noted);
  cr_assert(lease.freeFrom(noted) == noted + kTransit, "it follows itself");
  lease.onNote(kOtherLeader, 12, noted + base::seconds(1));
  cr_assert(lease.freeFrom(noted + base::seconds(1)) == noted + base::seconds(1) + kLease);
}

// A process that was killed and started again may have given orders just before.
Test(command_lease, notes_older_than_the_process_are_as_young_as_it) {
  const base::TimePoint start{base::seconds(100)};
  const base::TimePoint leading = start + base::seconds(1);
  directory::CommandLease unfenced = commandLease(false, start);
  unfenced.onNote(kSelf, 9, start + base::seconds(1));
  unfenced.onNote(kOtherLeader, 10, start + base::seconds(1));
  cr_assert(unfenced.freeFrom(leading) == start + kLease);
  directory::CommandLease fenced = commandLease(true, start);
  fenced.onNote(kSelf, 9, start + base::seconds(1));
  fenced.onNote(kOtherLeader, 10, start + base::seconds(1));
  cr_assert(fenced.freeFrom(leading) == leading + kTransit);
  directory::CommandLease never = commandLease(false, start);
  never.onNote(kOtherLeader, 10, start + base::seconds(1));
  cr_assert(never.freeFrom(leading) == leading + kTransit);
}
