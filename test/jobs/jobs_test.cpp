/// Jobs: replicated state, leases of items, placement, and the text of an item.
#include <criterion/criterion.h>

#include <ctime>

#include "jobs/item_leases.h"
#include "jobs/item_run.h"
#include "jobs/job_state.h"

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr base::TimePoint kNow{base::seconds(1)};
constexpr base::NodeId kGateway = base::makeNodeId(1, 1);
constexpr base::NodeId kOtherGateway = base::makeNodeId(2, 1);

jobs::JobSubmission submission(const std::string& id, std::uint32_t items) {
  jobs::JobSubmission job;
  job.id = id;
  for (std::uint32_t i = 0; i < items; ++i) {
    job.items.push_back({"item" + std::to_string(i), "/p", {}, "body", "g", i * 10});
  }
  return job;
}

void apply(jobs::JobState& state, const jobs::JobCommand& command) {
  (void)state.apply(1, jobs::encodeCommand(command));
}

jobs::ItemResult result(std::uint32_t item, const std::string& text) {
  return {item, jobs::ItemState::kCompleted, base::CompressedText(text), {1}};
}

/// Returns free slots at engines that hold version 1.
jobs::FreeSlots slotsFor(const std::map<std::string, std::uint32_t>& slots) {
  jobs::FreeSlots freeSlots;
  for (const auto& [model, count] : slots) {
    freeSlots.add(model, 1, count);
  }
  return freeSlots;
}

jobs::LeasedItem leasedItem(std::uint64_t minimumVersion = 2, bool singleVersion = false) {
  jobs::LeasedItem leased;
  leased.key = {"j", 0};
  leased.minimumVersion = minimumVersion;
  leased.singleVersion = singleVersion;
  leased.attempts = 3;
  leased.queueTimeout = base::seconds(40);
  return leased;
}

}  // namespace

Test(job_state, first_result_counts_and_positions_never_change) {
  jobs::JobState state;
  apply(state, jobs::SubmitJob{submission("j", 2)});
  apply(state, jobs::CommitResults{{{"j", {result(1, "first")}}}});
  apply(state, jobs::CommitResults{{{"j", {result(1, "second"), result(0, "other")}}}});
  const jobs::Job& job = *state.find("j");
  cr_assert_eq(job.results.size(), 2U);
  cr_assert_eq(job.results[0].text, "first");
  cr_assert_eq(job.results[1].text, "other");
  cr_assert(job.complete());
}

Test(job_state, resubmission_changes_nothing) {
  jobs::JobState state;
  apply(state, jobs::SubmitJob{submission("j", 2)});
  apply(state, jobs::CommitResults{{{"j", {result(1, "first")}}}});
  apply(state, jobs::SubmitJob{submission("j", 5)});
  cr_assert_eq(state.find("j")->submission.items.size(), 2U);
  cr_assert_eq(state.find("j")->results.size(), 1U);
}

Test(job_state, results_for_unknown_jobs_and_items_are_ignored) {
  jobs::JobState state;
  apply(state, jobs::SubmitJob{submission("j", 1)});
  apply(state, jobs::CommitResults{{{"k", {result(0, "x")}}, {"j", {result(7, "x")}}}});
  cr_assert(state.find("j")->results.empty());
}

Test(job_state, results_that_change_nothing_are_not_written) {
  jobs::JobState state;
  apply(state, jobs::SubmitJob{submission("j", 3)});
  apply(state, jobs::SubmitJob{submission("ended", 3)});
  apply(state, jobs::EndJob{"ended"});
  apply(state, jobs::CommitResults{{{"j", {result(1, "first")}}}});
  const jobs::CommitResults newResults =
      state.newResultsOf({{{"j", {result(1, "second"), result(2, "x")}},
                           {"ended", {result(0, "x")}},
                           {"unknown", {result(0, "x")}}}});
  cr_assert_eq(newResults.jobs.size(), 1U);
  cr_assert_eq(newResults.jobs[0].results.size(), 1U);
  cr_assert_eq(newResults.jobs[0].results[0].item, 2U);
}

Test(job_state, requests_are_kept_only_while_their_items_may_run) {
  jobs::JobState state;
  apply(state, jobs::SubmitJob{submission("j", 3)});
  apply(state, jobs::CommitResults{{{"j", {result(1, "first")}}}});
  const auto& items = state.find("j")->submission.items;
  cr_assert_eq(items[0].body, "body");
  cr_assert(items[1].body.empty());
  cr_assert_eq(items[1].id, "item1");
  apply(state, jobs::EndJob{"j"});
  cr_assert(items[0].body.empty());
}

