/// Tests of InstanceTable and RetryPolicy.
#include <criterion/criterion.h>

#include <algorithm>
#include <ctime>

#include "directory/incarnation.h"
#include "forwarding/instance_table.h"
#include "forwarding/retry_policy.h"

namespace base = tackpick::base;
namespace directory = tackpick::directory;
namespace forwarding = tackpick::forwarding;
namespace jobs = tackpick::jobs;
using forwarding::AttemptOutcome;
using forwarding::AttemptResult;

namespace {

directory::InstanceView view(const std::string& id, std::uint64_t version = 1) {
  directory::InstanceView result;
  result.record = {id, "s", "10.0.0.1", 1, "z", 4, false};
  result.versions["m"] = version;
  return result;
}

struct Fixture {
  explicit Fixture(const std::vector<directory::InstanceView>& views) {
    now += base::seconds(100);
    table.replaceAll(views);
  }
  /// Returns the distinct ids selected in repeated calls.
  std::set<std::string> selectedIds(const forwarding::InstanceRequirements& requirements,
                                    const std::set<std::string>& tried = {}) {
    std::set<std::string> ids;
    for (int i = 0; i < 200; ++i) {
      if (const auto* entry = table.select(requirements, tried, random, now)) {
        ids.insert(entry->record.id);
      }
    }
    return ids;
  }

  base::TimePoint now{};
  base::SeededRandom random{1};
  forwarding::InstanceTable table{{"z", "gateway"}};
};

const forwarding::InstanceRequirements kRequirements{"s", "", 0};

directory::Route route(directory::RouteKind kind) {
  directory::Route result;
  result.kind = kind;
  result.timeout = base::seconds(1);
  result.targetLatency = base::milliseconds(100);
  result.attempts = 2;
  return result;
}

}  // namespace

Test(instance_table, draining_removed_and_outdated_instances_are_never_selected) {
  auto draining = view("leaving");
  draining.record.draining = true;
  Fixture fixture({view("a", 3), view("old", 2), draining});
  cr_assert(fixture.selectedIds({"s", "m", 3}) == std::set<std::string>{"a"});
  fixture.table.onEnded("a", AttemptOutcome::kWrongInstance, {}, fixture.now);
  cr_assert(fixture.selectedIds({"s", "m", 3}).empty());
  cr_assert(fixture.selectedIds({"other", "", 0}).empty());
}

Test(instance_table, draining_is_irreversible) {
  auto draining = view("a");
  draining.record.draining = true;
  Fixture fixture({draining});
  fixture.table.replaceAll({view("a")});
  cr_assert(fixture.selectedIds(kRequirements).empty());
}

Test(instance_table, unresponsive_instances_are_used_when_no_other_is_left) {
  auto unresponsive = view("silent");
  unresponsive.unresponsive = true;
  Fixture fixture({unresponsive});
  cr_assert(fixture.selectedIds(kRequirements) == std::set<std::string>{"silent"});
  fixture.table.replaceAll({unresponsive, view("heard")});
  cr_assert(fixture.selectedIds(kRequirements) == std::set<std::string>{"heard"});
}

Test(instance_table, incremental_views_give_the_same_table_as_a_full_view) {
  const forwarding::ServiceModels models{{"s", {"m"}}};
  Fixture fixture({view("a"), view("b"), view("c", 2)});
  fixture.table.onSent("b");
  auto draining = view("a");
  draining.record.draining = true;
  fixture.table.applyChanges({draining, view("c", 3), view("d", 3)}, {"b", "unknown"});
  cr_assert(fixture.selectedIds({"s", "m", 1}) == (std::set<std::string>{"c", "d"}));
  cr_assert_not_null(fixture.table.find("b"), "a response may still arrive");
  jobs::FreeSlots slots = fixture.table.freeSlots(models);
  for (int i = 0; i < 8; ++i) {
    cr_assert(slots.take("m", 3));
  }
  cr_assert_not(slots.take("m", 1), "a is draining, b was removed");
  fixture.table.onEnded("b", AttemptOutcome::kSucceeded, {}, fixture.now);
  fixture.table.applyChanges({}, {"c"});
  cr_assert_null(fixture.table.find("b"));
  cr_assert(fixture.selectedIds({"s", "m", 1}) == std::set<std::string>{"d"});
}

