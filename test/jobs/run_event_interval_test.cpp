/// The pace that a run keeps to.
#include "jobs/run_event_interval.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr base::Duration kUsual = base::milliseconds(49);
constexpr base::Duration kSlow = base::milliseconds(170);

struct Run {
  void make(base::Duration time, base::Duration pace) {
    for (const base::TimePoint end = now + time; now < end; now += pace) {
      events.onEvent(now);
    }
  }
  [[nodiscard]] double pace() const { return events.sustainedMs(now).value_or(0); }

  base::TimePoint now{base::seconds(50)};
  jobs::RunEventInterval events;
};

}  // namespace

Test(run_event_interval, is_not_known_at_the_beginning) {
  Run run;
  cr_assert_eq(run.pace(), 0.0);
  run.make(base::milliseconds(900), kUsual);
  cr_assert_eq(run.pace(), 0.0);
  run.make(base::milliseconds(200), kUsual);
  cr_assert_float_eq(run.pace(), 49, 6);
}

Test(run_event_interval, slowness_of_a_moment_does_not_count_a_lasting_one_does) {
  Run run;
  run.make(base::seconds(2), kUsual);
  run.make(base::milliseconds(600), 5 * kUsual / 2);
  cr_assert_lt(run.pace(), 1.7 * 49, "%f", run.pace());
  run.make(base::milliseconds(400), kUsual);
  cr_assert_lt(run.pace(), 1.7 * 49, "%f", run.pace());
  run.make(base::milliseconds(1700), kSlow);
  cr_assert_gt(run.pace(), 130, "%f", run.pace());
  run.make(base::milliseconds(800), kUsual);
  cr_assert_lt(run.pace(), 60, "%f", run.pace());
}

Test(run_event_interval, silence_counts_as_slowness) {
  Run run;
  run.make(base::seconds(2), kUsual);
  run.now += base::milliseconds(1000);
  cr_assert_geq(run.pace(), 400);
}