Test(job_state, snapshot_holds_everything) {
  jobs::JobState state;
  apply(state, jobs::SubmitJob{submission("j", 2)});
  apply(state, jobs::CommitResults{{{"j", {result(1, "first")}}}});
  apply(state, jobs::EndJob{"j"});
  apply(state, jobs::SubmitJob{submission("k", 1)});
  apply(state, jobs::RemoveJobs{{"k"}});
  jobs::JobState loaded;
  loaded.loadSnapshot(state.takeSnapshot());
  cr_assert_eq(loaded.takeSnapshot(), state.takeSnapshot());
  cr_assert(loaded.find("j")->ended);
  cr_assert_null(loaded.find("k"));
}

namespace {

struct LeaseFixture {
  LeaseFixture() {
    apply(state, jobs::SubmitJob{submission("j", 4)});
    leases.reset(1, now, base::Duration{0});
    leases.addJob("j", *state.find("j"), now);
  }
  jobs::JobState state;
  base::TimePoint now{};
  jobs::ItemLeases leases{base::seconds(2)};
};

std::vector<jobs::HeldItem> heldOf(const std::vector<jobs::GrantedItem>& granted) {
  std::vector<jobs::HeldItem> keys;
  for (const jobs::GrantedItem& item : granted) {
    keys.push_back({item.key, item.engine});
  }
  return keys;
}

}  // namespace

Test(item_leases, longest_expected_first_and_each_once) {
  LeaseFixture fixture;
  auto leased = fixture.leases.lease(kGateway, slotsFor({{"", 3}}), fixture.state, fixture.now);
  cr_assert_eq(leased.size(), 3U);
  cr_assert_eq(leased[0].key.item, 3U);
  cr_assert_eq(leased[2].key.item, 1U);
  leased = fixture.leases.lease(kOtherGateway, slotsFor({{"", 3}}), fixture.state, fixture.now);
  cr_assert_eq(leased.size(), 1U);
}

Test(item_leases, requests_of_a_gateways_items_fit_its_memory) {
  LeaseFixture fixture;
  jobs::JobSubmission large = submission("large", 6);
  for (jobs::Item& item : large.items) {
    item.body = std::string(1000, 'x');
  }
  apply(fixture.state, jobs::SubmitJob{large});
  fixture.leases.addJob("large", *fixture.state.find("large"), fixture.now);
  const std::size_t oneItem = jobs::memoryOf(large.items.front());
  const auto countLarge = [&](base::NodeId gateway, std::size_t maxBytes) {
    const auto leased =
        fixture.leases.lease(gateway, slotsFor({{"", 20}}), fixture.state, fixture.now, maxBytes);
    return std::count_if(leased.begin(), leased.end(),
                         [](const auto& item) { return item.key.job == "large"; });
  };
  cr_assert_eq(countLarge(kGateway, 20 * oneItem), 6);
  fixture.leases.release(kGateway, {}, fixture.state);
  cr_assert_leq(countLarge(kOtherGateway, 4 * oneItem), 3);
}

Test(item_leases, each_model_has_its_own_slots) {
  LeaseFixture fixture;
  jobs::JobSubmission other = submission("k", 2);
  other.model = "m";
  apply(fixture.state, jobs::SubmitJob{other});
  fixture.leases.addJob("k", *fixture.state.find("k"), fixture.now);
  const auto leased =
      fixture.leases.lease(kGateway, slotsFor({{"", 1}, {"m", 5}}), fixture.state, fixture.now);
  cr_assert_eq(leased.size(), 3U);
  cr_assert_eq(
      fixture.leases.lease(kOtherGateway, slotsFor({{"m", 5}}), fixture.state, fixture.now).size(),
      0U);
  cr_assert_eq(
      fixture.leases.lease(kOtherGateway, slotsFor({{"", 5}}), fixture.state, fixture.now).size(),
      3U);
}

Test(free_slots, items_share_slots_with_items_that_need_newer_weights) {
  jobs::FreeSlots engines;
  engines.add("m", 8, 2);
  engines.add("m", 7, 3);
  cr_assert_not(engines.take("m", 9), "no engine holds that version");
  cr_assert(engines.take("m", 8));
  cr_assert(engines.take("m", 8));
  cr_assert_not(engines.take("m", 8));
  for (int i = 0; i < 3; ++i) {
    cr_assert(engines.take("m", 6));
  }
  cr_assert_not(engines.take("m", 7), "all five slots are used");
  cr_assert(engines.empty());
  cr_assert_not(engines.take("n", 0));
}