Test(instance_table, standby_engines_are_selected_last) {
  auto standby = view("reserve", 5);
  standby.standby = true;
  Fixture fixture({standby, view("used")});
  const forwarding::InstanceRequirements requirements{"s", "m", 1};
  cr_assert(fixture.selectedIds(requirements) == std::set<std::string>{"used"});
  cr_assert(fixture.selectedIds({"s", "m", 5}) == std::set<std::string>{"reserve"});
  cr_assert_null(
      fixture.table.findWithFreeSlot(requirements, {"used"}, fixture.random, fixture.now));
  fixture.table.onEnded("used", AttemptOutcome::kConnectFailed, {}, fixture.now);
  cr_assert(fixture.selectedIds(requirements) == std::set<std::string>{"reserve"});
  jobs::FreeSlots slots = fixture.table.freeSlots({{"s", {"m"}}});
  cr_assert_not(slots.take("m", 5), "standby engines do not count");
}

namespace {

constexpr int kServers = 300;

std::vector<directory::InstanceView> largeService() {
  std::vector<directory::InstanceView> views;
  for (int i = 0; i < kServers; ++i) {
    views.push_back(view("server" + std::to_string(i)));
    views.back().record.zone = i % 3 == 0 ? "z" : "away";
  }
  return views;
}

}  // namespace

// Guards against a new connection for nearly every request in a service with many servers.
Test(instance_table, gateways_with_little_traffic_use_few_of_many_servers) {
  constexpr int kGateways = 200;
  constexpr int kRequests = 20;
  const base::TimePoint now{base::seconds(100)};
  base::SeededRandom random{1};
  std::size_t pairs = 0;
  std::map<std::string, int> gatewaysAt;
  for (int gateway = 0; gateway < kGateways; ++gateway) {
    forwarding::InstanceTable table{{"z", "gateway" + std::to_string(gateway)}};
    table.replaceAll(largeService());
    std::set<std::string> used;
    for (int request = 0; request < kRequests; ++request) {
      const auto* entry = table.select(kRequirements, {}, random, now);
      cr_assert_eq(entry->record.zone, "z");
      const std::string id = entry->record.id;
      table.onSent(id);
      table.onEnded(id, AttemptOutcome::kSucceeded, base::milliseconds(25), now);
      used.insert(id);
    }
    pairs += used.size();
    for (const std::string& id : used) {
      ++gatewaysAt[id];
    }
  }
  cr_assert_leq(pairs, 3U * kGateways);
  const auto busiest = std::max_element(
      gatewaysAt.begin(), gatewaysAt.end(),
      [](const auto& left, const auto& right) { return left.second < right.second; });
  cr_assert_lt(busiest->second, 20, "gateways are spread over the servers of the zone");
}

Test(instance_table, other_instances_are_used_when_the_subset_fails_is_slow_or_busy) {
  forwarding::InstanceTable table{{"z", "gateway"}};
  table.replaceAll(largeService());
  base::TimePoint now{base::seconds(100)};
  base::SeededRandom random{1};
  const std::string first = table.select(kRequirements, {}, random, now)->record.id;
  table.onSent(first);
  table.onEnded(first, AttemptOutcome::kFailed, {}, now);
  const std::string second = table.select(kRequirements, {}, random, now)->record.id;
  cr_assert_neq(second, first);
  table.onSent(second);
  table.onEnded(second, AttemptOutcome::kSucceeded, base::milliseconds(400), now);
  const std::string third = table.select(kRequirements, {}, random, now)->record.id;
  cr_assert_neq(third, second);
  cr_assert_neq(third, first);
  // Concurrent requests are spread beyond the gateway's subset of servers.
  std::set<std::string> used;
  for (int request = 0; request < 100; ++request) {
    const std::string id = table.select(kRequirements, {}, random, now)->record.id;
    table.onSent(id);
    used.insert(id);
  }
  cr_assert_gt(used.size(), 50U);
}

Test(instance_table, slots_follow_versions_reported_in_responses) {
  const forwarding::ServiceModels models{{"s", {"m"}}};
  Fixture fixture({view("a"), view("b")});
  fixture.table.onVersion("a", "m", 5);
  fixture.table.onEnded("b", AttemptOutcome::kWrongInstance, {}, fixture.now);
  jobs::FreeSlots slots = fixture.table.freeSlots(models);
  for (int i = 0; i < 4; ++i) {
    cr_assert(slots.take("m", 5));
  }
  cr_assert_not(slots.take("m", 1));
}

