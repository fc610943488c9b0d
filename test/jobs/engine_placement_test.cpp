/// Placement of items by remaining events and due time.
#include "jobs/engine_placement.h"

#include <criterion/criterion.h>

#include <algorithm>

#include "base/random.h"
#include "jobs/engine_cost.h"

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr base::TimePoint kNow{base::seconds(100)};
constexpr base::Duration kTimeUntilDue = base::milliseconds(7500);
constexpr std::uint32_t kSlots = 4;

jobs::EngineInfo engine(const std::string& id, const std::string& zone = "z") {
  return {id, kSlots, {{"m", 1}}, zone};
}

jobs::ItemRequirements requirements(double remainingEvents,
                                    base::Duration timeUntilDue = kTimeUntilDue) {
  return {"m", 1, remainingEvents, timeUntilDue};
}

/// One slow engine and two of normal speed, so that the median is the normal speed.
struct Fixture {
  Fixture() {
    placement.setEngines({engine("slow"), engine("fast"), engine("other")});
    reportIntervals(90);
  }

  void reportIntervals(double slowMs, double fastMs = 41) {
    now += base::milliseconds(500);
    placement.recordEventIntervals({{"slow", {slowMs}}, {"fast", {fastMs}}, {"other", {41}}}, now);
    placement.setLoads({{"other", kSlots}}, now);
  }

  /// Leaves one free slot at the engines of normal speed.
  void fillFastEngines() { placement.setLoads({{"other", kSlots}, {"fast", kSlots - 1}}, now); }

  jobs::EnginePlacement placement;
  base::TimePoint now = kNow;
};

}  // namespace

Test(placement_by_requirements, long_text_goes_where_it_ends_soonest) {
  Fixture fixture;
  cr_assert_eq(fixture.placement.place(requirements(140)), "fast");
}

Test(placement_by_requirements, short_text_leaves_the_last_fast_slots_free) {
  Fixture fixture;
  fixture.fillFastEngines();
  for (std::uint32_t i = 0; i < kSlots; ++i) {
    cr_assert_eq(fixture.placement.place(requirements(15)), "slow");
  }
  cr_assert_eq(fixture.placement.place(requirements(15)), "fast", "the slow one is full");
}

Test(placement_by_requirements, short_text_uses_a_fast_slot_while_many_are_free) {
  Fixture fixture;
  cr_assert_eq(fixture.placement.place(requirements(15)), "fast");
}

Test(placement_by_requirements, text_that_may_become_long_needs_a_margin) {
  Fixture fixture;
  fixture.fillFastEngines();
  cr_assert_eq(fixture.placement.place(requirements(40)), "fast", "it may grow to 140 events");
}

Test(placement_by_requirements, text_that_is_late_goes_where_it_ends_soonest) {
  for (const base::Duration timeUntilDue : {base::milliseconds(-1000), base::milliseconds(1000)}) {
    Fixture fixture;
    fixture.fillFastEngines();
    cr_assert_eq(fixture.placement.place(requirements(20, timeUntilDue)), "fast");
  }
}

Test(placement_by_requirements, slow_engine_is_used_while_items_are_queued) {
  Fixture fixture;
  std::map<std::string, std::uint32_t> placed;
  for (std::uint32_t i = 0; i < 2 * kSlots; ++i) {
    ++placed[fixture.placement.place(requirements(140))];
  }
  cr_assert_eq(placed["slow"], kSlots);
  cr_assert_eq(placed["fast"], kSlots);
}

Test(placement_by_requirements, without_an_estimate_or_a_due_time_the_cheapest_is_taken) {
  for (const jobs::ItemRequirements& unknown :
       {requirements(0), requirements(15, base::Duration::max()), jobs::ItemRequirements{"m", 1}}) {
    Fixture fixture;
    fixture.fillFastEngines();
    cr_assert_eq(fixture.placement.place(unknown), "fast");
  }
}