Test(free_slots, old_items_at_new_engines_use_slots_of_new_items) {
  jobs::FreeSlots engines;
  engines.add("m", 7, 1);
  engines.add("m", 8, 2);
  cr_assert(engines.take("m", 7));
  cr_assert(engines.take("m", 7));
  cr_assert(engines.take("m", 8));
  cr_assert_not(engines.take("m", 8), "three slots, three items");
}

Test(free_slots, shares_and_running_items) {
  jobs::FreeSlots engines;
  engines.add("m", 1, 10);
  engines.add("m", 2, 10);
  engines.divide(4, 100);
  engines.forceTake("m", 2);
  engines.forceTake("m", 2);
  engines.forceTake("m", 2);
  engines.forceTake("m", 2);
  cr_assert_not(engines.take("m", 2), "three slots of ten");
  cr_assert(engines.take("m", 1));
  cr_assert_not(engines.take("m", 1), "five slots of twenty");
}

Test(item_leases, work_for_old_weights_does_not_keep_work_for_new_ones_waiting) {
  LeaseFixture fixture;
  jobs::JobSubmission newer = submission("k", 2);
  newer.minimumVersion = 8;
  apply(fixture.state, jobs::SubmitJob{newer});
  fixture.leases.addJob("k", *fixture.state.find("k"), fixture.now);
  jobs::FreeSlots engines;
  engines.add("", 7, 2);
  engines.add("", 8, 1);
  const auto first = fixture.leases.lease(kGateway, engines, fixture.state, fixture.now);
  cr_assert_eq(first.size(), 3U);
  cr_assert_eq(first[2].key.job, "j", "three old items fill the three slots");
  jobs::FreeSlots newEngines;
  newEngines.add("", 8, 2);
  const auto second = fixture.leases.lease(kOtherGateway, newEngines, fixture.state, fixture.now);
  cr_assert_eq(second[1].key.job, "k");
}

Test(item_leases, items_run_at_gateways_in_the_zone_of_their_engine) {
  LeaseFixture fixture;
  fixture.leases.setEngines({{"near", 2, {{"", 1}}, "a"}, {"far", 2, {{"", 1}}, "b"}});
  fixture.leases.onLeaseRequest(kGateway, "a", true, fixture.now);
  fixture.leases.onLeaseRequest(kOtherGateway, "b", true, fixture.now);
  const auto own = fixture.leases.lease(kGateway, slotsFor({{"", 9}}), fixture.state, fixture.now);
  cr_assert_eq(own.size(), 2U);
  for (const jobs::GrantedItem& granted : own) {
    cr_assert_eq(granted.engine, "near");
  }
  const base::TimePoint later = fixture.now + base::milliseconds(300);
  fixture.leases.onLeaseRequest(kGateway, "a", true, later);
  const auto foreign = fixture.leases.lease(kGateway, slotsFor({{"", 9}}), fixture.state, later);
  cr_assert_eq(foreign.size(), 2U, "no gateway of the other zone requests items any more");
}

// Guards against a gateway that gives up items of a route which it has not received yet, and
// against items that wait for such a gateway because it is in the zone of their engine.
Test(item_leases, items_run_only_at_gateways_with_the_configuration_of_their_job) {
  LeaseFixture fixture;
  jobs::JobSubmission job = submission("new", 2);
  job.configurationVersion = 7;
  apply(fixture.state, jobs::SubmitJob{job});
  fixture.leases.addJob("new", *fixture.state.find("new"), fixture.now);
  fixture.leases.setEngines({{"far", 6, {{"", 1}}, "b"}});
  fixture.leases.onLeaseRequest(kGateway, "a", true, fixture.now, {}, 7);
  fixture.leases.onLeaseRequest(kOtherGateway, "b", true, fixture.now, {}, 6);
  const auto outdated =
      fixture.leases.lease(kOtherGateway, slotsFor({{"", 9}}), fixture.state, fixture.now);
  cr_assert_eq(outdated.size(), 4U);
  for (const jobs::GrantedItem& granted : outdated) {
    cr_assert_eq(granted.key.job, "j");
  }
  const auto current =
      fixture.leases.lease(kGateway, slotsFor({{"", 9}}), fixture.state, fixture.now);
  cr_assert_eq(current.size(), 2U);
  for (const jobs::GrantedItem& granted : current) {
    cr_assert_eq(granted.key.job, "new");
  }
}