// Guards against lease calls that iterate over all engines.
Test(instance_table, lease_calls_are_cheap_with_many_engines) {
  constexpr int kEngines = 10'000;
  constexpr int kCalls = 1000;
  std::vector<directory::InstanceView> views;
  for (int i = 0; i < kEngines; ++i) {
    views.push_back(view("e" + std::to_string(i)));
  }
  Fixture fixture(views);
  fixture.table.onEventInterval("e7", base::milliseconds(40), fixture.now);
  const std::clock_t startedAt = std::clock();
  for (int i = 0; i < kCalls; ++i) {
    cr_assert_not(fixture.table.freeSlots({{"s", {"m"}}}).empty());
    cr_assert_eq(fixture.table.eventIntervals(fixture.now).size(), 1U);
    fixture.table.applyChanges({view("e" + std::to_string(i), 2)}, {});
  }
  cr_assert_lt(static_cast<double>(std::clock() - startedAt) / CLOCKS_PER_SEC, 1.0);
}

Test(instance_table, failing_full_and_loading_instances_are_ejected_temporarily) {
  Fixture fixture({view("a"), view("b")});
  for (const AttemptOutcome outcome :
       {AttemptOutcome::kFailed, AttemptOutcome::kConnectFailed, AttemptOutcome::kRejected}) {
    fixture.table.onEnded("a", outcome, {}, fixture.now);
    cr_assert(fixture.selectedIds(kRequirements) == std::set<std::string>{"b"});
    fixture.now += base::seconds(5);
    cr_assert_eq(fixture.selectedIds(kRequirements).size(), 2U);
  }
  auto loading = view("a");
  loading.loading = true;
  fixture.table.replaceAll({loading, view("b")});
  cr_assert(fixture.selectedIds({"s", "m", 0}) == std::set<std::string>{"b"});
}

Test(instance_table, tried_instances_are_selected_last) {
  Fixture fixture({view("a"), view("b")});
  cr_assert(fixture.selectedIds(kRequirements, {"a"}) == std::set<std::string>{"b"});
  cr_assert_eq(fixture.selectedIds(kRequirements, {"a", "b"}).size(), 2U);
}

Test(instance_table, versions_never_decrease) {
  Fixture fixture({view("a", 5)});
  fixture.table.replaceAll({view("a", 4)});
  cr_assert_eq(fixture.table.find("a")->version("m"), 5U);
}

Test(instance_table, long_runs_find_a_faster_instance_with_a_free_slot) {
  Fixture fixture({view("slow"), view("fast")});
  fixture.table.onEventInterval("slow", base::milliseconds(80), fixture.now);
  fixture.table.onEventInterval("fast", base::milliseconds(40), fixture.now);
  const forwarding::InstanceRequirements requirements{"s", "m", 1, true};
  const auto* faster =
      fixture.table.findFaster(requirements, "slow", 1.25, fixture.random, fixture.now);
  cr_assert_not_null(faster);
  cr_assert_eq(faster->record.id, "fast");
  cr_assert_null(fixture.table.findFaster(requirements, "fast", 1.25, fixture.random, fixture.now));
  fixture.table.onLoad("fast", {4, 0, 4}, fixture.now);
  cr_assert_null(fixture.table.findFaster(requirements, "slow", 1.25, fixture.random, fixture.now),
                 "the instance is full");
}

Test(instance_table, loading_engine_is_not_considered_slow) {
  auto loading = view("a");
  loading.loading = true;
  Fixture fixture({loading, view("b")});
  fixture.table.onEventInterval("a", base::milliseconds(300), fixture.now);
  cr_assert_eq(fixture.table.find("a")->eventIntervalMs, 0.0);
  fixture.table.replaceAll({view("a"), view("b")});
  fixture.table.onEventInterval("a", base::milliseconds(80), fixture.now);
  fixture.table.onEventInterval("b", base::milliseconds(40), fixture.now);
  const forwarding::InstanceRequirements requirements{"s", "m", 1, true};
  cr_assert_not_null(
      fixture.table.findFaster(requirements, "a", 1.25, fixture.random, fixture.now));
  fixture.table.replaceAll({loading, view("b")});
  cr_assert_null(fixture.table.findFaster(requirements, "a", 1.25, fixture.random, fixture.now));
}

