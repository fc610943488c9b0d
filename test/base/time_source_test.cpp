/// Guards against a clock that stops while the machine is suspended: a leader or gateway would use
/// its lease after another has acquired it.
#include <criterion/criterion.h>
#include <unistd.h>

#include "base/suspended_machine.h"
#include "base/time.h"

namespace base = tackpick::base;
using tackpick::test::suspendedSeconds;

Test(time_source, includes_the_time_of_a_suspension) {
  const base::MonotonicTimeSource clock;
  const base::TimePoint before = clock.now();
  suspendedSeconds += 3;
  const base::Duration passed = clock.now() - before;
  cr_assert_geq(passed.count(), base::Duration(base::seconds(3)).count());
}

Test(time_source, advances_in_real_time) {
  const base::MonotonicTimeSource clock;
  const base::TimePoint before = clock.now();
  usleep(2000);
  const base::Duration passed = clock.now() - before;
  cr_assert_geq(passed.count(), base::Duration(base::milliseconds(2)).count());
  cr_assert_lt(passed.count(), base::Duration(base::seconds(60)).count());
}