// Guards against the same for items that need only a score.
Test(item_leases, scoring_waits_for_a_gateway_with_the_configuration_of_the_job) {
  jobs::JobState state;
  jobs::JobSubmission job = submission("j", 1);
  job.configurationVersion = 7;
  apply(state, jobs::SubmitJob{job});
  apply(state, jobs::SaveProgress{
                   {{"j", {{0, std::nullopt, {{1, 4}, base::CompressedText("t"), {1}, true}}}}}});
  jobs::ItemLeases leases(base::seconds(2));
  leases.reset(1, kNow, base::Duration{0});
  leases.addJob("j", *state.find("j"), kNow);
  leases.onLeaseRequest(kOtherGateway, "a", false, kNow, {}, 6);
  cr_assert(leases.lease(kOtherGateway, {}, state, kNow).empty());
  leases.onLeaseRequest(kGateway, "a", false, kNow, {}, 7);
  cr_assert_eq(leases.lease(kGateway, {}, state, kNow).size(), 1U);
}

Test(item_leases, small_gateway_holds_no_more_than_its_size_allows) {
  jobs::JobState state;
  apply(state, jobs::SubmitJob{submission("j", 200)});
  jobs::ItemLeases leases(base::seconds(2));
  leases.setEngines({{"e", 200, {{"", 1}}, "a"}});
  const base::TimePoint now{base::seconds(1)};
  leases.reset(1, now, base::Duration{0});
  leases.addJob("j", *state.find("j"), now);
  jobs::GatewayCapacity small;
  small.cpuCores = 0.06;
  jobs::GatewayCapacity large;
  large.cpuCores = 0.5;
  leases.onLeaseRequest(kGateway, "a", true, now, small);
  for (std::uint32_t number = 2; number < 20; ++number) {
    leases.onLeaseRequest(base::makeNodeId(number, 1), "a", true, now, large);
  }
  cr_assert_eq(leases.lease(kGateway, slotsFor({{"", 200}}), state, now).size(), 20U);
  cr_assert(leases.lease(kGateway, slotsFor({{"", 200}}), state, now).empty());
  cr_assert_eq(leases.lease(kOtherGateway, slotsFor({{"", 200}}), state, now).size(), 96U);
  for (const jobs::GatewaySummary& summary : leases.gateways()) {
    if (summary.gateway == kGateway) {
      cr_assert_eq(summary.held, 20U);
      cr_assert_eq(summary.slots, 10U);
      cr_assert_not(summary.active);
    }
  }
}

Test(zone_affinity, gateways_that_are_lost_or_take_nothing_do_not_count) {
  jobs::ZoneAffinity affinity;
  const base::TimePoint now{base::seconds(1)};
  const auto mayRun = [&] { return affinity.minConfigurationVersion(kGateway, "b", now) == 0; };
  cr_assert(mayRun(), "unknown gateways may run items of any zone");
  affinity.recordRequest(kGateway, "a", true, 0, now);
  affinity.recordRequest(kOtherGateway, "b", true, 0, now);
  cr_assert_not(mayRun());
  affinity.recordRequest(kOtherGateway, "b", false, 0, now);
  cr_assert(mayRun());
  affinity.recordRequest(kOtherGateway, "b", true, 0, now);
  affinity.remove(base::nodeNumber(kOtherGateway));
  cr_assert(mayRun());
}

Test(engine_placement, fast_engines_fill_before_slow_ones) {
  jobs::EnginePlacement placement;
  placement.setEngines({{"slow", 4, {{"m", 5}}}, {"fast", 4, {{"m", 5}}}});
  placement.recordEventIntervals({{"slow", {50}}}, kNow);
  placement.recordEventIntervals({{"fast", {38}}}, kNow);
  for (int i = 0; i < 4; ++i) {
    cr_assert_eq(placement.place({"m", 5}), "fast");
  }
  cr_assert_eq(placement.place({"m", 5}), "slow", "a queued item makes no progress");
}

Test(engine_placement, least_loaded_of_those_that_are_new_enough) {
  jobs::EnginePlacement placement;
  placement.setEngines({{"a", 2, {{"m", 5}}}, {"b", 2, {{"m", 6}}}, {"c", 2, {{"n", 9}}}});
  placement.setLoads({{"a", 1}}, kNow);
  cr_assert_eq(placement.place({"m", 5}), "b");
  cr_assert_eq(placement.place({"m", 6}), "b");
  cr_assert_eq(placement.place({"m", 6}), "", "full");
  cr_assert_eq(placement.place({"m", 5}), "a");
  cr_assert_eq(placement.place({"m", 5}), "");
  cr_assert_eq(placement.place({"n", 9}), "c");
}

