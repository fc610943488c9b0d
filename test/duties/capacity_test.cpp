/// Tests the decisions of the autoscaler, its calls to the platform, and failures.
#include <criterion/criterion.h>

#include <algorithm>

#include "duties/autoscaler_fixture.h"

namespace base = tackpick::base;
namespace duties = tackpick::duties;
using duties::InstanceKind;
using duties::ScaleOutcome;
using tackpick::test::AutoscalerFixture;

namespace {

constexpr auto kOnDemand = InstanceKind::kOnDemand;
constexpr auto kPreemptible = InstanceKind::kPreemptible;

/// Whether some count is lower than the preceding one.
bool hasDecrease(const std::vector<std::uint32_t>& counts) {
  return !std::is_sorted(counts.begin(), counts.end());
}

}  // namespace

Test(capacity_plan, fixed_mode_makes_no_call) {
  AutoscalerFixture fixture(duties::CapacityMode::kFixed);
  fixture.setDemand(2000);
  fixture.platform.preempt("a", kOnDemand, 5);
  fixture.run(base::seconds(60));
  cr_assert(fixture.sent.empty());
  cr_assert_eq(fixture.platform.total(), 40U);
}

Test(capacity_plan, no_call_is_made_while_work_fits) {
  AutoscalerFixture fixture;
  fixture.setDemand(300, base::milliseconds(50));
  fixture.demand->openJobs["m"][0].waiting = 0;
  fixture.run(base::seconds(60));
  cr_assert(fixture.sent.empty());
  cr_assert_eq((fixture.state.baseline({"e", "b", kOnDemand})), 15U);
}

Test(capacity_plan, a_step_larger_than_the_slots_adds_instances) {
  AutoscalerFixture fixture;
  fixture.setDemand(480, base::milliseconds(10));
  fixture.run(base::seconds(1));
  cr_assert_eq(fixture.platform.total(), 45U);
  fixture.run(base::seconds(5));
  cr_assert_eq(fixture.platform.total(), 60U, "%u instances are active", fixture.platform.total());
  const auto& preemptible = fixture.platform.zones[{"b", kPreemptible}];
  cr_assert_gt(preemptible.active, 0U);
  cr_assert_eq(fixture.platform.scaledInCount, 0U);
}

