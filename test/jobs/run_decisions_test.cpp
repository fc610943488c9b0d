/// Decisions of a gateway about the runs of its items.
#include "jobs/run_decisions.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr int kInteractiveUrgency = 5;

jobs::RunState idleFor(base::Duration idleTime) {
  jobs::RunState run;
  run.started = true;
  run.idleTime = idleTime;
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
  cr_assert_gt(jobs::urgencyOf(moved), kInteractiveUrgency);
  cr_assert_leq(jobs::urgencyOf(shortRun), 9);
}

Test(run_decisions, run_moves_if_it_does_not_complete_before_its_engine_terminates) {
  const base::Duration interval = base::milliseconds(50);
  jobs::TerminatingRun run{base::milliseconds(2400), 10, interval};
  cr_assert_not(jobs::mustMove(run), "the run completes before the engine terminates");
  run.remainingEvents = 60;
  cr_assert(jobs::mustMove(run), "the run would not complete before the engine terminates");
  run.remainingEvents = 0;
  cr_assert_not(jobs::mustMove(run), "the remaining events are unknown");
  run.timeToShutdown = base::milliseconds(250);
  cr_assert(jobs::mustMove(run), "the engine terminates");
  run.timeToShutdown = base::milliseconds(-100);
  cr_assert(jobs::mustMove(run));
  run = {base::milliseconds(2400), 1000, base::Duration{0}};
  cr_assert_not(jobs::mustMove(run), "its event interval is unknown");
}

Test(run_decisions, run_without_events_for_long_has_stalled) {
  cr_assert_not(jobs::isStalled(idleFor(base::milliseconds(600))));
  cr_assert(jobs::isStalled(idleFor(base::milliseconds(800))));
  jobs::RunState waiting = idleFor(base::milliseconds(800));
  waiting.started = false;
  cr_assert_not(jobs::isStalled(waiting), "it is queued");
  jobs::RunState movedOften = idleFor(base::milliseconds(800));
  movedOften.moves = 3;
  cr_assert_not(jobs::isStalled(movedOften), "the maximum number of moves is reached");
}

Test(run_decisions, text_on_an_engine_that_turned_slow_moves_only_when_it_would_be_late) {
  // 60 events take 10.2 s at this interval and 2.9 s at the normal one.
  const auto late = jobs::maxEventIntervalToMoveTo(forecast(170, 60, base::seconds(4)));
  cr_assert(late.has_value());
  cr_assert_geq(*late, 49, "engines of normal speed are fast enough");
  cr_assert_leq(*late, 100, "equally slow engines are not fast enough");
  cr_assert_not(jobs::maxEventIntervalToMoveTo(forecast(170, 60, base::seconds(11))).has_value(),
                "in time");
  cr_assert(jobs::maxEventIntervalToMoveTo(forecast(170, 60, base::seconds(-1))).has_value(),
            "already late, and another engine would complete it sooner");
}

Test(run_decisions, nearly_complete_text_is_not_moved) {
  cr_assert_not(
      jobs::maxEventIntervalToMoveTo(forecast(170, 4, base::milliseconds(300))).has_value(),
      "the gain does not exceed the cost of the move");
}

Test(run_decisions, late_text_on_a_normal_engine_stays) {
  const auto bound = jobs::maxEventIntervalToMoveTo(forecast(49, 100, base::seconds(4)));
  cr_assert(!bound || *bound < 30, "no engine is that fast");
}

Test(run_decisions, moves_are_bounded) {
  jobs::RunForecast run = forecast(170, 60, base::seconds(4));
  run.moves = jobs::kMaxMovesToFaster;
  cr_assert_not(jobs::maxEventIntervalToMoveTo(run).has_value());
}

Test(run_decisions, no_decision_without_an_estimate_or_a_due_time) {
  cr_assert_not(forecast(170, 0, base::seconds(4)).isKnown());
  cr_assert_not(forecast(170, 60, base::Duration::max()).isKnown());
  cr_assert_not(jobs::maxEventIntervalToMoveTo(forecast(170, 0, base::seconds(-4))).has_value());
  cr_assert_not(
      jobs::maxEventIntervalToMoveTo(forecast(170, 60, base::Duration::max())).has_value());
}

Test(run_decisions, remaining_events_include_the_error_of_the_estimate) {
  cr_assert_float_eq(jobs::remainingEventsOf(100, 30, 30), 135, 0.1);
  cr_assert_float_eq(jobs::remainingEventsOf(100, 30, 80), 135, 0.1,
                     "50 events were generated under an earlier lease");
  cr_assert_float_eq(jobs::remainingEventsOf(40, 100, 100), 50, 0.1, "it exceeds its estimate");
  cr_assert_eq(jobs::remainingEventsOf(0, 100, 100), 0.0, "no estimate");
}
