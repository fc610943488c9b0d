/// Capacity: numbers of instances that the leader decides, calls to the platform, and failures.
#include <criterion/criterion.h>

#include <algorithm>

#include "duties/capacity_world.h"

namespace base = tackpick::base;
namespace duties = tackpick::duties;
using duties::InstanceKind;
using duties::ScaleOutcome;
using tackpick::test::CapacityWorld;

namespace {

constexpr auto kOnDemand = InstanceKind::kOnDemand;
constexpr auto kPreemptible = InstanceKind::kPreemptible;

/// Counts about one subject that came after a higher one.
bool fell(const std::vector<std::uint32_t>& counts) {
  return !std::is_sorted(counts.begin(), counts.end());
}

}  // namespace

Test(capacity_plan, mode_hold_makes_no_call) {
  CapacityWorld world(duties::CapacityMode::kHold);
  world.offer(2000);
  world.platform.withdraw("a", kOnDemand, 5);
  world.run(base::seconds(60));
  cr_assert(world.sent.empty());
  cr_assert_eq(world.platform.total(), 40U);
}

Test(capacity_plan, what_is_there_is_left_while_work_fits) {
  CapacityWorld world;
  world.offer(300, base::milliseconds(50));
  world.demand->works["m"][0].waiting = 0;
  world.run(base::seconds(60));
  cr_assert(world.sent.empty());
  cr_assert_eq((world.state.baseline({"e", "b", kOnDemand})), 15U);
}

Test(capacity_plan, a_step_larger_than_the_places_is_ordered_for) {
  CapacityWorld world;
  world.offer(480, base::milliseconds(10));
  world.run(base::seconds(1));
  cr_assert_eq(world.platform.total(), 45U);
  world.run(base::seconds(5));
  cr_assert_eq(world.platform.total(), 60U, "there are %u", world.platform.total());
  const auto& preemptible = world.platform.zones[{"b", kPreemptible}];
  cr_assert_gt(preemptible.there, 0U);
  cr_assert_eq(world.platform.emptied, 0U);
}

