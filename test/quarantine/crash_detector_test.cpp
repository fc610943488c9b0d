/// Tests of CrashDetector.
#include "quarantine/crash_detector.h"

#include <criterion/criterion.h>

#include "quarantine/quarantine_policy.h"

namespace base = tackpick::base;
using tackpick::quarantine::Crash;
using tackpick::quarantine::CrashDetector;
using tackpick::quarantine::RequestFingerprint;

namespace {

constexpr RequestFingerprint kRequest{1, 1};
constexpr RequestFingerprint kOther{2, 2};
const base::TimePoint kStart{base::seconds(100)};

base::TimePoint at(int milliseconds) { return kStart + base::milliseconds(milliseconds); }

}  // namespace

Test(crash_detector, instance_without_responses_has_crashed) {
  CrashDetector detector;
  detector.onConnectionLost({kRequest, "servers", "i-1"}, at(0));
  cr_assert_eq(detector.crashCount(kRequest), 1, "unconfirmed crashes count");
  cr_assert(detector.takeConfirmed(at(100)).empty(), "not confirmed yet");
  cr_assert_eq(detector.takeConfirmed(at(300)).size(), 1);
  cr_assert(detector.takeConfirmed(at(400)).empty(), "each crash is returned once");
}

Test(crash_detector, instance_that_responds_to_other_requests_has_not_crashed) {
  CrashDetector detector;
  detector.onConnectionLost({kRequest, "servers", "i-1"}, at(0));
  detector.onAnswered("i-2", at(10), at(20));
  cr_assert_eq(detector.crashCount(kRequest), 1, "a response of another instance is no proof");
  detector.onAnswered("i-1", at(-10), at(20));
  cr_assert_eq(detector.crashCount(kRequest), 1,
               "the response may have been in transit at the crash");
  detector.onAnswered("i-1", at(-10), at(100));
  cr_assert(detector.empty());
  cr_assert(detector.takeConfirmed(at(300)).empty());
}

Test(crash_detector, later_run_proves_life_only_before_a_restart_is_possible) {
  CrashDetector detector;
  detector.onConnectionLost({kRequest, "servers", "i-1"}, at(0));
  detector.onAnswered("i-1", at(850), at(900));
  cr_assert_eq(detector.crashCount(kRequest), 1, "the response may be from a new incarnation");
  detector.onAnswered("i-1", at(50), at(60));
  cr_assert(detector.empty());
}

Test(crash_detector, each_crash_is_confirmed_after_its_own_delay) {
  CrashDetector detector;
  detector.onConnectionLost({kRequest, "servers", "i-1"}, at(0));
  detector.onConnectionLost({kOther, "servers", "i-2"}, at(200));
  cr_assert_eq(detector.takeConfirmed(at(300)).size(), 1);
  cr_assert(detector.takeConfirmed(at(499)).empty());
  cr_assert_eq(detector.takeConfirmed(at(500)).size(), 1);
}

Test(crash_detector, several_lost_connections_of_one_instance_are_one_crash) {
  CrashDetector detector;
  detector.onConnectionLost({kRequest, "servers", "i-1"}, at(0));
  detector.onConnectionLost({kRequest, "servers", "i-1"}, at(1));
  detector.onConnectionLost({kOther, "servers", "i-1"}, at(1));
  cr_assert_eq(detector.crashCount(kRequest), 1);
  cr_assert_eq(detector.crashCount(kOther), 1);
}

Test(crash_detector, crashes_are_returned_again_after_a_reset) {
  CrashDetector detector;
  detector.onConnectionLost({kRequest, "servers", "i-1"}, at(0));
  (void)detector.takeConfirmed(at(300));
  detector.resetReported();
  cr_assert_eq(detector.takeConfirmed(at(310)).size(), 1);
}

Test(crash_detector, crashes_expire_and_are_limited_in_number) {
  CrashDetector detector;
  detector.onConnectionLost({kRequest, "servers", "i-1"}, at(0));
  (void)detector.takeConfirmed(kStart + tackpick::quarantine::kCrashRetention + base::seconds(1));
  cr_assert(detector.empty());
  for (std::uint64_t i = 0; i <= tackpick::quarantine::kMaxRequests; ++i) {
    detector.onConnectionLost({{1, i}, "servers", "i-1"}, at(static_cast<int>(i)));
  }
  cr_assert_eq(detector.crashCount({1, 0}), 0, "the oldest was evicted");
  cr_assert_eq(detector.crashCount({1, 1}), 1);
}