Test(engine_placement, slow_engines_get_less) {
  jobs::EnginePlacement placement;
  placement.setEngines({{"fast", 8, {{"m", 1}}}, {"slow", 8, {{"m", 1}}}});
  placement.recordEventIntervals({{"fast", {40}}}, kNow);
  placement.recordEventIntervals({{"slow", {140}}}, kNow);
  placement.setLoads({}, kNow);
  for (int i = 0; i < 9; ++i) {
    cr_assert_eq(placement.place({"m", 1}), "fast", "one item may queue at the engine");
  }
  cr_assert_eq(placement.place({"m", 1}), "slow", "better than queuing a second item");
  placement.undoPlacement("slow");
  placement.undoPlacement("fast");
  cr_assert_eq(placement.place({"m", 1}), "fast");
}

Test(engine_placement, event_interval_survives_a_change_of_weights) {
  jobs::EnginePlacement placement;
  placement.setEngines({{"slow", 4, {{"m", 1}}}, {"fast", 4, {{"m", 1}}}});
  placement.recordEventIntervals({{"slow", {140}}}, kNow);
  placement.recordEventIntervals({{"fast", {40}}}, kNow);
  placement.changeEngines({{"slow", 4, {{"m", 1}}, {}, false}}, {});
  placement.changeEngines({{"slow", 4, {{"m", 2}}}}, {});
  cr_assert_eq(placement.place({"m", 1}), "fast");
}

Test(engine_placement, standby_engines_get_items_only_if_the_others_are_full) {
  jobs::EnginePlacement placement;
  placement.setEngines({{"a", 2, {{"m", 1}}, "z", true, true},
                        {"b", 2, {{"m", 1}}, "z", true, true},
                        {"used", 2, {{"m", 5}}, "z"}});
  cr_assert_eq(placement.slotsByZone().at("z"), 2U);
  for (const char* engine : {"used", "used", "a", "a", "b", "b"}) {
    cr_assert_eq(placement.place({"m", 1}), engine);
  }
  cr_assert_eq(placement.place({"m", 1}), "");
  placement.setLoads({{"a", 2}}, kNow);
  cr_assert_eq(placement.place({"m", 2}), "used");
  cr_assert_eq(placement.place({"m", 2}), "used");
  cr_assert_eq(placement.place({"m", 2}), "", "standby engines hold old weights");
  cr_assert_eq(placement.place({"m", 1}), "b");
  placement.changeEngines({{"b", 2, {{"m", 5}}, "z"}}, {"used", "unknown"});
  cr_assert_eq(placement.place({"m", 2}), "b");
}

// Guards against plans whose time grows with the number of all engines.
Test(engine_placement, plan_of_a_large_fleet_is_cheap) {
  constexpr int kEngines = 10'000;
  constexpr int kPrimary = 400;
  constexpr int kPlans = 200;
  std::vector<jobs::EngineInfo> engines;
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back({"e" + std::to_string(i), 6, {{"m", 1}, {"n", 1}}, "z", true, i >= kPrimary});
  }
  jobs::EnginePlacement placement;
  placement.setEngines(engines);
  const std::clock_t startedAt = std::clock();
  for (int plan = 0; plan < kPlans; ++plan) {
    placement.setLoads({{"e1", 1}, {"e2", 6}}, kNow);
    for (int item = 0; item < 100; ++item) {
      cr_assert_not(placement.place({item % 2 == 0 ? "m" : "n", 1}).empty());
    }
    placement.changeEngines({engines[static_cast<std::size_t>(plan)]}, {});
  }
  cr_assert_lt(static_cast<double>(std::clock() - startedAt) / CLOCKS_PER_SEC, 1.0);
}

Test(item_leases, items_of_all_gateways_count_where_they_run) {
  LeaseFixture fixture;
  fixture.leases.setEngines({{"a", 2, {{"", 1}}}, {"b", 2, {{"", 1}}}});
  const auto first =
      fixture.leases.lease(kGateway, slotsFor({{"", 2}}), fixture.state, fixture.now);
  cr_assert_neq(first[0].engine, first[1].engine);
  // Both items run at the same engine now.
  (void)fixture.leases.renew(kGateway, {{first[0].key, "a"}, {first[1].key, "a"}}, fixture.state,
                             fixture.now);
  const auto second =
      fixture.leases.lease(kOtherGateway, slotsFor({{"", 2}}), fixture.state, fixture.now);
  cr_assert_eq(second[0].engine, "b");
  cr_assert_eq(second[1].engine, "b");
  cr_assert(
      fixture.leases.lease(kOtherGateway, slotsFor({{"", 9}}), fixture.state, fixture.now).empty(),
      "both engines are full");
}