Test(capacity_plan, requested_instances_are_bounded_by_the_baseline_and_by_the_maximum) {
  AutoscalerFixture fixture;
  fixture.setDemand(100'000);
  fixture.run(base::seconds(60));
  cr_assert_eq(fixture.platform.total(), 67U);
  AutoscalerFixture narrow;
  narrow.scaling.maxInstances = 17;
  narrow.setDemand(100'000);
  narrow.run(base::seconds(60));
  cr_assert_eq(narrow.platform.total(), 51U);
  cr_assert_eq(narrow.platform.scaledInCount, 0U);
}

Test(capacity_plan, leaving_instances_are_replaced_at_once) {
  AutoscalerFixture fixture;
  fixture.run(base::seconds(1));
  fixture.platform.preempt("a", kOnDemand, 6);
  fixture.run(base::milliseconds(200));
  cr_assert_eq(fixture.sentPoolCounts("a", kOnDemand).size(), 1U);
  cr_assert_eq(fixture.sent[0].count, 15U);
  fixture.run(base::seconds(5));
  cr_assert_eq(fixture.platform.total(), 45U);
}

Test(capacity_plan, minimum_above_the_active_instances_is_requested) {
  AutoscalerFixture fixture;
  fixture.scaling.minInstances = 16;
  fixture.run(base::seconds(6));
  cr_assert_eq(fixture.platform.total(), 48U);
}

Test(capacity_plan, equal_bounds_pin_the_count) {
  AutoscalerFixture fixture;
  fixture.scaling.minInstances = 15;
  fixture.scaling.maxInstances = 15;
  fixture.setDemand(100'000);
  fixture.run(base::seconds(60));
  fixture.demand.emplace();
  fixture.run(base::seconds(2000));
  cr_assert(fixture.sent.empty());
}

Test(capacity_plan, unresponsive_instances_are_replaced_unless_they_are_many) {
  AutoscalerFixture fixture;
  fixture.unresponsive["a"] = 3;
  fixture.run(base::seconds(6));
  cr_assert_eq(fixture.platform.total(), 48U);
  AutoscalerFixture partitioned;
  partitioned.unresponsive = {{"a", 15}, {"b", 1}};
  partitioned.run(base::seconds(20));
  cr_assert(partitioned.sent.empty(),
            "many unresponsive instances are partitioned rather than lost");
  AutoscalerFixture newLeader;
  newLeader.warmedUp = false;
  newLeader.unresponsive["a"] = 3;
  newLeader.run(base::seconds(20));
  cr_assert(newLeader.sent.empty(), "a new leader has not received all heartbeats");
}

Test(capacity_plan, surplus_is_released_after_the_cooldown_and_one_at_a_time) {
  AutoscalerFixture fixture;
  fixture.setDemand(480);
  fixture.run(base::seconds(10));
  const std::uint32_t peak = fixture.platform.total();
  fixture.demand.emplace();
  fixture.run(base::seconds(50));
  cr_assert_eq(fixture.platform.total(), peak, "surplus is kept during the cooldown");
  fixture.setDemand(8, base::milliseconds(10));
  fixture.demand->openJobs["m"][0].waiting = 0;
  for (int round = 0; round < 200 && fixture.platform.total() > 45; ++round) {
    const std::uint32_t before = fixture.platform.total();
    fixture.run(base::seconds(5));
    fixture.platform.removeDraining();
    cr_assert_leq(before - fixture.platform.total(), 1U);
  }
  cr_assert_eq(fixture.platform.total(), 45U);
  fixture.run(base::seconds(300));
  cr_assert_eq(fixture.platform.total(), 45U, "the baseline is kept");
}

Test(capacity_plan, nothing_is_released_without_reports_or_under_load) {
  AutoscalerFixture fixture;
  fixture.setDemand(480);
  fixture.run(base::seconds(10));
  const std::uint32_t peak = fixture.platform.total();
  fixture.demand.reset();
  fixture.run(base::seconds(900));
  cr_assert_eq(fixture.platform.total(), peak);
  cr_assert_eq(fixture.platform.scaledInCount, 0U);
  fixture.setDemand(480);
  fixture.run(base::seconds(900));
  cr_assert_eq(fixture.platform.scaledInCount, 0U);
}

Test(capacity_plan, idle_service_shrinks_to_its_minimum_and_returns_at_once) {
  AutoscalerFixture fixture;
  for (int round = 0; round < 600; ++round) {
    fixture.run(base::seconds(5));
    fixture.platform.removeDraining();
  }
  cr_assert_eq(fixture.platform.total(), 3U);
  fixture.setDemand(8);
  fixture.run(base::seconds(6));
  cr_assert_eq(fixture.platform.total(), 45U);
}

Test(capacity_plan, released_baseline_is_not_requested_until_there_is_work) {
  AutoscalerFixture fixture;
  for (int round = 0; round < 600; ++round) {
    fixture.run(base::seconds(5));
    fixture.platform.removeDraining();
  }
  cr_assert_eq(fixture.platform.total(), 3U);
  fixture.changeLeader();
  fixture.run(base::seconds(30));
  cr_assert_eq(fixture.platform.total(), 3U, "a change of leader does not count as work");
  fixture.demand.reset();
  fixture.run(base::seconds(30));
  cr_assert_eq(fixture.platform.total(), 3U, "a missing report does not count as work");
  fixture.setDemand(8);
  fixture.run(base::seconds(6));
  cr_assert_eq(fixture.platform.total(), 45U);
}

Test(capacity_plan, one_instance_is_released_even_if_others_start_before_the_call) {
  AutoscalerFixture fixture;
  fixture.setDemand(480);
  fixture.run(base::seconds(10));
  fixture.demand.emplace();
  fixture.answer = [](const duties::ScaleCall&) { return ScaleOutcome::kThrottled; };
  fixture.run(base::seconds(100));
  const duties::InstancePool pool = fixture.sent.back().subject;
  fixture.platform.zones[{pool.zone, pool.kind}].active += 3;
  fixture.answer = nullptr;
  fixture.run(base::seconds(10));
  cr_assert_eq(fixture.platform.scaledInCount, 1U, "%u were drained",
               fixture.platform.scaledInCount);
}

Test(capacity_plan, zone_without_preemptible_capacity_is_skipped_with_backoff) {
  AutoscalerFixture fixture;
  fixture.answer = [](const duties::ScaleCall& call) -> std::optional<ScaleOutcome> {
    const bool none = call.subject.kind == kPreemptible && call.subject.zone == "b";
    return none ? ScaleOutcome::kNoCapacity : ScaleOutcome::kAccepted;
  };
  fixture.setDemand(480, base::milliseconds(10));
  fixture.run(base::seconds(8));
  cr_assert_eq(fixture.platform.total(), 60U, "the other zones start the missing instances");
  cr_assert_eq((fixture.platform.zones[{"b", kPreemptible}].active), 0U);
  fixture.run(base::seconds(120));
  const auto calls = fixture.sentPoolCounts("b", kPreemptible);
  cr_assert_leq(calls.size(), 6U, "%zu calls", calls.size());
  cr_assert_eq(fixture.platform.scaledInCount, 0U);
}

Test(capacity_plan, an_old_report_does_not_prolong_a_shortage) {
  AutoscalerFixture fixture(duties::CapacityMode::kReactive);
  fixture.setDemand(480);
  for (int step = 0; step < 36; ++step) {
    fixture.step();
    fixture.now += base::milliseconds(50);
    fixture.demand->reportAge += base::milliseconds(50);
  }
  cr_assert(fixture.sent.empty());
  fixture.demand->reportAge = {};
  fixture.run(base::milliseconds(300));
  cr_assert_eq(fixture.sent.size(), 3U, "a new report shows that the shortage lasted");
}

Test(capacity_plan, preemptible_baseline_is_kept) {
  AutoscalerFixture fixture;
  for (const char* zone : {"a", "b", "c"}) {
    fixture.platform.zones[{zone, kPreemptible}].active = 3;
  }
  fixture.setDemand(8, base::milliseconds(10));
  fixture.demand->openJobs["m"][0].waiting = 0;
  fixture.run(base::seconds(300));
  cr_assert(fixture.sent.empty());
  fixture.platform.preempt("b", kPreemptible, 3);
  fixture.run(base::seconds(6));
  cr_assert_eq(fixture.platform.total(), 54U);
}

Test(capacity_plan, preempted_zone_is_replaced_in_others) {
  AutoscalerFixture fixture;
  fixture.setDemand(480);
  fixture.run(base::seconds(10));
  const std::uint32_t before = fixture.platform.total();
  const std::uint32_t lost = fixture.platform.zones[{"b", kPreemptible}].active;
  cr_assert_gt(lost, 0U);
  fixture.platform.preempt("b", kPreemptible, lost);
  fixture.run(base::seconds(2));
  fixture.platform.removeDraining();
  fixture.run(base::seconds(4));
  cr_assert_eq(fixture.platform.total(), before);
}

// Failures of leaders, calls and the platform.

Test(capacity_duty, leader_lost_between_decision_and_call) {
  AutoscalerFixture fixture;
  fixture.run(base::seconds(1));
  fixture.platform.preempt("a", kOnDemand, 6);
  while (!fixture.state.desired({"e", "a", kOnDemand})) {
    fixture.step();
  }
  cr_assert(fixture.sent.empty(), "the count is committed before it is sent");
  fixture.changeLeader();
  fixture.run(base::milliseconds(200));
  cr_assert_eq(fixture.sent.size(), 1U);
  cr_assert_eq(fixture.sent[0].count, 15U);
  cr_assert_eq(fixture.sent[0].fence, 2U);
}

Test(capacity_duty, leader_lost_between_call_and_answer) {
  AutoscalerFixture fixture;
  fixture.run(base::seconds(1));
  fixture.answer = [&](const duties::ScaleCall& call) -> std::optional<ScaleOutcome> {
    fixture.platform.set(call, fixture.now);
    return std::nullopt;
  };
  fixture.platform.preempt("a", kOnDemand, 6);
  fixture.run(base::milliseconds(200));
  cr_assert_eq(fixture.sent.size(), 1U);
  fixture.answer = nullptr;
  fixture.changeLeader();
  fixture.run(base::seconds(8));
  const auto counts = fixture.sentPoolCounts("a", kOnDemand);
  cr_assert_eq(counts.size(), 2U);
  cr_assert_eq(counts[1], 15U, "the same count is sent again");
  cr_assert_eq(fixture.platform.total(), 45U);
  cr_assert_eq(fixture.platform.scaledInCount, 0U);
}

Test(capacity_duty, new_leader_waits_for_its_predecessors_lease) {
  AutoscalerFixture fixture;
  fixture.run(base::seconds(1));
  fixture.platform.preempt("a", kOnDemand, 6);
  fixture.changeLeader(base::seconds(3));
  fixture.run(base::milliseconds(2900));
  cr_assert(fixture.sent.empty());
  fixture.run(base::milliseconds(500));
  cr_assert_eq(fixture.sent.size(), 1U);
}

Test(capacity_duty, reelected_leader_waits_for_the_end_of_its_call) {
  AutoscalerFixture fixture;
  fixture.run(base::seconds(1));
  fixture.answer = [](const duties::ScaleCall&) { return std::nullopt; };
  fixture.platform.preempt("a", kOnDemand, 6);
  fixture.run(base::milliseconds(200));
  cr_assert_eq(fixture.sent.size(), 1U);
  fixture.autoscaler->reset(fixture.state, fixture.now, fixture.now);
  ++fixture.fence;
  fixture.run(base::milliseconds(500));
  cr_assert_eq(fixture.sent.size(), 1U, "at most one call is in flight");
  fixture.autoscaler->onOutcome(fixture.sent[0], ScaleOutcome::kUnknown, fixture.now);
  fixture.run(base::milliseconds(500));
  cr_assert_eq(fixture.sent.size(), 2U);
  cr_assert_gt(fixture.sent[1].fence, fixture.sent[0].fence);
}

Test(capacity_duty, leader_frozen_past_its_lease_stops_when_its_fence_is_rejected) {
  AutoscalerFixture fixture;
  fixture.run(base::seconds(1));
  fixture.platform.preempt("a", kOnDemand, 6);
  fixture.platform.preempt("b", kOnDemand, 2);
  fixture.answer = [](const duties::ScaleCall&) { return ScaleOutcome::kStaleFence; };
  fixture.run(base::seconds(60));
  cr_assert_eq(fixture.sent.size(), 1U);
  fixture.answer = nullptr;
  fixture.changeLeader();
  fixture.run(base::seconds(1));
  cr_assert_eq(fixture.sent.size(), 3U);
}

Test(capacity_duty, outcome_of_a_call_of_an_earlier_term_does_not_answer_the_current_one) {
  AutoscalerFixture fixture;
  fixture.run(base::seconds(1));
  fixture.platform.preempt("a", kOnDemand, 6);
  fixture.platform.preempt("b", kOnDemand, 2);
  fixture.answer = [](const duties::ScaleCall&) { return std::nullopt; };
  fixture.run(base::milliseconds(200));
  cr_assert_eq(fixture.sent.size(), 1U);
  const duties::ScaleCall former = fixture.sent[0];
  fixture.autoscaler->reset(fixture.state, fixture.now, fixture.now);
  ++fixture.fence;
  fixture.run(base::milliseconds(3200));
  cr_assert_eq(fixture.sent.size(), 2U, "the earlier call counts as ended after its timeout");
  fixture.autoscaler->onOutcome(former, ScaleOutcome::kAccepted, fixture.now);
  fixture.run(base::seconds(1));
  cr_assert_eq(fixture.sent.size(), 2U, "the current call has no answer yet");
}

Test(capacity_duty, platform_unresponsive_while_a_zone_is_preempted) {
  AutoscalerFixture fixture;
  fixture.setDemand(480);
  fixture.run(base::seconds(10));
  const std::uint32_t before = fixture.platform.total();
  const std::size_t calls = fixture.sent.size();
  fixture.answer = [](const duties::ScaleCall&) { return ScaleOutcome::kUnknown; };
  fixture.platform.preempt("b", kPreemptible, 30);
  fixture.platform.preempt("b", kOnDemand, 4);
  fixture.run(base::seconds(4));
  cr_assert_leq(fixture.sent.size() - calls, 8U, "calls are repeated with increasing delays");
  fixture.answer = nullptr;
  fixture.platform.removeDraining();
  fixture.run(base::seconds(8));
  cr_assert_geq(fixture.platform.total(), before);
  cr_assert_eq(fixture.platform.scaledInCount, 0U);
}

Test(capacity_duty, call_executed_late_is_corrected) {
  AutoscalerFixture fixture;
  fixture.run(base::seconds(1));
  std::optional<duties::ScaleCall> late;
  fixture.answer = [&](const duties::ScaleCall& call) -> std::optional<ScaleOutcome> {
    if (!late) {
      late = call;
      return ScaleOutcome::kUnknown;
    }
    return ScaleOutcome::kAccepted;
  };
  fixture.platform.preempt("b", kOnDemand, 6);
  fixture.run(base::milliseconds(200));
  cr_assert(late.has_value());
  fixture.setDemand(540);
  fixture.run(base::seconds(10));
  const std::uint32_t targetTotal = fixture.platform.total();
  cr_assert_gt(targetTotal, 60U);
  fixture.platform.set(*late, fixture.now);
  cr_assert_lt(fixture.platform.total(), targetTotal, "the late call drained active instances");
  fixture.run(base::seconds(8));
  cr_assert_geq(fixture.platform.total(), targetTotal);
}

Test(capacity_duty, call_executed_late_while_instances_start_is_corrected) {
  AutoscalerFixture fixture;
  fixture.run(base::seconds(1));
  std::optional<duties::ScaleCall> late;
  fixture.answer = [&](const duties::ScaleCall& call) -> std::optional<ScaleOutcome> {
    if (!late) {
      late = call;
      return ScaleOutcome::kUnknown;
    }
    return ScaleOutcome::kAccepted;
  };
  fixture.platform.preempt("b", kOnDemand, 6);
  fixture.run(base::milliseconds(200));
  fixture.setDemand(540);
  fixture.run(base::seconds(2));
  fixture.platform.set(*late, fixture.now);
  fixture.run(base::seconds(20));
  cr_assert_geq(fixture.platform.total(), 67U);
}

Test(capacity_duty, burst_that_ends_before_the_instances_are_ready) {
  AutoscalerFixture fixture;
  fixture.setDemand(500);
  fixture.run(base::seconds(1));
  const std::size_t calls = fixture.sent.size();
  fixture.demand.emplace();
  fixture.run(base::seconds(40));
  cr_assert_eq(fixture.sent.size(), calls, "starting instances are not cancelled");
  cr_assert_eq(fixture.platform.scaledInCount, 0U);
}

Test(capacity_duty, maximum_below_the_active_instances_drains_one_at_a_time_and_only_without_load) {
  AutoscalerFixture fixture;
  fixture.run(base::seconds(1));
  fixture.scaling.maxInstances = 13;
  fixture.setDemand(500);
  fixture.run(base::seconds(60));
  cr_assert_eq(fixture.platform.total(), 45U, "nothing is drained under load");
  fixture.demand.emplace();
  for (int round = 0; round < 100; ++round) {
    const std::uint32_t before = fixture.platform.total();
    fixture.run(base::seconds(5));
    fixture.platform.removeDraining();
    cr_assert_leq(before - fixture.platform.total(), 1U);
  }
  cr_assert_eq(fixture.platform.total(), 39U);
  for (const duties::ScaleCall& call : fixture.sent) {
    cr_assert_leq(call.count, 15U);
  }
}

Test(capacity_duty, call_is_repeated_while_instances_do_not_start) {
  AutoscalerFixture fixture;
  fixture.run(base::seconds(1));
  fixture.answer = [&](const duties::ScaleCall& call) -> std::optional<ScaleOutcome> {
    fixture.autoscaler->onOutcome(call, ScaleOutcome::kAccepted, fixture.now);
    return std::nullopt;  // The call is accepted, but no instance starts.
  };
  fixture.platform.preempt("a", kOnDemand, 6);
  fixture.platform.removeDraining();
  fixture.run(base::seconds(120));
  const auto counts = fixture.sentPoolCounts("a", kOnDemand);
  cr_assert_geq(counts.size(), 4U);
  cr_assert_leq(counts.size(), 7U);
  cr_assert_not(hasDecrease(counts));
}

Test(capacity_duty, random_failures_never_drain_an_instance_under_load) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    AutoscalerFixture fixture;
    base::SeededRandom random(seed);
    fixture.answer = [&](const duties::ScaleCall& call) -> std::optional<ScaleOutcome> {
      switch (random.below(5)) {
        case 0:
          return ScaleOutcome::kThrottled;
        case 1:
          return ScaleOutcome::kUnknown;  // The call is never executed.
        case 2:
          return call.subject.kind == kPreemptible ? ScaleOutcome::kNoCapacity
                                                   : ScaleOutcome::kAccepted;
        default:
          return ScaleOutcome::kAccepted;
      }
    };
    for (int round = 0; round < 60; ++round) {
      fixture.setDemand(static_cast<std::uint32_t>(200 + random.below(400)));
      if (random.below(6) == 0) {
        fixture.changeLeader(
            base::Duration(base::milliseconds(static_cast<std::int64_t>(random.below(3000)))));
      }
      if (random.below(5) == 0) {
        const char* zone = random.below(2) == 0 ? "a" : "b";
        fixture.platform.preempt(zone, random.below(2) == 0 ? kOnDemand : kPreemptible, 4);
      }
      fixture.run(base::seconds(2));
      fixture.platform.removeDraining();
    }
    cr_assert_eq(fixture.platform.scaledInCount, 0U, "seed %lu", static_cast<unsigned long>(seed));
    fixture.answer = nullptr;
    fixture.run(base::seconds(70));
    cr_assert_geq(fixture.platform.total(), 45U, "seed %lu", static_cast<unsigned long>(seed));
  }
}
