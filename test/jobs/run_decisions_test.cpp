/// What a gateway decides about the runs of its items.
#include "jobs/run_decisions.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr int kCallersUrgency = 5;

jobs::RunSight silentFor(base::Duration silence) {
  jobs::RunSight run;
  run.begun = true;
  run.silence = silence;
  return run;
}

}  // namespace

Test(run_decisions, long_texts_are_more_urgent_and_none_more_than_callers) {
  jobs::RunSight shortRun;
  jobs::RunSight expected;
  expected.expectedLong = true;
  jobs::RunSight grown;
  grown.events = 30;
  jobs::RunSight moved;
  moved.moved = true;
  cr_assert_lt(jobs::urgencyOf(expected), jobs::urgencyOf(shortRun));
  cr_assert_lt(jobs::urgencyOf(grown), jobs::urgencyOf(expected));
  cr_assert_eq(jobs::urgencyOf(moved), jobs::urgencyOf(grown));
  cr_assert_gt(jobs::urgencyOf(moved), kCallersUrgency);
  cr_assert_leq(jobs::urgencyOf(shortRun), 9);
}

Test(run_decisions, run_goes_on_elsewhere_when_it_does_not_end_before_its_engine) {
  const base::Duration pace = base::milliseconds(50);
  jobs::EndingRun run{base::milliseconds(2400), 10, pace};
  cr_assert_not(jobs::mustMoveOn(run), "it ends there");
  run.restEvents = 60;
  cr_assert(jobs::mustMoveOn(run), "at once, with what it has");
  run.restEvents = 0;
  cr_assert_not(jobs::mustMoveOn(run), "what is left is not known");
  run.untilEnd = base::milliseconds(250);
  cr_assert(jobs::mustMoveOn(run), "the engine ends");
  run.untilEnd = base::milliseconds(-100);
  cr_assert(jobs::mustMoveOn(run));
  run = {base::milliseconds(2400), 1000, base::Duration{0}};
  cr_assert_not(jobs::mustMoveOn(run), "its pace is not known");
}

Test(run_decisions, run_without_events_for_long_has_stalled) {
  cr_assert_not(jobs::isStalled(silentFor(base::milliseconds(600))));
  cr_assert(jobs::isStalled(silentFor(base::milliseconds(800))));
  jobs::RunSight waiting = silentFor(base::milliseconds(800));
  waiting.begun = false;
  cr_assert_not(jobs::isStalled(waiting), "it waits for its place");
  jobs::RunSight restless = silentFor(base::milliseconds(800));
  restless.moves = 3;
  cr_assert_not(jobs::isStalled(restless), "it has moved often enough");
}
