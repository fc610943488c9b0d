/// Sustained event interval of a run.
#include "jobs/run_event_interval.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr base::Duration kNormalInterval = base::milliseconds(49);
constexpr base::Duration kSlow = base::milliseconds(170);

struct Run {
  void addEvents(base::Duration time, base::Duration interval) {
    for (const base::TimePoint end = now + time; now < end; now += interval) {
      events.onEvent(now);
    }
  }
  [[nodiscard]] double interval() const { return events.sustainedMs(now).value_or(0); }

  base::TimePoint now{base::seconds(50)};
  jobs::RunEventInterval events;
};

}  // namespace

Test(run_event_interval, is_not_known_at_the_beginning) {
  Run run;
  cr_assert_eq(run.interval(), 0.0);
  run.addEvents(base::milliseconds(900), kNormalInterval);
  cr_assert_eq(run.interval(), 0.0);
  run.addEvents(base::milliseconds(200), kNormalInterval);
  cr_assert_float_eq(run.interval(), 49, 6);
}

Test(run_event_interval, only_lasting_slowdowns_count) {
  Run run;
  run.addEvents(base::seconds(2), kNormalInterval);
  run.addEvents(base::milliseconds(600), 5 * kNormalInterval / 2);
  cr_assert_lt(run.interval(), 1.7 * 49, "%f", run.interval());
  run.addEvents(base::milliseconds(400), kNormalInterval);
  cr_assert_lt(run.interval(), 1.7 * 49, "%f", run.interval());
  run.addEvents(base::milliseconds(1700), kSlow);
  cr_assert_gt(run.interval(), 130, "%f", run.interval());
  run.addEvents(base::milliseconds(800), kNormalInterval);
  cr_assert_lt(run.interval(), 60, "%f", run.interval());
}

Test(run_event_interval, missing_events_count_as_slowdown) {
  Run run;
  run.addEvents(base::seconds(2), kNormalInterval);
  run.now += base::milliseconds(1000);
  cr_assert_geq(run.interval(), 400);
}
