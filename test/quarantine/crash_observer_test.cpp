/// Which broken runs a gateway takes for the end of the instance.
#include "quarantine/crash_observer.h"

#include <criterion/criterion.h>

#include "quarantine/quarantine_policy.h"

namespace base = tackpick::base;
using tackpick::quarantine::Crash;
using tackpick::quarantine::CrashObserver;
using tackpick::quarantine::RequestFingerprint;

namespace {

constexpr RequestFingerprint kRequest{1, 1};
constexpr RequestFingerprint kOther{2, 2};
const base::TimePoint kStart{base::seconds(100)};

base::TimePoint at(int milliseconds) { return kStart + base::milliseconds(milliseconds); }

}  // namespace

Test(crash_observer, instance_that_stays_silent_has_ended) {
  CrashObserver observer;
  observer.onBroken({kRequest, "servers", "i-1"}, at(0));
  cr_assert_eq(observer.crashes(kRequest), 1, "it counts at once for this gateway");
  cr_assert(observer.takeCertain(at(100)).empty(), "the instance may still answer somebody");
  cr_assert_eq(observer.takeCertain(at(300)).size(), 1);
  cr_assert(observer.takeCertain(at(400)).empty(), "each is told once");
}

Test(crash_observer, instance_that_answers_others_has_not_ended) {
  CrashObserver observer;
  observer.onBroken({kRequest, "servers", "i-1"}, at(0));
  observer.onAnswered("i-2", at(10), at(20));
  cr_assert_eq(observer.crashes(kRequest), 1, "another instance says nothing of this one");
  observer.onAnswered("i-1", at(-10), at(20));
  cr_assert_eq(observer.crashes(kRequest), 1, "that answer was on its way when the instance ended");
  observer.onAnswered("i-1", at(-10), at(100));
  cr_assert(observer.empty());
  cr_assert(observer.takeCertain(at(300)).empty());
}

Test(crash_observer, later_run_shows_life_only_before_a_successor_can_be_there) {
  CrashObserver observer;
  observer.onBroken({kRequest, "servers", "i-1"}, at(0));
  observer.onAnswered("i-1", at(850), at(900));
  cr_assert_eq(observer.crashes(kRequest), 1, "a new incarnation may have that name by now");
  observer.onAnswered("i-1", at(50), at(60));
  cr_assert(observer.empty());
}

Test(crash_observer, each_crash_becomes_certain_in_its_own_time) {
  CrashObserver observer;
  observer.onBroken({kRequest, "servers", "i-1"}, at(0));
  observer.onBroken({kOther, "servers", "i-2"}, at(200));
  cr_assert_eq(observer.takeCertain(at(300)).size(), 1);
  cr_assert(observer.takeCertain(at(499)).empty());
  cr_assert_eq(observer.takeCertain(at(500)).size(), 1);
}

Test(crash_observer, several_broken_runs_at_one_instance_are_one_crash) {
  CrashObserver observer;
  observer.onBroken({kRequest, "servers", "i-1"}, at(0));
  observer.onBroken({kRequest, "servers", "i-1"}, at(1));
  observer.onBroken({kOther, "servers", "i-1"}, at(1));
  cr_assert_eq(observer.crashes(kRequest), 1);
  cr_assert_eq(observer.crashes(kOther), 1);
}

Test(crash_observer, crashes_are_told_again_to_whoever_has_forgotten_them) {
  CrashObserver observer;
  observer.onBroken({kRequest, "servers", "i-1"}, at(0));
  (void)observer.takeCertain(at(300));
  observer.tellAgain();
  cr_assert_eq(observer.takeCertain(at(310)).size(), 1);
}

Test(crash_observer, is_forgotten_in_time_and_bounded_in_number) {
  CrashObserver observer;
  observer.onBroken({kRequest, "servers", "i-1"}, at(0));
  (void)observer.takeCertain(kStart + tackpick::quarantine::kCrashMemory + base::seconds(1));
  cr_assert(observer.empty());
  for (std::uint64_t i = 0; i <= tackpick::quarantine::kMaxRequests; ++i) {
    observer.onBroken({{1, i}, "servers", "i-1"}, at(static_cast<int>(i)));
  }
  cr_assert_eq(observer.crashes({1, 0}), 0, "the oldest gave way");
  cr_assert_eq(observer.crashes({1, 1}), 1);
}