Test(instance_table, event_intervals_are_reported_with_their_age_and_follow_a_change) {
  Fixture fixture({view("a")});
  fixture.table.onLoad("a", {1, 0, 4, 250}, fixture.now);
  fixture.table.onEventInterval("a", base::milliseconds(160), fixture.now);
  fixture.now += base::milliseconds(100);
  const jobs::EventIntervalReport report = fixture.table.eventIntervals(fixture.now).at("a");
  cr_assert_eq(report.eventIntervalMs, 160.0);
  cr_assert_eq(report.age, base::milliseconds(100));
  cr_assert_eq(report.slowdownPercent, 250U);
  cr_assert_eq(report.slowdownAge, base::milliseconds(100));
  fixture.now += base::seconds(5);
  fixture.table.onEventInterval("a", base::milliseconds(40), fixture.now);
  cr_assert_eq(fixture.table.eventIntervals(fixture.now).at("a").eventIntervalMs, 40.0,
               "outdated samples are replaced");
  fixture.table.onEventInterval("a", base::milliseconds(60), fixture.now);
  cr_assert_float_eq(fixture.table.eventIntervals(fixture.now).at("a").eventIntervalMs, 46.0, 0.01);
}

Test(instance_table, restarted_engine_inherits_the_event_interval_of_its_machine) {
  const std::string restarted = directory::Incarnation{"a", 7}.key();
  Fixture fixture({view("a"), view("b")});
  fixture.table.onEventInterval("a", base::milliseconds(140), fixture.now);
  fixture.table.applyChanges({view(restarted)}, {"a"});
  cr_assert_eq(fixture.table.find(restarted)->eventIntervalMs, 140.0);
  cr_assert_eq(fixture.table.eventIntervals(fixture.now).size(), 1U);
  cr_assert_eq(fixture.table.eventIntervals(fixture.now).at("a").eventIntervalMs, 140.0);
}

Test(instance_table, engines_within_an_event_interval_are_found) {
  Fixture fixture({view("a"), view("b"), view("c")});
  fixture.table.onEventInterval("a", base::milliseconds(140), fixture.now);
  fixture.table.onEventInterval("b", base::milliseconds(90), fixture.now);
  const forwarding::InstanceRequirements requirements{"s", "m", 1, true};
  cr_assert_null(
      fixture.table.findWithinInterval(requirements, "a", 60, fixture.random, fixture.now));
  cr_assert_eq(
      fixture.table.findWithinInterval(requirements, "a", 100, fixture.random, fixture.now)
          ->record.id,
      "b");
  cr_assert_null(
      fixture.table.findWithinInterval(requirements, "b", 100, fixture.random, fixture.now));
}

Test(instance_table, items_of_other_gateways_occupy_slots) {
  Fixture fixture({view("a"), view("b")});
  const forwarding::InstanceRequirements requirements{"s", "m", 1, false};
  fixture.table.onClusterLoad("a", 4, fixture.now);
  for (int draw = 0; draw < 20; ++draw) {
    const auto* idle =
        fixture.table.findWithFreeSlot(requirements, {}, fixture.random, fixture.now);
    cr_assert_eq(idle->record.id, "b");
  }
}

Test(instance_table, queued_items_find_an_instance_with_a_free_slot) {
  Fixture fixture({view("full"), view("idle"), view("tried")});
  const forwarding::InstanceRequirements requirements{"s", "m", 1, false};
  fixture.table.onLoad("full", {4, 2, 4}, fixture.now);
  for (int draw = 0; draw < 20; ++draw) {
    const auto* idle =
        fixture.table.findWithFreeSlot(requirements, {"tried"}, fixture.random, fixture.now);
    cr_assert_not_null(idle);
    cr_assert_eq(idle->record.id, "idle");
  }
  fixture.table.onEnded("idle", forwarding::AttemptOutcome::kRejected, {}, fixture.now);
  cr_assert_null(
      fixture.table.findWithFreeSlot(requirements, {"tried"}, fixture.random, fixture.now));
  cr_assert(fixture.table.isUsable("tried", requirements, fixture.now));
  cr_assert_not(fixture.table.isUsable("idle", requirements, fixture.now));
}