Test(placement_by_requirements,
     no_text_is_placed_late_if_another_free_engine_completes_it_in_time) {
  constexpr int kRounds = 300;
  constexpr std::uint32_t kEngines = 12;
  base::SeededRandom random(7);
  for (int round = 0; round < kRounds; ++round) {
    jobs::EnginePlacement placement;
    std::map<std::string, double> eventIntervals;
    std::map<std::string, std::uint32_t> loads;
    for (std::uint32_t i = 0; i < kEngines; ++i) {
      const std::string id = "e" + std::to_string(i);
      placement.changeEngines({engine(id)}, {});
      eventIntervals[id] = 30 + 150 * random.uniform();
      loads[id] = static_cast<std::uint32_t>(random.below(kSlots + 1));
      placement.recordEventIntervals({{id, {eventIntervals[id]}}}, kNow);
    }
    placement.setLoads(loads, kNow);
    const jobs::ItemRequirements text =
        requirements(1 + 150 * random.uniform(), base::milliseconds(random.below(15'000)));
    const auto inTime = [&](const std::string& id) {
      const double utilization = (loads[id] + 1.0) / kSlots;
      return text.remainingEvents * jobs::engineCost(eventIntervals[id], utilization) <=
             base::toMilliseconds(text.timeUntilDue);
    };
    const bool possible = std::any_of(loads.begin(), loads.end(), [&](const auto& each) {
      return each.second < kSlots && inTime(each.first);
    });
    const std::string chosen = placement.place(text);
    cr_assert(!possible || inTime(chosen), "round %d", round);
  }
}

Test(placement_by_requirements, equal_engines_are_filled_evenly) {
  jobs::EnginePlacement byRequirements;
  jobs::EnginePlacement byCost;
  for (jobs::EnginePlacement* placement : {&byRequirements, &byCost}) {
    for (const char* id : {"e0", "e1", "e2", "e3", "e4"}) {
      placement->changeEngines({engine(id)}, {});
    }
    // Prompt processing makes the event intervals of equal engines differ by this much.
    placement->recordEventIntervals(
        {{"e0", {44}}, {"e1", {46}}, {"e2", {49}}, {"e3", {53}}, {"e4", {58}}}, kNow);
    placement->setLoads({}, kNow);
  }
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(byRequirements.place(requirements(30)), byCost.place({"m", 1}));
  }
}

Test(placement_by_requirements,
     engine_that_slows_gets_no_more_long_texts_and_later_gets_them_again) {
  Fixture fixture;
  fixture.placement.setLoads({{"other", kSlots}, {"slow", kSlots}}, fixture.now);
  cr_assert_eq(fixture.placement.place(requirements(140)), "fast");
  for (int report = 0; report < 4; ++report) {
    fixture.reportIntervals(90, 170);
  }
  cr_assert_eq(fixture.placement.place(requirements(140)), "slow");
  fixture.placement.setLoads({{"other", kSlots}, {"slow", kSlots - 1}}, fixture.now);
  cr_assert_eq(fixture.placement.place(requirements(5)), "fast",
               "a short item still completes in time");
  // Gateways report no event interval of an engine without items.
  fixture.now += base::seconds(12);
  fixture.placement.recordEventIntervals({{"slow", {90}}, {"other", {41}}}, fixture.now);
  fixture.placement.setLoads({{"other", kSlots}}, fixture.now);
  cr_assert_eq(fixture.placement.place(requirements(140)), "fast");
}

Test(placement_by_requirements, engine_with_a_transient_slowdown_gets_no_text_without_slack) {
  Fixture fixture;
  jobs::EventIntervalReport slowReport{41};
  slowReport.slowdownPercent = 250;
  fixture.now += base::milliseconds(500);
  fixture.placement.changeEngines({engine("second")}, {});
  fixture.placement.recordEventIntervals({{"fast", slowReport}, {"second", {42}}}, fixture.now);
  fixture.placement.setLoads({{"other", kSlots}}, fixture.now);
  cr_assert_eq(fixture.placement.place(requirements(140)), "second");
  cr_assert_eq(fixture.placement.place({"m", 1}), "fast",
               "without requirements only the event interval counts");
}

Test(placement_by_requirements,
     new_leader_without_intervals_places_evenly_and_learns_from_one_request) {
  jobs::EnginePlacement placement;
  placement.setEngines({engine("a"), engine("b"), engine("c")});
  placement.setLoads({}, kNow);
  cr_assert_eq(placement.place(requirements(140)), "a");
  cr_assert_eq(placement.place(requirements(140)), "b");
  placement.recordEventIntervals({{"a", {140, base::milliseconds(400)}}, {"b", {40}}, {"c", {40}}},
                                 kNow);
  placement.setLoads({}, kNow + base::milliseconds(100));
  cr_assert_eq(placement.place(requirements(140)), "b");
  cr_assert_eq(placement.place(requirements(140)), "c");
  cr_assert_eq(placement.place(requirements(140)), "b");
}

Test(placement_by_requirements, restarted_engine_has_the_interval_of_its_machine) {
  Fixture fixture;
  const auto incarnation = [](const std::string& id) {
    jobs::EngineInfo restarted = engine(id);
    restarted.machine = "fast";
    return restarted;
  };
  for (int report = 0; report < 4; ++report) {
    fixture.reportIntervals(90, 170);
  }
  fixture.placement.changeEngines({incarnation("fast#2")}, {"fast"});
  fixture.placement.setLoads({{"other", kSlots}}, fixture.now);
  cr_assert_eq(fixture.placement.place(requirements(140)), "slow");
  fixture.placement.recordEventIntervals({{"fast", {170}}}, fixture.now);
  fixture.placement.changeEngines({incarnation("fast#3")}, {});
  fixture.placement.changeEngines({}, {"fast#2"});
  cr_assert_eq(fixture.placement.place(requirements(140)), "slow", "two incarnations overlap");
}

Test(placement_by_requirements, summaries_contain_intervals_ages_and_items) {
  Fixture fixture;
  fixture.placement.changeEngines({engine("unseen")}, {});
  fixture.placement.setLoads({{"slow", 3}}, fixture.now);
  const auto summaries = fixture.placement.summaries(fixture.now + base::milliseconds(200));
  cr_assert_eq(summaries.size(), 4U);
  const jobs::EngineSummary& slow = summaries[2];
  cr_assert_eq(slow.id, "slow");
  cr_assert_eq(slow.zone, "z");
  cr_assert_float_eq(slow.eventIntervalMs, 90, 0.1);
  cr_assert_eq(slow.items, 3U);
  cr_assert(slow.sampleAge == base::milliseconds(200));
  cr_assert_eq(summaries[3].id, "unseen");
  cr_assert_not(summaries[3].sampleAge.has_value());
  cr_assert_float_eq(summaries[3].eventIntervalMs, 41, 0.1, "typical");
  cr_assert_float_eq(fixture.placement.eventIntervalOf("slow"), 90, 0.1);
  cr_assert_eq(fixture.placement.eventIntervalOf("gone"), 0.0);
}