Test(item_leases, free_slots_are_planned_at_the_next_interval) {
  jobs::JobState state;
  apply(state, jobs::SubmitJob{submission("j", 4)});
  base::TimePoint now{base::seconds(1)};
  jobs::ItemLeases leases(base::seconds(2), base::milliseconds(5));
  leases.reset(1, now, base::Duration{0});
  leases.addJob("j", *state.find("j"), now);
  leases.setEngines({{"a", 2, {{"", 1}}}});
  const auto first = leases.lease(kGateway, slotsFor({{"", 9}}), state, now);
  cr_assert_eq(first.size(), 2U);
  apply(state, jobs::CommitResults{{{"j", {result(3, "t"), result(2, "t")}}}});
  leases.refresh(state, now);
  cr_assert(leases.itemsByEngine().empty());
  now += base::milliseconds(4);
  cr_assert(leases.lease(kGateway, slotsFor({{"", 9}}), state, now).empty());
  now += base::milliseconds(1);
  const auto second = leases.lease(kGateway, slotsFor({{"", 9}}), state, now);
  cr_assert_eq(second.size(), 2U);
  cr_assert_eq(second[0].key.item, 1U);
}

Test(item_leases, item_that_came_back_twice_is_leased_once) {
  LeaseFixture fixture;
  for (int i = 0; i < 2; ++i) {
    const auto leased =
        fixture.leases.lease(kGateway, slotsFor({{"", 4}}), fixture.state, fixture.now);
    cr_assert_eq(leased.size(), 4U);
    cr_assert_eq(leased[0].key.item, 3U, "items keep their order");
    fixture.now += base::seconds(3);
    fixture.leases.refresh(fixture.state, fixture.now);
  }
  cr_assert_eq(
      fixture.leases.lease(kOtherGateway, slotsFor({{"", 9}}), fixture.state, fixture.now).size(),
      4U);
}

Test(lease_order, required_items_come_first) {
  jobs::JobSubmission job;
  const auto add = [&](const std::string& group, std::uint32_t tokens) {
    job.items.push_back({group + std::to_string(job.items.size()), "/", {}, "", group, tokens});
  };
  add("a", 10);   // 0
  add("a", 500);  // 1: longest of all, in an optional group
  add("b", 300);  // 2
  add("c", 20);   // 3
  add("d", 5);    // 4: resubmitted
  job.requiredGroups = 3;
  const auto order = jobs::leaseOrder(job, {"d"});
  cr_assert(order == (std::vector<std::uint32_t>{4, 2, 3, 1, 0}));
  job.requiredGroups = 0;
  cr_assert(jobs::leaseOrder(job, {}) == (std::vector<std::uint32_t>{1, 2, 3, 0, 4}));
}

Test(item_leases, lease_that_is_not_renewed_goes_to_another) {
  LeaseFixture fixture;
  const auto leased =
      fixture.leases.lease(kGateway, slotsFor({{"", 4}}), fixture.state, fixture.now);
  fixture.now += base::milliseconds(1500);
  (void)fixture.leases.renew(kGateway, heldOf({leased[0]}), fixture.state, fixture.now);
  fixture.now += base::milliseconds(1500);
  fixture.leases.refresh(fixture.state, fixture.now);
  const auto again =
      fixture.leases.lease(kOtherGateway, slotsFor({{"", 4}}), fixture.state, fixture.now);
  cr_assert_eq(again.size(), 3U);
  const auto revoked = fixture.leases.renew(kGateway, heldOf(leased), fixture.state, fixture.now);
  cr_assert_eq(revoked.size(), 3U, "leased to other gateways");
}

Test(item_leases, draining_gateway_releases_items_it_does_not_hold) {
  LeaseFixture fixture;
  const auto leased =
      fixture.leases.lease(kGateway, slotsFor({{"", 4}}), fixture.state, fixture.now);
  fixture.leases.release(kGateway, heldOf({leased[0]}), fixture.state);
  const auto again =
      fixture.leases.lease(kOtherGateway, slotsFor({{"", 4}}), fixture.state, fixture.now);
  cr_assert_eq(again.size(), 3U);
}

Test(item_leases, ended_jobs_revoke_and_lease_nothing) {
  LeaseFixture fixture;
  const auto leased =
      fixture.leases.lease(kGateway, slotsFor({{"", 2}}), fixture.state, fixture.now);
  apply(fixture.state, jobs::EndJob{"j"});
  cr_assert_eq(fixture.leases.renew(kGateway, heldOf(leased), fixture.state, fixture.now).size(),
               2U);
  cr_assert(
      fixture.leases.lease(kOtherGateway, slotsFor({{"", 4}}), fixture.state, fixture.now).empty());
}