Test(retry_policy, at_most_once_requests_are_retried_only_when_not_run) {
  const base::TimePoint start{};
  forwarding::RetryPolicy policy(route(directory::RouteKind::kAtMostOnce), start,
                                 start + base::seconds(2));
  cr_assert(policy.maySend(start));
  policy.onAttemptStarted();
  cr_assert_not(policy.maySend(start));
  cr_assert_not(policy.hedgeTime(start).has_value());
  policy.onResult(AttemptResult::kNotRun);
  cr_assert(policy.maySend(start));
  policy.onAttemptStarted();
  cr_assert_eq(policy.onResult(AttemptResult::kIncomplete), base::Verdict::kMayHaveRun);
  cr_assert_not(policy.maySend(start));
}

Test(retry_policy, verdict_is_never_downgraded) {
  const base::TimePoint start{};
  forwarding::RetryPolicy policy(route(directory::RouteKind::kRepeatable), start,
                                 start + base::seconds(2));
  policy.onAttemptStarted();
  policy.onResult(AttemptResult::kIncomplete);
  policy.onAttemptStarted();
  cr_assert_eq(policy.onResult(AttemptResult::kNotRun), base::Verdict::kMayHaveRun);
}

Test(retry_policy, attempts_are_limited_by_number_and_deadline) {
  const base::TimePoint start{};
  forwarding::RetryPolicy policy(route(directory::RouteKind::kRepeatable), start,
                                 start + base::seconds(2));
  cr_assert_eq(policy.deadline().time_since_epoch().count(),
               base::Duration(base::seconds(1)).count(), "the route's deadline is earlier");
  cr_assert_not(policy.maySend(start + base::seconds(1)));
  policy.onAttemptStarted();
  cr_assert(policy.hedgeTime(start).has_value());
  cr_assert(policy.maySend(start));
  policy.onAttemptStarted();
  cr_assert_not(policy.maySend(start));
  cr_assert_not(policy.hedgeTime(start).has_value());
}

// A new incarnation must not inherit failures or requests in flight.
Test(instance_table, new_incarnation_is_a_separate_instance) {
  forwarding::InstanceTable table({"z"});
  const std::string first = directory::Incarnation{"e", 1000}.key();
  const std::string second = directory::Incarnation{"e", 2000}.key();
  const auto view = [](const std::string& id) {
    directory::InstanceView result;
    result.record = {id, "s", "10.0.0.9", 1, "z", 4, false};
    return result;
  };
  table.replaceAll({view(first)});
  table.onSent(first);
  table.onEnded(first, forwarding::AttemptOutcome::kFailed, {}, base::TimePoint{});
  table.onSent(first);
  cr_assert_not(table.hasRestarted(first));
  table.applyChanges({view(second)}, {first});
  cr_assert(table.hasRestarted(first));
  cr_assert_not(table.hasRestarted(second));
  cr_assert_eq(table.find(second)->failures, 0U);
  cr_assert_eq(table.find(second)->inFlight, 0U);
  cr_assert(table.isUsable(second, {"s", "", 0, false}, base::TimePoint{}));
  cr_assert_not(table.isUsable(first, {"s", "", 0, false}, base::TimePoint{}));
}

Test(instance_table, slowed_instance_gets_fewer_requests_while_it_is_slow) {
  Fixture fixture({view("a"), view("b")});
  fixture.table.onLoad("a", {1, 0, 4, 400}, fixture.now);
  fixture.table.onLoad("b", {1, 0, 4, 100}, fixture.now);
  int slowSelections = 0;
  constexpr int kSelections = 400;
  for (int i = 0; i < kSelections; ++i) {
    slowSelections +=
        fixture.table.select(kRequirements, {}, fixture.random, fixture.now)->record.id == "a" ? 1
                                                                                               : 0;
  }
  cr_assert_lt(slowSelections, kSelections / 3, "selected only if both candidates are a");
  fixture.now += base::milliseconds(300);
  slowSelections = 0;
  for (int i = 0; i < kSelections; ++i) {
    slowSelections +=
        fixture.table.select(kRequirements, {}, fixture.random, fixture.now)->record.id == "a" ? 1
                                                                                               : 0;
  }
  cr_assert_gt(slowSelections, kSelections / 3, "the reported slowdown is outdated");
}