Test(capacity_plan, what_is_ordered_is_bounded_by_the_baseline_and_by_the_maximum) {
  CapacityWorld world;
  world.offer(100'000);
  world.run(base::seconds(60));
  cr_assert_eq(world.platform.total(), 67U);
  CapacityWorld narrow;
  narrow.scaling.maximum = 17;
  narrow.offer(100'000);
  narrow.run(base::seconds(60));
  cr_assert_eq(narrow.platform.total(), 51U);
  cr_assert_eq(narrow.platform.emptied, 0U);
}

Test(capacity_plan, leaving_instances_are_replaced_at_once) {
  CapacityWorld world;
  world.run(base::seconds(1));
  world.platform.withdraw("a", kOnDemand, 6);
  world.run(base::milliseconds(200));
  cr_assert_eq(world.sentCounts("a", kOnDemand).size(), 1U);
  cr_assert_eq(world.sent[0].count, 15U);
  world.run(base::seconds(5));
  cr_assert_eq(world.platform.total(), 45U);
}

Test(capacity_plan, minimum_above_what_is_there_is_ordered) {
  CapacityWorld world;
  world.scaling.minimum = 16;
  world.run(base::seconds(6));
  cr_assert_eq(world.platform.total(), 48U);
}

Test(capacity_plan, equal_bounds_pin_the_count) {
  CapacityWorld world;
  world.scaling.minimum = 15;
  world.scaling.maximum = 15;
  world.offer(100'000);
  world.run(base::seconds(60));
  world.demand.emplace();
  world.run(base::seconds(2000));
  cr_assert(world.sent.empty());
}

Test(capacity_plan, silent_instances_are_replaced_unless_they_are_many) {
  CapacityWorld world;
  world.unresponsive["a"] = 3;
  world.run(base::seconds(6));
  cr_assert_eq(world.platform.total(), 48U);
  CapacityWorld cut;
  cut.unresponsive = {{"a", 15}, {"b", 1}};
  cut.run(base::seconds(20));
  cr_assert(cut.sent.empty(), "so many are cut off rather than lost");
  CapacityWorld young;
  young.settled = false;
  young.unresponsive["a"] = 3;
  young.run(base::seconds(20));
  cr_assert(young.sent.empty(), "a new leader has not heard of all");
}

Test(capacity_plan, more_than_is_wanted_is_given_back_late_and_one_at_a_time) {
  CapacityWorld world;
  world.offer(480);
  world.run(base::seconds(10));
  const std::uint32_t most = world.platform.total();
  world.demand.emplace();
  world.run(base::seconds(50));
  cr_assert_eq(world.platform.total(), most, "kept while it may be needed again");
  world.offer(8, base::milliseconds(10));
  world.demand->works["m"][0].waiting = 0;
  for (int round = 0; round < 200 && world.platform.total() > 45; ++round) {
    const std::uint32_t before = world.platform.total();
    world.run(base::seconds(5));
    world.platform.removeDraining();
    cr_assert_leq(before - world.platform.total(), 1U);
  }
  cr_assert_eq(world.platform.total(), 45U);
  world.run(base::seconds(300));
  cr_assert_eq(world.platform.total(), 45U, "what was there at the start is kept");
}

Test(capacity_plan, nothing_is_given_back_on_missing_figures_or_under_load) {
  CapacityWorld world;
  world.offer(480);
  world.run(base::seconds(10));
  const std::uint32_t most = world.platform.total();
  world.demand.reset();
  world.run(base::seconds(900));
  cr_assert_eq(world.platform.total(), most);
  cr_assert_eq(world.platform.emptied, 0U);
  world.offer(480);
  world.run(base::seconds(900));
  cr_assert_eq(world.platform.emptied, 0U);
}

Test(capacity_plan, long_idle_service_falls_to_its_minimum_and_returns_at_once) {
  CapacityWorld world;
  for (int round = 0; round < 600; ++round) {
    world.run(base::seconds(5));
    world.platform.removeDraining();
  }
  cr_assert_eq(world.platform.total(), 3U);
  world.offer(8);
  world.run(base::seconds(6));
  cr_assert_eq(world.platform.total(), 45U);
}

Test(capacity_plan, what_a_long_idle_service_gave_back_stays_away_until_there_is_work) {
  CapacityWorld world;
  for (int round = 0; round < 600; ++round) {
    world.run(base::seconds(5));
    world.platform.removeDraining();
  }
  cr_assert_eq(world.platform.total(), 3U);
  world.elect();
  world.run(base::seconds(30));
  cr_assert_eq(world.platform.total(), 3U, "another leader is no work");
  world.demand.reset();
  world.run(base::seconds(30));
  cr_assert_eq(world.platform.total(), 3U, "nor is it work that no figures come");
  world.offer(8);
  world.run(base::seconds(6));
  cr_assert_eq(world.platform.total(), 45U);
}

Test(capacity_plan, one_is_given_back_also_when_others_came_before_the_call) {
  CapacityWorld world;
  world.offer(480);
  world.run(base::seconds(10));
  world.demand.emplace();
  world.answer = [](const duties::ScaleCall&) { return ScaleOutcome::kBusy; };
  world.run(base::seconds(100));
  const duties::InstancePool subject = world.sent.back().subject;
  world.platform.zones[{subject.zone, subject.kind}].there += 3;
  world.answer = nullptr;
  world.run(base::seconds(10));
  cr_assert_eq(world.platform.emptied, 1U, "%u were emptied", world.platform.emptied);
}

Test(capacity_plan, zone_without_withdrawable_instances_is_passed_over_with_growing_pauses) {
  CapacityWorld world;
  world.answer = [](const duties::ScaleCall& call) -> std::optional<ScaleOutcome> {
    const bool none = call.subject.kind == kPreemptible && call.subject.zone == "b";
    return none ? ScaleOutcome::kNoneAvailable : ScaleOutcome::kAccepted;
  };
  world.offer(480, base::milliseconds(10));
  world.run(base::seconds(8));
  cr_assert_eq(world.platform.total(), 60U, "the other zones carry what is missing");
  cr_assert_eq((world.platform.zones[{"b", kPreemptible}].there), 0U);
  world.run(base::seconds(120));
  const auto refused = world.sentCounts("b", kPreemptible);
  cr_assert_leq(refused.size(), 6U, "%zu calls", refused.size());
  cr_assert_eq(world.platform.emptied, 0U);
}

Test(capacity_plan, figures_that_were_told_once_do_not_last) {
  CapacityWorld world(duties::CapacityMode::kWaitingWork);
  world.offer(480);
  for (int step = 0; step < 36; ++step) {
    world.step();
    world.now += base::milliseconds(50);
    world.demand->reportAge += base::milliseconds(50);
  }
  cr_assert(world.sent.empty());
  world.demand->reportAge = {};
  world.run(base::milliseconds(300));
  cr_assert_eq(world.sent.size(), 3U, "told again: it has lasted");
}

Test(capacity_plan, withdrawable_instances_that_were_there_are_kept) {
  CapacityWorld world;
  for (const char* zone : {"a", "b", "c"}) {
    world.platform.zones[{zone, kPreemptible}].there = 3;
  }
  world.offer(8, base::milliseconds(10));
  world.demand->works["m"][0].waiting = 0;
  world.run(base::seconds(300));
  cr_assert(world.sent.empty());
  world.platform.withdraw("b", kPreemptible, 3);
  world.run(base::seconds(6));
  cr_assert_eq(world.platform.total(), 54U);
}

Test(capacity_plan, withdrawn_zone_is_replaced_in_others) {
  CapacityWorld world;
  world.offer(480);
  world.run(base::seconds(10));
  const std::uint32_t before = world.platform.total();
  const std::uint32_t lost = world.platform.zones[{"b", kPreemptible}].there;
  cr_assert_gt(lost, 0U);
  world.platform.withdraw("b", kPreemptible, lost);
  world.run(base::seconds(2));
  world.platform.removeDraining();
  world.run(base::seconds(4));
  cr_assert_eq(world.platform.total(), before);
}

// Failures.

Test(capacity_duty, holder_lost_between_decision_and_call) {
  CapacityWorld world;
  world.run(base::seconds(1));
  world.platform.withdraw("a", kOnDemand, 6);
  while (!world.state.desired({"e", "a", kOnDemand})) {
    world.step();
  }
  cr_assert(world.sent.empty(), "the count stands in the log before it is sent");
  world.elect();
  world.run(base::milliseconds(200));
  cr_assert_eq(world.sent.size(), 1U);
  cr_assert_eq(world.sent[0].count, 15U);
  cr_assert_eq(world.sent[0].fence, 2U);
}

Test(capacity_duty, holder_lost_between_call_and_answer) {
  CapacityWorld world;
  world.run(base::seconds(1));
  world.answer = [&](const duties::ScaleCall& call) -> std::optional<ScaleOutcome> {
    world.platform.set(call, world.now);
    return std::nullopt;
  };
  world.platform.withdraw("a", kOnDemand, 6);
  world.run(base::milliseconds(200));
  cr_assert_eq(world.sent.size(), 1U);
  world.answer = nullptr;
  world.elect();
  world.run(base::seconds(8));
  const auto counts = world.sentCounts("a", kOnDemand);
  cr_assert_eq(counts.size(), 2U);
  cr_assert_eq(counts[1], 15U, "the same again");
  cr_assert_eq(world.platform.total(), 45U);
  cr_assert_eq(world.platform.emptied, 0U);
}

Test(capacity_duty, new_leader_waits_for_its_predecessors_lease) {
  CapacityWorld world;
  world.run(base::seconds(1));
  world.platform.withdraw("a", kOnDemand, 6);
  world.elect(base::seconds(3));
  world.run(base::milliseconds(2900));
  cr_assert(world.sent.empty());
  world.run(base::milliseconds(500));
  cr_assert_eq(world.sent.size(), 1U);
}

Test(capacity_duty, leader_that_leads_again_waits_for_the_end_of_its_call) {
  CapacityWorld world;
  world.run(base::seconds(1));
  world.answer = [](const duties::ScaleCall&) { return std::nullopt; };
  world.platform.withdraw("a", kOnDemand, 6);
  world.run(base::milliseconds(200));
  cr_assert_eq(world.sent.size(), 1U);
  world.duty->reset(world.state, world.now, world.now);
  ++world.fence;
  world.run(base::milliseconds(500));
  cr_assert_eq(world.sent.size(), 1U, "two calls about one subject never run at once");
  world.duty->onOutcome(world.sent[0], ScaleOutcome::kUnknown, world.now);
  world.run(base::milliseconds(500));
  cr_assert_eq(world.sent.size(), 2U);
  cr_assert_gt(world.sent[1].fence, world.sent[0].fence);
}

Test(capacity_duty, holder_frozen_past_its_lease_stops_when_its_fence_is_refused) {
  CapacityWorld world;
  world.run(base::seconds(1));
  world.platform.withdraw("a", kOnDemand, 6);
  world.platform.withdraw("b", kOnDemand, 2);
  world.answer = [](const duties::ScaleCall&) { return ScaleOutcome::kRefused; };
  world.run(base::seconds(60));
  cr_assert_eq(world.sent.size(), 1U);
  world.answer = nullptr;
  world.elect();
  world.run(base::seconds(1));
  cr_assert_eq(world.sent.size(), 3U);
}

Test(capacity_duty, outcome_of_a_call_of_a_former_term_is_no_answer_to_the_present_one) {
  CapacityWorld world;
  world.run(base::seconds(1));
  world.platform.withdraw("a", kOnDemand, 6);
  world.platform.withdraw("b", kOnDemand, 2);
  world.answer = [](const duties::ScaleCall&) { return std::nullopt; };
  world.run(base::milliseconds(200));
  cr_assert_eq(world.sent.size(), 1U);
  const duties::ScaleCall former = world.sent[0];
  world.duty->reset(world.state, world.now, world.now);
  ++world.fence;
  world.run(base::milliseconds(3200));
  cr_assert_eq(world.sent.size(), 2U, "the former call counts as ended after its limit");
  world.duty->onOutcome(former, ScaleOutcome::kAccepted, world.now);
  world.run(base::seconds(1));
  cr_assert_eq(world.sent.size(), 2U, "the present call has no answer yet");
}

Test(capacity_duty, platform_silent_while_a_zone_is_withdrawn) {
  CapacityWorld world;
  world.offer(480);
  world.run(base::seconds(10));
  const std::uint32_t before = world.platform.total();
  const std::size_t calls = world.sent.size();
  world.answer = [](const duties::ScaleCall&) { return ScaleOutcome::kUnknown; };
  world.platform.withdraw("b", kPreemptible, 30);
  world.platform.withdraw("b", kOnDemand, 4);
  world.run(base::seconds(4));
  cr_assert_leq(world.sent.size() - calls, 8U, "calls are repeated with growing pauses");
  world.answer = nullptr;
  world.platform.removeDraining();
  world.run(base::seconds(8));
  cr_assert_geq(world.platform.total(), before);
  cr_assert_eq(world.platform.emptied, 0U);
}

Test(capacity_duty, call_carried_out_late_is_put_right) {
  CapacityWorld world;
  world.run(base::seconds(1));
  std::optional<duties::ScaleCall> late;
  world.answer = [&](const duties::ScaleCall& call) -> std::optional<ScaleOutcome> {
    if (!late) {
      late = call;
      return ScaleOutcome::kUnknown;
    }
    return ScaleOutcome::kAccepted;
  };
  world.platform.withdraw("b", kOnDemand, 6);
  world.run(base::milliseconds(200));
  cr_assert(late.has_value());
  world.offer(540);
  world.run(base::seconds(10));
  const std::uint32_t wanted = world.platform.total();
  cr_assert_gt(wanted, 60U);
  world.platform.set(*late, world.now);
  cr_assert_lt(world.platform.total(), wanted, "it took instances away that run");
  world.run(base::seconds(8));
  cr_assert_geq(world.platform.total(), wanted);
}

Test(capacity_duty, call_carried_out_late_while_instances_start_is_put_right) {
  CapacityWorld world;
  world.run(base::seconds(1));
  std::optional<duties::ScaleCall> late;
  world.answer = [&](const duties::ScaleCall& call) -> std::optional<ScaleOutcome> {
    if (!late) {
      late = call;
      return ScaleOutcome::kUnknown;
    }
    return ScaleOutcome::kAccepted;
  };
  world.platform.withdraw("b", kOnDemand, 6);
  world.run(base::milliseconds(200));
  world.offer(540);
  world.run(base::seconds(2));
  world.platform.set(*late, world.now);
  world.run(base::seconds(20));
  cr_assert_geq(world.platform.total(), 67U);
}

Test(capacity_duty, burst_that_ends_before_the_instances_serve) {
  CapacityWorld world;
  world.offer(500);
  world.run(base::seconds(1));
  const std::size_t calls = world.sent.size();
  world.demand.emplace();
  world.run(base::seconds(40));
  cr_assert_eq(world.sent.size(), calls, "nothing is taken back while it starts");
  cr_assert_eq(world.platform.emptied, 0U);
}

Test(capacity_duty, maximum_below_what_runs_empties_one_at_a_time_and_only_without_load) {
  CapacityWorld world;
  world.run(base::seconds(1));
  world.scaling.maximum = 13;
  world.offer(500);
  world.run(base::seconds(60));
  cr_assert_eq(world.platform.total(), 45U, "not under load");
  world.demand.emplace();
  for (int round = 0; round < 100; ++round) {
    const std::uint32_t before = world.platform.total();
    world.run(base::seconds(5));
    world.platform.removeDraining();
    cr_assert_leq(before - world.platform.total(), 1U);
  }
  cr_assert_eq(world.platform.total(), 39U);
  for (const duties::ScaleCall& call : world.sent) {
    cr_assert_leq(call.count, 15U);
  }
}

Test(capacity_duty, call_is_repeated_while_instances_do_not_come) {
  CapacityWorld world;
  world.run(base::seconds(1));
  world.answer = [&](const duties::ScaleCall& call) -> std::optional<ScaleOutcome> {
    world.duty->onOutcome(call, ScaleOutcome::kAccepted, world.now);
    return std::nullopt;  // taken, and nothing starts
  };
  world.platform.withdraw("a", kOnDemand, 6);
  world.platform.removeDraining();
  world.run(base::seconds(120));
  const auto counts = world.sentCounts("a", kOnDemand);
  cr_assert_geq(counts.size(), 4U);
  cr_assert_leq(counts.size(), 7U);
  cr_assert_not(fell(counts));
}

Test(capacity_duty, random_failures_never_empty_an_instance_under_load) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CapacityWorld world;
    base::SeededRandom random(seed);
    world.answer = [&](const duties::ScaleCall& call) -> std::optional<ScaleOutcome> {
      switch (random.below(5)) {
        case 0:
          return ScaleOutcome::kBusy;
        case 1:
          return ScaleOutcome::kUnknown;  // and it is never carried out
        case 2:
          return call.subject.kind == kPreemptible ? ScaleOutcome::kNoneAvailable
                                                   : ScaleOutcome::kAccepted;
        default:
          return ScaleOutcome::kAccepted;
      }
    };
    for (int round = 0; round < 60; ++round) {
      world.offer(static_cast<std::uint32_t>(200 + random.below(400)));
      if (random.below(6) == 0) {
        world.elect(
            base::Duration(base::milliseconds(static_cast<std::int64_t>(random.below(3000)))));
      }
      if (random.below(5) == 0) {
        const char* zone = random.below(2) == 0 ? "a" : "b";
        world.platform.withdraw(zone, random.below(2) == 0 ? kOnDemand : kPreemptible, 4);
      }
      world.run(base::seconds(2));
      world.platform.removeDraining();
    }
    cr_assert_eq(world.platform.emptied, 0U, "seed %lu", static_cast<unsigned long>(seed));
    world.answer = nullptr;
    world.run(base::seconds(70));
    cr_assert_geq(world.platform.total(), 45U, "seed %lu", static_cast<unsigned long>(seed));
  }
}
