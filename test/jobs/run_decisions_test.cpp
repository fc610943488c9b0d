/// What a gateway decides about the runs of its items.
#include "jobs/run_decisions.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr int kCallersUrgency = 5;

jobs::RunState silentFor(base::Duration silence) {
  jobs::RunState run;
  run.begun = true;
  run.silence = silence;
  return run;
}

jobs::RunForecast forecast(double eventIntervalMs, double remainingEvents,
                           base::Duration timeUntilDue) {
  jobs::RunForecast run;
  run.eventIntervalMs = eventIntervalMs;
  run.remainingEvents = remainingEvents;
  run.timeUntilDue = timeUntilDue;
  return run;
}

}  // namespace

Test(run_decisions, long_texts_are_more_urgent_and_none_more_than_callers) {
  jobs::RunState shortRun;
  jobs::RunState expected;
  expected.expectedLong = true;
  jobs::RunState grown;
  grown.events = 30;
  jobs::RunState moved;
  moved.moved = true;
  cr_assert_lt(jobs::urgencyOf(expected), jobs::urgencyOf(shortRun));
  cr_assert_lt(jobs::urgencyOf(grown), jobs::urgencyOf(expected));
  cr_assert_eq(jobs::urgencyOf(moved), jobs::urgencyOf(grown));
  cr_assert_gt(jobs::urgencyOf(moved), kCallersUrgency);
  cr_assert_leq(jobs::urgencyOf(shortRun), 9);
}

Test(run_decisions, run_goes_on_elsewhere_when_it_does_not_end_before_its_engine) {
  const base::Duration pace = base::milliseconds(50);
  jobs::TerminatingRun run{base::milliseconds(2400), 10, pace};
  cr_assert_not(jobs::mustMove(run), "it ends there");
  run.remainingEvents = 60;
  cr_assert(jobs::mustMove(run), "at once, with what it has");
  run.remainingEvents = 0;
  cr_assert_not(jobs::mustMove(run), "what is left is not known");
  run.untilEnd = base::milliseconds(250);
  cr_assert(jobs::mustMove(run), "the engine ends");
  run.untilEnd = base::milliseconds(-100);
  cr_assert(jobs::mustMove(run));
  run = {base::milliseconds(2400), 1000, base::Duration{0}};
  cr_assert_not(jobs::mustMove(run), "its pace is not known");
}

Test(run_decisions, run_without_events_for_long_has_stalled) {
  cr_assert_not(jobs::isStalled(silentFor(base::milliseconds(600))));
  cr_assert(jobs::isStalled(silentFor(base::milliseconds(800))));
  jobs::RunState waiting = silentFor(base::milliseconds(800));
  waiting.begun = false;
  cr_assert_not(jobs::isStalled(waiting), "it waits for its place");
  jobs::RunState restless = silentFor(base::milliseconds(800));
  restless.moves = 3;
  cr_assert_not(jobs::isStalled(restless), "it has moved often enough");
}

Test(run_decisions, text_on_an_engine_that_turned_slow_moves_only_when_it_would_be_late) {
  // 60 events are 10.2 s at this pace, 2.9 s at the usual one.
  const auto late = jobs::maxEventIntervalToMoveTo(forecast(170, 60, base::seconds(4)));
  cr_assert(late.has_value());
  cr_assert_geq(*late, 49, "engines of the usual pace do");
  cr_assert_leq(*late, 100, "others as slow do not");
  cr_assert_not(jobs::maxEventIntervalToMoveTo(forecast(170, 60, base::seconds(11))).has_value(),
                "in time");
  cr_assert(jobs::maxEventIntervalToMoveTo(forecast(170, 60, base::seconds(-1))).has_value(),
            "late anyway, yet clearly sooner elsewhere");
}

Test(run_decisions, text_near_its_end_stays) {
  cr_assert_not(
      jobs::maxEventIntervalToMoveTo(forecast(170, 4, base::milliseconds(300))).has_value(),
      "the move would cost what it gains");
}

Test(run_decisions, text_on_a_sound_engine_stays_though_late) {
  const auto bound = jobs::maxEventIntervalToMoveTo(forecast(49, 100, base::seconds(4)));
  cr_assert(!bound || *bound < 30, "no engine is so much faster");
}

Test(run_decisions, text_does_not_move_on_and_on) {
  jobs::RunForecast run = forecast(170, 60, base::seconds(4));
  run.moves = jobs::kMaxMovesToFaster;
  cr_assert_not(jobs::maxEventIntervalToMoveTo(run).has_value());
}

Test(run_decisions, nothing_is_told_without_an_estimate_or_a_due_time) {
  cr_assert_not(forecast(170, 0, base::seconds(4)).isKnown());
  cr_assert_not(forecast(170, 60, base::Duration::max()).isKnown());
  cr_assert_not(jobs::maxEventIntervalToMoveTo(forecast(170, 0, base::seconds(-4))).has_value());
  cr_assert_not(
      jobs::maxEventIntervalToMoveTo(forecast(170, 60, base::Duration::max())).has_value());
}

Test(run_decisions, rest_of_a_text_is_reckoned_with_the_error_of_its_estimate) {
  cr_assert_float_eq(jobs::remainingEventsOf(100, 30, 30), 135, 0.1);
  cr_assert_float_eq(jobs::remainingEventsOf(100, 30, 80), 135, 0.1,
                     "50 events are of an earlier lease");
  cr_assert_float_eq(jobs::remainingEventsOf(40, 100, 100), 50, 0.1,
                     "it has outgrown its estimate");
  cr_assert_eq(jobs::remainingEventsOf(0, 100, 100), 0.0, "never estimated");
}