Test(item_leases, new_leader_waits_for_reports_of_held_items) {
  LeaseFixture fixture;
  fixture.leases.reset(2, fixture.now, base::milliseconds(500));
  fixture.leases.addJob("j", *fixture.state.find("j"), fixture.now);
  cr_assert(
      fixture.leases.lease(kOtherGateway, slotsFor({{"", 4}}), fixture.state, fixture.now).empty());
  (void)fixture.leases.renew(kGateway, {{{"j", 3}, ""}, {{"j", 2}, ""}}, fixture.state,
                             fixture.now);
  fixture.now += base::milliseconds(600);
  cr_assert_eq(
      fixture.leases.lease(kOtherGateway, slotsFor({{"", 4}}), fixture.state, fixture.now).size(),
      2U);
}

Test(item_leases, restarted_gateway_frees_items_of_its_previous_incarnation) {
  LeaseFixture fixture;
  (void)fixture.leases.lease(kGateway, slotsFor({{"", 4}}), fixture.state, fixture.now);
  const base::NodeId again = base::makeNodeId(1, 2);
  (void)fixture.leases.renew(again, {}, fixture.state, fixture.now);
  fixture.leases.refresh(fixture.state, fixture.now);
  cr_assert_eq(fixture.leases.lease(again, slotsFor({{"", 4}}), fixture.state, fixture.now).size(),
               4U);
}

Test(item_leases, broken_connection_ends_leases_that_are_not_renewed_soon) {
  LeaseFixture fixture;
  const auto leased =
      fixture.leases.lease(kGateway, slotsFor({{"", 4}}), fixture.state, fixture.now);
  fixture.leases.onGatewayLost(1, base::milliseconds(300), fixture.now);
  fixture.now += base::milliseconds(200);
  (void)fixture.leases.renew(kGateway, heldOf({leased[0]}), fixture.state, fixture.now);
  fixture.now += base::milliseconds(200);
  fixture.leases.refresh(fixture.state, fixture.now);
  cr_assert_eq(
      fixture.leases.lease(kOtherGateway, slotsFor({{"", 4}}), fixture.state, fixture.now).size(),
      3U);
}

Test(item_leases, lease_numbers_increase_across_leaders) {
  LeaseFixture fixture;
  const auto leased =
      fixture.leases.lease(kGateway, slotsFor({{"", 2}}), fixture.state, fixture.now);
  cr_assert_gt(leased[1].lease, leased[0].lease);
  fixture.leases.reset(2, fixture.now, base::Duration{0});
  fixture.leases.addJob("j", *fixture.state.find("j"), fixture.now);
  const auto later =
      fixture.leases.lease(kOtherGateway, slotsFor({{"", 4}}), fixture.state, fixture.now);
  cr_assert_gt(later[0].lease, leased[1].lease);
}

Test(stream_events, any_split_of_the_bytes_gives_the_same_events) {
  const std::string bytes = "id: 0\ndata: a\n\nweights: 7\nid: 1\ndata: b: c\n\nid:2\ndata:\n\n";
  for (std::size_t split = 0; split <= bytes.size(); ++split) {
    jobs::StreamEventParser parser("weights");
    std::vector<jobs::StreamEvent> events;
    for (const std::string& part : {bytes.substr(0, split), bytes.substr(split)}) {
      parser.feed(part);
      while (const auto event = parser.next()) {
        events.push_back(*event);
      }
    }
    cr_assert_eq(events.size(), 3U);
    cr_assert_eq(events[0].data, "a");
    cr_assert_not(events[0].version.has_value());
    cr_assert_eq(*events[1].version, 7U);
    cr_assert_eq(events[1].data, "b: c");
    cr_assert_eq(*events[2].id, 2U);
    cr_assert_not(parser.hasPartialEvent());
  }
}

Test(item_run, text_continues_after_the_last_event_with_all_versions) {
  jobs::ItemRun run(leasedItem());
  cr_assert(run.onHead(2));
  cr_assert(run.onEvent({0, "a", std::nullopt}));
  cr_assert(run.onEvent({1, "b", 3}));
  cr_assert_eq(*run.lastEvent(), 1U);
  cr_assert(run.onHead(4), "another engine continues");
  cr_assert(run.onEvent({2, "c", std::nullopt}));
  const jobs::ItemResult done = run.completed();
  cr_assert_eq(done.text, "a\nb\nc");
  cr_assert(done.versions == (std::set<std::uint64_t>{2, 3, 4}));
}

