/// Time from which a new leader may send load commands.
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

// Guards against a new leader that waits for a full lease duration although it has sent no commands
// before.
Test(command_lease, new_leader_waits_for_commands_in_transit) {
  const base::TimePoint start{base::seconds(100)};
  directory::CommandLease lease = commandLease(false, start);
  cr_assert(lease.earliestCommandTime(start) <= start, "no commands were sent");
  lease.onClaim(kOtherLeader, 11, start + base::seconds(5));
  const base::TimePoint leading = start + base::seconds(6);
  cr_assert(lease.earliestCommandTime(leading) == leading + kTransit);
  cr_assert(lease.leaseExpiry() == start + base::seconds(5) + kLease,
            "the lease covers calls that may take effect late");
}

Test(command_lease, holders_do_not_alternate_within_the_lease) {
  const base::TimePoint start{base::seconds(100)};
  directory::CommandLease lease = commandLease(false, start);
  lease.onClaim(kSelf, 11, start + base::seconds(5));
  cr_assert(lease.earliestCommandTime(start + base::seconds(5)) <= start,
            "its own commands do not alternate");
  const base::TimePoint other = start + base::seconds(7);
  lease.onClaim(kOtherLeader, 12, other);
  lease.onClaim(kOtherLeader, 12, other + base::seconds(1));
  cr_assert(lease.earliestCommandTime(other + base::seconds(1)) == other + kLease,
            "the first report of the claim counts");
  cr_assert(lease.earliestCommandTime(other + kLease) == other + kLease + kTransit);
}

Test(command_lease, old_commands_of_this_process_do_not_alternate) {
  const base::TimePoint start{base::seconds(100)};
  directory::CommandLease lease = commandLease(false, start);
  lease.onClaim(kSelf, 11, start + base::seconds(5));
  lease.onClaim(kOtherLeader, 12, start + base::seconds(5) + kLease + base::milliseconds(1));
  const base::TimePoint leading = start + base::seconds(9);
  cr_assert(lease.earliestCommandTime(leading) == leading + kTransit);
}

// Holders are compared by node number, which does not change when a machine gets a new disk.
Test(command_lease, machine_with_a_new_disk_counts_as_the_same_holder) {
  const base::TimePoint start{base::seconds(100)};
  const base::TimePoint claimedAt = start + base::milliseconds(10);
  const base::NodeId former = base::makeNodeId(base::nodeNumber(kSelf), 77);
  directory::CommandLease lease{kSelf, {kLease, kTransit, false}, 0, start};
  lease.onClaim(former, 11, claimedAt);
  cr_assert(lease.earliestCommandTime(claimedAt) == claimedAt + kTransit,
            "the former holder is the same machine");
  lease.onClaim(kOtherLeader, 12, claimedAt + base::seconds(1));
  cr_assert(lease.earliestCommandTime(claimedAt + base::seconds(1)) ==
            claimedAt + base::seconds(1) + kLease);
}

// A process may have sent commands shortly before it was killed and restarted.
Test(command_lease, claims_older_than_the_process_count_from_its_start) {
  const base::TimePoint start{base::seconds(100)};
  const base::TimePoint leading = start + base::seconds(1);
  directory::CommandLease unfenced = commandLease(false, start);
  unfenced.onClaim(kSelf, 9, start + base::seconds(1));
  unfenced.onClaim(kOtherLeader, 10, start + base::seconds(1));
  cr_assert(unfenced.earliestCommandTime(leading) == start + kLease);
  directory::CommandLease fenced = commandLease(true, start);
  fenced.onClaim(kSelf, 9, start + base::seconds(1));
  fenced.onClaim(kOtherLeader, 10, start + base::seconds(1));
  cr_assert(fenced.earliestCommandTime(leading) == leading + kTransit);
  directory::CommandLease never = commandLease(false, start);
  never.onClaim(kOtherLeader, 10, start + base::seconds(1));
  cr_assert(never.earliestCommandTime(leading) == leading + kTransit);
}
