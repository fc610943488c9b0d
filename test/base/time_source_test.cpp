/// A machine that is suspended for some seconds.
///
/// Leases, fences, deadlines and the age of what is known are all counted with one clock. The
/// operating system's monotonic clock stands still while the machine is suspended, and that of the
/// others goes on: a leader, or a gateway, that read it would hold its lease for young after it has
/// long been given to somebody else. Here the machine is suspended by a stand-in for the system
/// call that reads clocks.
#include <criterion/criterion.h>
#include <unistd.h>

#include "base/suspended_machine.h"
#include "base/time.h"

namespace base = tackpick::base;
using tackpick::test::suspendedSeconds;

Test(time_source, counts_the_time_of_a_suspension) {
  const base::MonotonicTimeSource clock;
  const base::TimePoint before = clock.now();
  suspendedSeconds += 3;
  const base::Duration passed = clock.now() - before;
  cr_assert_geq(passed.count(), base::Duration(base::seconds(3)).count());
}

Test(time_source, runs_on_by_itself) {
  const base::MonotonicTimeSource clock;
  const base::TimePoint before = clock.now();
  usleep(2000);
  const base::Duration passed = clock.now() - before;
  cr_assert_geq(passed.count(), base::Duration(base::milliseconds(2)).count());
  cr_assert_lt(passed.count(), base::Duration(base::seconds(60)).count());
}
