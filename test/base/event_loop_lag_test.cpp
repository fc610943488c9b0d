/// Tests of the measurement of event loop lag.
#include "base/event_loop_lag.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;

namespace {

constexpr base::Duration kInterval = base::milliseconds(20);

struct Loop {
  void run(base::Duration time, base::Duration gap) {
    for (const base::TimePoint until = now + time; now < until;) {
      now += gap;
      lag.onTick(now);
    }
  }

  base::EventLoopLag lag{kInterval};
  base::TimePoint now{base::seconds(1)};
};

}  // namespace

Test(event_loop_lag, is_zero_while_ticks_are_on_time) {
  Loop loop;
  cr_assert_eq(loop.lag.average(), base::Duration{0});
  loop.run(base::seconds(2), kInterval);
  cr_assert_eq(loop.lag.average(), base::Duration{0});
}

Test(event_loop_lag, reports_lag_while_the_loop_lacks_cpu_time) {
  Loop loop;
  loop.run(base::seconds(2), base::milliseconds(100));
  cr_assert_eq(loop.lag.average(), base::milliseconds(80));
  loop.run(base::seconds(1), kInterval);
  cr_assert_eq(loop.lag.average(), base::Duration{0});
}

Test(event_loop_lag, one_pause_affects_one_window) {
  Loop loop;
  loop.run(base::seconds(1), kInterval);
  loop.run(base::milliseconds(20), base::seconds(6));
  cr_assert_gt(loop.lag.average(), base::seconds(5));
  loop.run(base::milliseconds(520), kInterval);
  cr_assert_eq(loop.lag.average(), base::Duration{0});
}
