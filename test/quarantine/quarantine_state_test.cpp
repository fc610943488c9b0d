/// Holds in the controllers' log, the tally before them, and the gate at a gateway.
#include "quarantine/quarantine_state.h"

#include <criterion/criterion.h>

#include "base/serialization.h"
#include "quarantine/crash_tally.h"
#include "quarantine/quarantine_policy.h"
#include "quarantine/request_gate.h"

namespace base = tackpick::base;
namespace quarantine = tackpick::quarantine;
using quarantine::Admission;
using quarantine::RequestFingerprint;

namespace {

constexpr RequestFingerprint kRequest{1, 1};
const base::TimePoint kStart{base::seconds(100)};
const base::WallTime kWall{std::chrono::hours(1)};

quarantine::QuarantineState held() {
  quarantine::QuarantineState state;
  state.apply(quarantine::HoldRequest{kRequest, "servers", {"i-1", "i-2", "i-3"}, kWall});
  return state;
}

}  // namespace

Test(crash_tally, counts_instances_and_not_how_often_they_are_told) {
  quarantine::CrashTally tally;
  tally.note({kRequest, "servers", "i-1"}, kStart);
  tally.note({kRequest, "servers", "i-1"}, kStart);
  tally.note({kRequest, "servers", "i-2"}, kStart);
  cr_assert_eq(tally.instances(kRequest).size(), 2);
  tally.forgetOld(kStart + quarantine::kCrashMemory + base::seconds(1));
  cr_assert(tally.instances(kRequest).empty());
}

Test(quarantine_state, trials_are_few_and_their_pauses_grow) {
  quarantine::QuarantineState state = held();
  base::WallTime last = kWall;
  base::Duration pause{0};
  for (std::uint32_t trial = 0; trial < quarantine::kMaxTrials; ++trial) {
    const base::WallTime due = state.holds().at(kRequest).trialAt;
    cr_assert_gt((due - last).count(), pause.count());
    pause = due - last;
    cr_assert_not(state.isTrialDue(kRequest, due - base::milliseconds(1)));
    cr_assert(state.isTrialDue(kRequest, due));
    state.apply(quarantine::RecordTrial{kRequest, due});
    cr_assert_not(state.isTrialDue(kRequest, due), "one trial at a time");
    last = due;
  }
  cr_assert_not(state.isTrialDue(kRequest, last + quarantine::kHoldMemory), "no trial is left");
}

Test(quarantine_state, holds_survive_a_snapshot_and_end_by_release_or_age) {
  const auto restored = base::decode<quarantine::QuarantineState>(base::encode(held()));
  cr_assert(restored->isHeld(kRequest));
  cr_assert_eq(restored->holds().at(kRequest).instances.size(), 3);
  cr_assert(restored->outlived(kWall + quarantine::kHoldMemory).empty());
  cr_assert_eq(restored->outlived(kWall + quarantine::kHoldMemory + base::seconds(1)).size(), 1);
  quarantine::QuarantineState state = held();
  state.apply(quarantine::ReleaseRequest{kRequest});
  cr_assert_not(state.isHeld(kRequest));
}

Test(quarantine_state, number_of_holds_is_bounded) {
  quarantine::QuarantineState state;
  for (std::uint64_t i = 0; i <= quarantine::kMaxRequests; ++i) {
    state.apply(quarantine::HoldRequest{{1, i}, "servers", {}, kWall + base::milliseconds(i)});
  }
  cr_assert_eq(state.holds().size(), quarantine::kMaxRequests);
  cr_assert_not(state.isHeld({1, 0}), "the oldest gave way");
}

Test(request_gate, own_count_holds_before_the_controllers_do) {
  quarantine::RequestGate gate;
  cr_assert(gate.idle());
  for (const char* instance : {"i-1", "i-2", "i-3"}) {
    cr_assert(gate.admit(kRequest, kStart, kWall) == Admission::kFree);
    gate.observer().onBroken({kRequest, "servers", instance}, kStart);
  }
  cr_assert(gate.admit(kRequest, kStart, kWall) == Admission::kHeld);
}

Test(request_gate, holds_what_the_controllers_tell_until_a_trial_is_due) {
  quarantine::RequestGate gate;
  const auto changes = gate.onTold(held().told(), kWall, kStart);
  cr_assert_eq(changes.held.size(), 1);
  cr_assert(gate.admit(kRequest, kStart, kWall) == Admission::kHeld);
  cr_assert_eq(gate.untilTrial(kRequest, kStart, kWall).count(), quarantine::trialPause(0).count());
  const base::TimePoint due = kStart + quarantine::trialPause(0);
  const base::WallTime wrongClock{};
  cr_assert(gate.admit(kRequest, due, wrongClock) == Admission::kTrialDue,
            "the cluster's time decides, whatever this machine's clock shows");
}

Test(request_gate, release_clears_the_own_count_too) {
  quarantine::RequestGate gate;
  for (const char* instance : {"i-1", "i-2", "i-3"}) {
    gate.observer().onBroken({kRequest, "servers", instance}, kStart);
  }
  (void)gate.onTold(held().told(), kWall, kStart);
  const auto changes = gate.onTold({}, kWall, kStart);
  cr_assert_eq(changes.released.size(), 1);
  cr_assert(gate.admit(kRequest, kStart, kWall) == Admission::kFree);
  cr_assert(gate.idle());
}
