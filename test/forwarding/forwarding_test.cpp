/// Choice of instances, and what follows a send.
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
  directory::InstanceView made;
  made.record = {id, "s", "10.0.0.1", 1, "z", 4, false};
  made.versions["m"] = version;
  return made;
}

struct Fixture {
  explicit Fixture(const std::vector<directory::InstanceView>& views) {
    now += base::seconds(100);
    table.update(views);
  }
  /// Ids chosen in many draws.
  std::set<std::string> chosen(const forwarding::InstanceRequirements& need,
                               const std::set<std::string>& tried = {}) {
    std::set<std::string> ids;
    for (int i = 0; i < 200; ++i) {
      if (const auto* entry = table.select(need, tried, random, now)) {
        ids.insert(entry->record.id);
      }
    }
    return ids;
  }

  base::TimePoint now{};
  base::SeededRandom random{1};
  forwarding::InstanceTable table{{"z", "gateway"}};
};

const forwarding::InstanceRequirements kNeed{"s", "", 0};

directory::Route route(directory::RouteKind kind) {
  directory::Route made;
  made.kind = kind;
  made.timeout = base::seconds(1);
  made.targetLatency = base::milliseconds(100);
  made.attempts = 2;
  return made;
}

}  // namespace

Test(instance_table, leaving_gone_and_old_instances_are_never_chosen) {
  auto draining = view("leaving");
  draining.record.draining = true;
  Fixture fixture({view("a", 3), view("old", 2), draining});
  cr_assert(fixture.chosen({"s", "m", 3}) == std::set<std::string>{"a"});
  fixture.table.onEnded("a", AttemptOutcome::kGone, {}, fixture.now);
  cr_assert(fixture.chosen({"s", "m", 3}).empty());
  cr_assert(fixture.chosen({"other", "", 0}).empty());
}

Test(instance_table, leaving_is_not_taken_back) {
  auto draining = view("a");
  draining.record.draining = true;
  Fixture fixture({draining});
  fixture.table.update({view("a")});
  cr_assert(fixture.chosen(kNeed).empty());
}

Test(instance_table, silence_alone_does_not_empty_the_fleet) {
  auto unresponsive = view("silent");
  unresponsive.unresponsive = true;
  Fixture fixture({unresponsive});
  cr_assert(fixture.chosen(kNeed) == std::set<std::string>{"silent"});
  fixture.table.update({unresponsive, view("heard")});
  cr_assert(fixture.chosen(kNeed) == std::set<std::string>{"heard"});
}

Test(instance_table, changes_give_the_same_table_as_the_whole_view) {
  const forwarding::ServiceModels models{{"s", {"m"}}};
  Fixture fixture({view("a"), view("b"), view("c", 2)});
  fixture.table.onSent("b");
  auto draining = view("a");
  draining.record.draining = true;
  fixture.table.change({draining, view("c", 3), view("d", 3)}, {"b", "unknown"});
  cr_assert(fixture.chosen({"s", "m", 1}) == (std::set<std::string>{"c", "d"}));
  cr_assert_not_null(fixture.table.find("b"), "an answer may still come");
  jobs::FreeSlots room = fixture.table.freeSlots(models);
  for (int slots = 0; slots < 8; ++slots) {
    cr_assert(room.take("m", 3));
  }
  cr_assert_not(room.take("m", 1), "a leaves, b is gone");
  fixture.table.onEnded("b", AttemptOutcome::kServed, {}, fixture.now);
  fixture.table.change({}, {"c"});
  cr_assert_null(fixture.table.find("b"));
  cr_assert(fixture.chosen({"s", "m", 1}) == std::set<std::string>{"d"});
}