Test(item_run, gaps_repeats_and_old_weights_are_refused) {
  jobs::ItemRun run(leasedItem());
  cr_assert_not(run.onHead(1));
  cr_assert(run.onHead(2));
  cr_assert(run.onEvent({4, "a", std::nullopt}));
  cr_assert_not(run.onEvent({4, "a", std::nullopt}));
  cr_assert_not(run.onEvent({6, "c", std::nullopt}));
  cr_assert_not(run.onEvent({std::nullopt, "c", std::nullopt}));
  cr_assert_not(run.onEvent({5, "b", 1}));
  cr_assert_eq(run.completed().text, "a");
}

Test(item_run, single_version_text_restarts_with_another_version) {
  jobs::ItemRun run(leasedItem(2, true));
  cr_assert(run.onHead(2));
  cr_assert(run.onEvent({0, "a", std::nullopt}));
  cr_assert_not(run.onEvent({1, "b", 3}), "the weights change during the run");
  cr_assert_not(run.onHead(3), "the text so far was generated by version 2");
  cr_assert_not(run.lastEvent().has_value());
  cr_assert(run.onHead(3));
  cr_assert(run.onEvent({0, "x", std::nullopt}));
  cr_assert(run.completed().versions == std::set<std::uint64_t>{3});
}

Test(item_run, given_up_only_after_all_attempts_or_out_of_time) {
  jobs::ItemRun run(leasedItem());
  cr_assert_not(run.onFailure());
  cr_assert_not(run.onFailure());
  cr_assert(run.onFailure());
  cr_assert_not(run.isExpired(base::seconds(40)));
  cr_assert(run.isExpired(base::seconds(41)));
}

// Guards against a result with bytes that are not text, which no caller can read.
Test(stream_event_parser, event_that_is_not_utf8_ends_the_stream) {
  jobs::StreamEventParser parser("weight-versions");
  parser.feed("id: 1\ndata: caf\xc3\xa9\n\nid: 2\ndata: baf0\xb1\n\nid: 3\ndata: c\n\n");
  cr_assert_eq(parser.next().value().data, "caf\xc3\xa9");
  cr_assert_not(parser.isMalformed());
  cr_assert_not(parser.next().has_value());
  cr_assert(parser.isMalformed());
  parser.feed("id: 4\ndata: d\n\n");
  cr_assert_not(parser.next().has_value(), "later events do not follow the last valid one");
}

// Guards against an engine whose event lasts until the caller closes.
Test(stream_event_parser, event_without_end_is_malformed) {
  jobs::StreamEventParser parser("weight-versions");
  const std::string line(1000, 'x');
  std::size_t fed = 0;
  parser.feed("id: 1\ndata: ");
  while (!parser.isMalformed() && fed < 2 * jobs::kMaxEventBytes) {
    parser.feed(line);
    fed += line.size();
    cr_assert_not(parser.next().has_value());
  }
  cr_assert(parser.isMalformed());
  cr_assert_leq(fed, jobs::kMaxEventBytes + line.size());
}

Test(stream_event_parser, event_whose_end_arrives_in_two_parts_is_found) {
  jobs::StreamEventParser parser("weight-versions");
  parser.feed("id: 1\ndata: a\n");
  cr_assert_not(parser.next().has_value());
  parser.feed("\nid: 2\ndata: b\n\n");
  cr_assert_eq(parser.next().value().data, "a");
  cr_assert_eq(parser.next().value().data, "b");
}

// Guards against an engine that sends events without end.
Test(item_run, text_over_the_limit_starts_from_the_beginning) {
  jobs::ItemRun run(leasedItem());
  cr_assert(run.onHead(9));
  jobs::StreamEvent event{0, std::string(1000, 'x'), {}};
  while (!run.exceedsMaxLength(event)) {
    cr_assert(run.onEvent(event));
    ++*event.id;
    cr_assert_leq(run.textBytes(), jobs::kMaxTextBytes);
  }
  run.discardText();
  cr_assert_eq(run.textBytes(), 0U);
  cr_assert_not(run.lastEvent().has_value(), "the next run does not continue the text");
}

// Guards against continuing a saved text that no caller can read.
Test(item_run, saved_text_that_is_not_utf8_is_replaced) {
  jobs::LeasedItem leased = leasedItem();
  leased.progress = jobs::PartialText{{1, 4}, base::CompressedText("a\xb1"), {2}};
  jobs::ItemRun run(leased);
  cr_assert_not(run.lastEvent().has_value());
  cr_assert_eq(run.textBytes(), 0U);
}
