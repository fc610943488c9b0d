/// Tests of QuarantineState, CrashRegistry and QuarantineGate.
#include "quarantine/quarantine_state.h"

#include <criterion/criterion.h>

#include "base/serialization.h"
#include "quarantine/crash_registry.h"
#include "quarantine/quarantine_gate.h"
#include "quarantine/quarantine_policy.h"

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

Test(crash_registry, counts_each_instance_once) {
  quarantine::CrashRegistry registry;
  registry.record({kRequest, "servers", "i-1"}, kStart);
  registry.record({kRequest, "servers", "i-1"}, kStart);
  registry.record({kRequest, "servers", "i-2"}, kStart);
  cr_assert_eq(registry.instances(kRequest).size(), 2);
  registry.evictExpired(kStart + quarantine::kCrashRetention + base::seconds(1));
  cr_assert(registry.instances(kRequest).empty());
}

Test(quarantine_state, trials_are_limited_and_their_delays_increase) {
  quarantine::QuarantineState state = held();
  base::WallTime last = kWall;
  base::Duration delay{0};
  for (std::uint32_t trial = 0; trial < quarantine::kMaxTrials; ++trial) {
    const base::WallTime due = state.holds().at(kRequest).nextTrialAt;
    cr_assert_gt((due - last).count(), delay.count());
    delay = due - last;
    cr_assert_not(state.isTrialDue(kRequest, due - base::milliseconds(1)));
    cr_assert(state.isTrialDue(kRequest, due));
    state.apply(quarantine::RecordTrial{kRequest, due});
    cr_assert_not(state.isTrialDue(kRequest, due), "one trial at a time");
    last = due;
  }
  cr_assert_not(state.isTrialDue(kRequest, last + quarantine::kHoldRetention), "no trial is left");
}

Test(quarantine_state, holds_survive_a_snapshot_and_end_by_release_or_age) {
  const auto restored = base::decode<quarantine::QuarantineState>(base::encode(held()));
  cr_assert(restored->isHeld(kRequest));
  cr_assert_eq(restored->holds().at(kRequest).instances.size(), 3);
  cr_assert(restored->expired(kWall + quarantine::kHoldRetention).empty());
  cr_assert_eq(restored->expired(kWall + quarantine::kHoldRetention + base::seconds(1)).size(), 1);
  quarantine::QuarantineState state = held();
  state.apply(quarantine::ReleaseRequest{kRequest});
  cr_assert_not(state.isHeld(kRequest));
}

Test(quarantine_state, number_of_holds_is_limited) {
  quarantine::QuarantineState state;
  for (std::uint64_t i = 0; i <= quarantine::kMaxRequests; ++i) {
    state.apply(quarantine::HoldRequest{{1, i}, "servers", {}, kWall + base::milliseconds(i)});
  }
  cr_assert_eq(state.holds().size(), quarantine::kMaxRequests);
  cr_assert_not(state.isHeld({1, 0}), "the oldest was evicted");
}

Test(quarantine_gate, local_crash_count_holds_before_the_controllers_do) {
  quarantine::QuarantineGate gate;
  cr_assert(gate.idle());
  for (const char* instance : {"i-1", "i-2", "i-3"}) {
    cr_assert(gate.admit(kRequest, kStart, kWall) == Admission::kFree);
    gate.detector().onConnectionLost({kRequest, "servers", instance}, kStart);
  }
  cr_assert(gate.admit(kRequest, kStart, kWall) == Admission::kHeld);
}

Test(quarantine_gate, holds_requests_of_the_controllers_until_a_trial_is_due) {
  quarantine::QuarantineGate gate;
  const auto changes = gate.onHeldRequests(held().heldRequests(), kWall, kStart);
  cr_assert_eq(changes.held.size(), 1);
  cr_assert(gate.admit(kRequest, kStart, kWall) == Admission::kHeld);
  cr_assert_eq(gate.untilTrial(kRequest, kStart, kWall).count(), quarantine::trialDelay(0).count());
  const base::TimePoint due = kStart + quarantine::trialDelay(0);
  const base::WallTime wrongClock{};
  cr_assert(gate.admit(kRequest, due, wrongClock) == Admission::kTrialDue,
            "the cluster's time decides, not this machine's clock");
}

Test(quarantine_gate, release_clears_the_local_crash_count) {
  quarantine::QuarantineGate gate;
  for (const char* instance : {"i-1", "i-2", "i-3"}) {
    gate.detector().onConnectionLost({kRequest, "servers", instance}, kStart);
  }
  (void)gate.onHeldRequests(held().heldRequests(), kWall, kStart);
  const auto changes = gate.onHeldRequests({}, kWall, kStart);
  cr_assert_eq(changes.released.size(), 1);
  cr_assert(gate.admit(kRequest, kStart, kWall) == Admission::kFree);
  cr_assert(gate.idle());
}