Test(instance_table, engines_in_reserve_come_after_the_others) {
  auto standby = view("reserve", 5);
  standby.standby = true;
  Fixture fixture({standby, view("used")});
  const forwarding::InstanceRequirements need{"s", "m", 1};
  cr_assert(fixture.chosen(need) == std::set<std::string>{"used"});
  cr_assert(fixture.chosen({"s", "m", 5}) == std::set<std::string>{"reserve"});
  cr_assert_null(fixture.table.findIdle(need, {"used"}, fixture.random, fixture.now));
  fixture.table.onEnded("used", AttemptOutcome::kUnreached, {}, fixture.now);
  cr_assert(fixture.chosen(need) == std::set<std::string>{"reserve"});
  jobs::FreeSlots room = fixture.table.freeSlots({{"s", {"m"}}});
  cr_assert_not(room.take("m", 5), "items are leased for those in use");
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

// Each of 200 gateways gets 20 requests one after the other. Spread over all servers nearly each
// request would open a connection.
Test(instance_table, gateways_with_little_traffic_keep_to_few_of_many_servers) {
  constexpr int kGateways = 200;
  constexpr int kRequests = 20;
  const base::TimePoint now{base::seconds(100)};
  base::SeededRandom random{1};
  std::size_t pairs = 0;
  std::map<std::string, int> gatewaysAt;
  for (int gateway = 0; gateway < kGateways; ++gateway) {
    forwarding::InstanceTable table{{"z", "gateway" + std::to_string(gateway)}};
    table.update(largeService());
    std::set<std::string> used;
    for (int request = 0; request < kRequests; ++request) {
      const auto* entry = table.select(kNeed, {}, random, now);
      cr_assert_eq(entry->record.zone, "z");
      const std::string id = entry->record.id;
      table.onSent(id);
      table.onEnded(id, AttemptOutcome::kServed, base::milliseconds(25), now);
      used.insert(id);
    }
    pairs += used.size();
    for (const std::string& id : used) {
      ++gatewaysAt[id];
    }
  }
  cr_assert_leq(pairs, 3U * kGateways);
  const auto most = std::max_element(
      gatewaysAt.begin(), gatewaysAt.end(),
      [](const auto& left, const auto& right) { return left.second < right.second; });
  cr_assert_lt(most->second, 20, "600 pairs over 100 servers of the zone");
}

Test(instance_table, favourites_give_way_when_they_fail_are_slow_or_busy) {
  forwarding::InstanceTable table{{"z", "gateway"}};
  table.update(largeService());
  base::TimePoint now{base::seconds(100)};
  base::SeededRandom random{1};
  const std::string first = table.select(kNeed, {}, random, now)->record.id;
  table.onSent(first);
  table.onEnded(first, AttemptOutcome::kFailed, {}, now);
  const std::string second = table.select(kNeed, {}, random, now)->record.id;
  cr_assert_neq(second, first);
  table.onSent(second);
  table.onEnded(second, AttemptOutcome::kServed, base::milliseconds(400), now);
  const std::string third = table.select(kNeed, {}, random, now)->record.id;
  cr_assert_neq(third, second);
  cr_assert_neq(third, first);
  // Many requests at once spread over all servers.
  std::set<std::string> used;
  for (int request = 0; request < 100; ++request) {
    const std::string id = table.select(kNeed, {}, random, now)->record.id;
    table.onSent(id);
    used.insert(id);
  }
  cr_assert_gt(used.size(), 50U);
}

Test(instance_table, places_follow_versions_that_answers_tell) {
  const forwarding::ServiceModels models{{"s", {"m"}}};
  Fixture fixture({view("a"), view("b")});
  fixture.table.onVersion("a", "m", 5);
  fixture.table.onEnded("b", AttemptOutcome::kGone, {}, fixture.now);
  jobs::FreeSlots room = fixture.table.freeSlots(models);
  for (int slots = 0; slots < 4; ++slots) {
    cr_assert(room.take("m", 5));
  }
  cr_assert_not(room.take("m", 1));
}

// To walk all engines for each call would take milliseconds of a core.
Test(instance_table, calls_for_leases_cost_little_in_a_large_fleet) {
  constexpr int kEngines = 10'000;
  constexpr int kCalls = 1000;
  std::vector<directory::InstanceView> views;
  for (int i = 0; i < kEngines; ++i) {
    views.push_back(view("e" + std::to_string(i)));
  }
  Fixture fixture(views);
  fixture.table.onEventInterval("e7", base::milliseconds(40), fixture.now);
  const std::clock_t begun = std::clock();
  for (int i = 0; i < kCalls; ++i) {
    cr_assert_not(fixture.table.freeSlots({{"s", {"m"}}}).empty());
    cr_assert_eq(fixture.table.eventIntervals(fixture.now).size(), 1U);
    fixture.table.change({view("e" + std::to_string(i), 2)}, {});
  }
  cr_assert_lt(static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC, 1.0);
}

Test(instance_table, failing_full_and_loading_instances_are_avoided_for_a_while) {
  Fixture fixture({view("a"), view("b")});
  for (const AttemptOutcome outcome :
       {AttemptOutcome::kFailed, AttemptOutcome::kUnreached, AttemptOutcome::kFull}) {
    fixture.table.onEnded("a", outcome, {}, fixture.now);
    cr_assert(fixture.chosen(kNeed) == std::set<std::string>{"b"});
    fixture.now += base::seconds(5);
    cr_assert_eq(fixture.chosen(kNeed).size(), 2U);
  }
  auto loading = view("a");
  loading.loading = true;
  fixture.table.update({loading, view("b")});
  cr_assert(fixture.chosen({"s", "m", 0}) == std::set<std::string>{"b"});
}

Test(instance_table, those_tried_come_last) {
  Fixture fixture({view("a"), view("b")});
  cr_assert(fixture.chosen(kNeed, {"a"}) == std::set<std::string>{"b"});
  cr_assert_eq(fixture.chosen(kNeed, {"a", "b"}).size(), 2U);
}

Test(instance_table, versions_only_rise) {
  Fixture fixture({view("a", 5)});
  fixture.table.update({view("a", 4)});
  cr_assert_eq(fixture.table.find("a")->version("m"), 5U);
}

Test(instance_table, long_runs_find_the_faster_instance_with_room) {
  Fixture fixture({view("slow"), view("fast")});
  fixture.table.onEventInterval("slow", base::milliseconds(80), fixture.now);
  fixture.table.onEventInterval("fast", base::milliseconds(40), fixture.now);
  const forwarding::InstanceRequirements need{"s", "m", 1, true};
  const auto* faster = fixture.table.findFaster(need, "slow", 1.25, fixture.random, fixture.now);
  cr_assert_not_null(faster);
  cr_assert_eq(faster->record.id, "fast");
  cr_assert_null(fixture.table.findFaster(need, "fast", 1.25, fixture.random, fixture.now));
  fixture.table.onLoad("fast", {4, 0, 4}, fixture.now);
  cr_assert_null(fixture.table.findFaster(need, "slow", 1.25, fixture.random, fixture.now),
                 "it is full");
}

Test(instance_table, engine_that_changes_weights_is_not_taken_for_slow) {
  auto loading = view("a");
  loading.loading = true;
  Fixture fixture({loading, view("b")});
  fixture.table.onEventInterval("a", base::milliseconds(300), fixture.now);
  cr_assert_eq(fixture.table.find("a")->eventIntervalMs, 0.0);
  fixture.table.update({view("a"), view("b")});
  fixture.table.onEventInterval("a", base::milliseconds(80), fixture.now);
  fixture.table.onEventInterval("b", base::milliseconds(40), fixture.now);
  const forwarding::InstanceRequirements need{"s", "m", 1, true};
  cr_assert_not_null(fixture.table.findFaster(need, "a", 1.25, fixture.random, fixture.now));
  fixture.table.update({loading, view("b")});
  cr_assert_null(fixture.table.findFaster(need, "a", 1.25, fixture.random, fixture.now));
}

Test(instance_table, paces_are_told_with_their_age_and_follow_a_change) {
  Fixture fixture({view("a")});
  fixture.table.onLoad("a", {1, 0, 4, 250}, fixture.now);
  fixture.table.onEventInterval("a", base::milliseconds(160), fixture.now);
  fixture.now += base::milliseconds(100);
  const jobs::EventIntervalReport told = fixture.table.eventIntervals(fixture.now).at("a");
  cr_assert_eq(told.eventIntervalMs, 160.0);
  cr_assert_eq(told.age, base::milliseconds(100));
  cr_assert_eq(told.slowdownPercent, 250U);
  cr_assert_eq(told.slowdownAge, base::milliseconds(100));
  fixture.now += base::seconds(5);
  fixture.table.onEventInterval("a", base::milliseconds(40), fixture.now);
  cr_assert_eq(fixture.table.eventIntervals(fixture.now).at("a").eventIntervalMs, 40.0,
               "what it was before says nothing now");
  fixture.table.onEventInterval("a", base::milliseconds(60), fixture.now);
  cr_assert_float_eq(fixture.table.eventIntervals(fixture.now).at("a").eventIntervalMs, 46.0, 0.01);
}

Test(instance_table, engine_that_starts_again_takes_over_the_pace_of_its_machine) {
  const std::string born = directory::Incarnation{"a", 7}.key();
  Fixture fixture({view("a"), view("b")});
  fixture.table.onEventInterval("a", base::milliseconds(140), fixture.now);
  fixture.table.change({view(born)}, {"a"});
  cr_assert_eq(fixture.table.find(born)->eventIntervalMs, 140.0);
  cr_assert_eq(fixture.table.eventIntervals(fixture.now).size(), 1U);
  cr_assert_eq(fixture.table.eventIntervals(fixture.now).at("a").eventIntervalMs, 140.0);
}

Test(instance_table, engines_at_most_so_slow_are_found) {
  Fixture fixture({view("a"), view("b"), view("c")});
  fixture.table.onEventInterval("a", base::milliseconds(140), fixture.now);
  fixture.table.onEventInterval("b", base::milliseconds(90), fixture.now);
  const forwarding::InstanceRequirements need{"s", "m", 1, true};
  cr_assert_null(fixture.table.findWithinInterval(need, "a", 60, fixture.random, fixture.now));
  cr_assert_eq(
      fixture.table.findWithinInterval(need, "a", 100, fixture.random, fixture.now)->record.id,
      "b");
  cr_assert_null(fixture.table.findWithinInterval(need, "b", 100, fixture.random, fixture.now));
}

Test(instance_table, items_of_other_gateways_count) {
  Fixture fixture({view("a"), view("b")});
  const forwarding::InstanceRequirements need{"s", "m", 1, false};
  fixture.table.onSharedLoad("a", 4, fixture.now);
  for (int draw = 0; draw < 20; ++draw) {
    const auto* idle = fixture.table.findIdle(need, {}, fixture.random, fixture.now);
    cr_assert_eq(idle->record.id, "b");
  }
}

Test(instance_table, waiting_items_find_an_instance_with_room) {
  Fixture fixture({view("full"), view("idle"), view("tried")});
  const forwarding::InstanceRequirements need{"s", "m", 1, false};
  fixture.table.onLoad("full", {4, 2, 4}, fixture.now);
  for (int draw = 0; draw < 20; ++draw) {
    const auto* idle = fixture.table.findIdle(need, {"tried"}, fixture.random, fixture.now);
    cr_assert_not_null(idle);
    cr_assert_eq(idle->record.id, "idle");
  }
  fixture.table.onEnded("idle", forwarding::AttemptOutcome::kFull, {}, fixture.now);
  cr_assert_null(fixture.table.findIdle(need, {"tried"}, fixture.random, fixture.now));
  cr_assert(fixture.table.isUsable("tried", need, fixture.now));
  cr_assert_not(fixture.table.isUsable("idle", need, fixture.now));
}

Test(attempt_policy, once_only_requests_are_repeated_only_when_not_run) {
  const base::TimePoint start{};
  forwarding::RetryPolicy policy(route(directory::RouteKind::kAtMostOnce), start,
                                 start + base::seconds(2));
  cr_assert(policy.maySend(start));
  policy.onSend();
  cr_assert_not(policy.maySend(start));
  cr_assert_not(policy.hedgeAt(start).has_value());
  policy.onResult(AttemptResult::kNotRun);
  cr_assert(policy.maySend(start));
  policy.onSend();
  cr_assert_eq(policy.onResult(AttemptResult::kBroken), base::Verdict::kMayHaveRun);
  cr_assert_not(policy.maySend(start));
}

Test(attempt_policy, verdict_is_not_taken_back) {
  const base::TimePoint start{};
  forwarding::RetryPolicy policy(route(directory::RouteKind::kRepeatable), start,
                                 start + base::seconds(2));
  policy.onSend();
  policy.onResult(AttemptResult::kBroken);
  policy.onSend();
  cr_assert_eq(policy.onResult(AttemptResult::kNotRun), base::Verdict::kMayHaveRun);
}

Test(attempt_policy, sends_are_bounded_by_attempts_and_time) {
  const base::TimePoint start{};
  forwarding::RetryPolicy policy(route(directory::RouteKind::kRepeatable), start,
                                 start + base::seconds(2));
  cr_assert_eq(policy.deadline().time_since_epoch().count(),
               base::Duration(base::seconds(1)).count(), "the route's is earlier");
  cr_assert_not(policy.maySend(start + base::seconds(1)));
  policy.onSend();
  cr_assert(policy.hedgeAt(start).has_value());
  cr_assert(policy.maySend(start));
  policy.onSend();
  cr_assert_not(policy.maySend(start));
  cr_assert_not(policy.hedgeAt(start).has_value());
}

// What ran at an engine that has started again is over, and so is what was held against it.
Test(instance_table, instance_that_started_again_is_another_one) {
  forwarding::InstanceTable table({"z"});
  const std::string first = directory::Incarnation{"e", 1000}.key();
  const std::string second = directory::Incarnation{"e", 2000}.key();
  const auto view = [](const std::string& id) {
    directory::InstanceView made;
    made.record = {id, "s", "10.0.0.9", 1, "z", 4, false};
    return made;
  };
  table.update({view(first)});
  table.onSent(first);
  table.onEnded(first, forwarding::AttemptOutcome::kFailed, {}, base::TimePoint{});
  table.onSent(first);
  cr_assert_not(table.hasRestarted(first));
  table.change({view(second)}, {first});
  cr_assert(table.hasRestarted(first));
  cr_assert_not(table.hasRestarted(second));
  cr_assert_eq(table.find(second)->failures, 0U);
  cr_assert_eq(table.find(second)->inFlight, 0U);
  cr_assert(table.isUsable(second, {"s", "", 0, false}, base::TimePoint{}));
  cr_assert_not(table.isUsable(first, {"s", "", 0, false}, base::TimePoint{}));
}

Test(instance_table, instance_whose_machine_is_used_by_others_gets_less_for_that_moment) {
  Fixture fixture({view("a"), view("b")});
  fixture.table.onLoad("a", {1, 0, 4, 400}, fixture.now);
  fixture.table.onLoad("b", {1, 0, 4, 100}, fixture.now);
  int atSlow = 0;
  constexpr int kDrawn = 400;
  for (int i = 0; i < kDrawn; ++i) {
    atSlow +=
        fixture.table.select(kNeed, {}, fixture.random, fixture.now)->record.id == "a" ? 1 : 0;
  }
  cr_assert_lt(atSlow, kDrawn / 3, "only where both draws give it");
  fixture.now += base::milliseconds(300);
  atSlow = 0;
  for (int i = 0; i < kDrawn; ++i) {
    atSlow +=
        fixture.table.select(kNeed, {}, fixture.random, fixture.now)->record.id == "a" ? 1 : 0;
  }
  cr_assert_gt(atSlow, kDrawn / 3, "what was told is no longer so");
}
