/// Which gateways run items.
#include "jobs/gateway_roster.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <ctime>
#include <functional>
#include <set>

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

const base::TimePoint kNow{base::seconds(1)};

base::NodeId gateway(std::uint32_t number) { return base::makeNodeId(number, 1); }

void askAll(jobs::GatewayRoster& roster, std::uint32_t count, base::TimePoint now) {
  for (std::uint32_t i = 1; i <= count; ++i) {
    roster.note(gateway(i), "a", true, now);
  }
}

std::uint32_t activeAmong(jobs::GatewayRoster& roster, std::uint32_t count, base::TimePoint now) {
  std::uint32_t active = 0;
  for (std::uint32_t i = 1; i <= count; ++i) {
    active += roster.isActive(gateway(i), "a", now) ? 1 : 0;
  }
  return active;
}

/// One zone with places for three gateways, and one to spare.
jobs::GatewayRoster rosterOfFour() {
  jobs::GatewayRosterSettings settings;
  settings.slotsPerGateway = 10;
  settings.spareGateways = 1;
  jobs::GatewayRoster roster(settings);
  roster.setSlots({{"a", 30}});
  return roster;
}

}  // namespace

Test(gateway_roster, as_many_as_the_engines_need_and_a_spare) {
  jobs::GatewayRoster roster = rosterOfFour();
  askAll(roster, 10, kNow);
  cr_assert_eq(activeAmong(roster, 10, kNow), 4U);
  cr_assert_eq(roster.activeCount(kNow), 4U);
  roster.setSlots({{"a", 5}});
  cr_assert_eq(activeAmong(roster, 10, kNow), 4U, "engines that load count still");
}

Test(gateway_roster, few_gateways_all_run_items) {
  jobs::GatewayRoster roster = rosterOfFour();
  askAll(roster, 3, kNow);
  cr_assert_eq(activeAmong(roster, 3, kNow), 3U);
  cr_assert_eq(roster.activeCount(kNow), 3U);
  cr_assert(roster.isActive(gateway(9), "elsewhere", kNow), "nothing is known of its zone");
}

Test(gateway_roster, others_step_in_for_those_that_leave_or_fall_silent) {
  jobs::GatewayRoster roster = rosterOfFour();
  askAll(roster, 10, kNow);
  cr_assert_not(roster.isActive(gateway(5), "a", kNow));
  roster.note(gateway(1), "a", false, kNow);
  cr_assert(roster.isActive(gateway(5), "a", kNow));
  roster.forget(2);
  cr_assert(roster.isActive(gateway(6), "a", kNow));
  // Those that run items ask often; those that stand by may be silent for longer.
  const base::TimePoint later = kNow + base::milliseconds(700);
  roster.note(gateway(4), "a", true, later);
  cr_assert(roster.isActive(gateway(7), "a", later), "3 is silent");
  cr_assert_not(roster.isActive(gateway(9), "a", later));
}

namespace {

jobs::GatewayCapacity cores(double count) {
  jobs::GatewayCapacity capacity;
  capacity.processorCores = count;
  return capacity;
}

/// Places for the engines of one zone of a real size.
jobs::GatewayRoster rosterOfZone() {
  jobs::GatewayRoster roster;
  roster.setSlots({{"a", 88}});
  return roster;
}

/// The gateways 1 to `count` call each 100 ms; `capacity` is that of a number.
void callFor(jobs::GatewayRoster& roster, std::uint32_t count, base::Duration time,
             base::TimePoint& now, const std::function<jobs::GatewayCapacity(std::uint32_t)>& of) {
  for (const base::TimePoint until = now + time; now < until; now += base::milliseconds(100)) {
    for (std::uint32_t i = 1; i <= count; ++i) {
      roster.note(gateway(i), "a", true, now, of(i));
    }
  }
}

std::set<std::uint32_t> numbers(std::initializer_list<std::uint32_t> list) { return list; }

std::set<std::uint32_t> active(jobs::GatewayRoster& roster, std::uint32_t count,
                               base::TimePoint now) {
  std::set<std::uint32_t> found;
  for (std::uint32_t i = 1; i <= count; ++i) {
    if (roster.isActive(gateway(i), "a", now)) {
      found.insert(i);
    }
  }
  return found;
}

}  // namespace

Test(gateway_roster, equal_gateways_are_chosen_as_if_their_size_were_unknown) {
  const std::set<std::uint32_t> lowest{1, 2, 3, 4, 5, 6};
  for (const double size : {0.0, 0.05, 0.12, 4.0}) {
    jobs::GatewayRoster roster = rosterOfZone();
    base::TimePoint now = kNow;
    callFor(roster, 20, base::milliseconds(200), now, [&](std::uint32_t) { return cores(size); });
    cr_assert(active(roster, 20, now) == lowest, "%f", size);
    cr_assert_not(roster.mostItems(gateway(1), "a", now).has_value());
  }
}

Test(gateway_roster, few_and_able_gateways_go_before_many_small_ones) {
  jobs::GatewayRoster roster = rosterOfZone();
  base::TimePoint now = kNow;
  const auto size = [](std::uint32_t i) { return cores(i > 15 ? 0.3 : 0.09); };
  callFor(roster, 20, base::milliseconds(200), now, size);
  cr_assert(active(roster, 20, now) == numbers({16, 17, 18, 19}));
  cr_assert_eq(roster.activeCount(now), 4U);
  // Without the able ones more of the small ones are needed.
  const std::uint32_t able = *roster.mostItems(gateway(16), "a", now);
  for (std::uint32_t i = 16; i <= 20; ++i) {
    roster.forget(i);
  }
  roster.note(gateway(20), "a", true, now, cores(0.3));
  cr_assert_gt(active(roster, 20, now).size(), 5U);
  cr_assert_lt(*roster.mostItems(gateway(1), "a", now), able);
}

Test(gateway_roster, slow_gateway_gets_less_and_more_again_when_it_recovers) {
  jobs::GatewayRoster roster = rosterOfZone();
  base::TimePoint now = kNow;
  bool slow = false;
  const auto size = [&](std::uint32_t i) {
    jobs::GatewayCapacity capacity = cores(0.12);
    capacity.tickLateness = base::milliseconds(slow && i == 2 ? 120 : 5);
    return capacity;
  };
  callFor(roster, 10, base::seconds(1), now, size);
  cr_assert(roster.isActive(gateway(2), "a", now));
  slow = true;
  callFor(roster, 10, base::milliseconds(1500), now, size);
  cr_assert(active(roster, 10, now) == numbers({1, 3, 4, 5, 6, 7}));
  for (const jobs::GatewaySummary& sight : roster.sight()) {
    const bool second = sight.gateway == gateway(2);
    cr_assert_eq(sight.slowSince.has_value(), second);
    cr_assert_eq(sight.places, second ? 6U : 24U);
    cr_assert_eq(sight.zone, "a");
  }
  slow = false;
  callFor(roster, 10, base::seconds(4), now, size);
  cr_assert(active(roster, 10, now) == numbers({1, 2, 3, 4, 5, 6}));
}

Test(gateway_roster, slow_gateway_goes_on_where_no_other_is) {
  jobs::GatewayRoster roster = rosterOfZone();
  base::TimePoint now = kNow;
  const auto size = [](std::uint32_t i) {
    jobs::GatewayCapacity capacity = cores(0.12);
    capacity.tickLateness = base::milliseconds(i == 2 ? 120 : 5);
    return capacity;
  };
  callFor(roster, 3, base::seconds(3), now, size);
  cr_assert(active(roster, 3, now) == numbers({1, 2, 3}));
  cr_assert_not(roster.mostItems(gateway(2), "a", now).has_value(), "all are needed");
}

Test(gateway_roster, gateway_whose_calls_come_late_is_slow) {
  jobs::GatewayRoster roster = rosterOfZone();
  base::TimePoint now = kNow;
  for (int round = 0; round < 40; ++round) {
    now += base::milliseconds(100);
    for (std::uint32_t i = 1; i <= 10; ++i) {
      if (i != 2 || round % 5 == 0) {
        roster.note(gateway(i), "a", true, now, cores(0.12));
      }
    }
  }
  cr_assert_not(roster.isActive(gateway(2), "a", now));
}

// A new leader knows no capacities, and gateways tell theirs one after the other.
Test(gateway_roster, new_leader_chooses_by_number_until_it_is_told) {
  jobs::GatewayRoster roster = rosterOfZone();
  base::TimePoint now = kNow;
  const auto size = [](std::uint32_t i) { return cores(i > 15 ? 0.3 : 0.09); };
  callFor(roster, 20, base::milliseconds(200), now, size);
  roster.clear();
  roster.setSlots({{"a", 88}});
  cr_assert_eq(active(roster, 20, now).size(), 20U, "nothing is known");
  callFor(roster, 20, base::milliseconds(200), now, {[](std::uint32_t) { return cores(0); }});
  cr_assert(active(roster, 20, now) == numbers({1, 2, 3, 4, 5, 6}));
  callFor(roster, 20, base::milliseconds(200), now, size);
  cr_assert(active(roster, 20, now) == numbers({16, 17, 18, 19}));
}

Test(gateway_roster, nonsense_counts_as_an_unknown_size) {
  jobs::GatewayRoster roster = rosterOfZone();
  base::TimePoint now = kNow;
  const auto size = [](std::uint32_t i) { return cores(i == 9 ? -7 : 0); };
  callFor(roster, 10, base::milliseconds(200), now, size);
  cr_assert(active(roster, 10, now) == numbers({1, 2, 3, 4, 5, 6}));
}

// Counting all gateways at each call would grow with their square.
Test(gateway_roster, calls_cost_the_same_with_a_thousand_gateways) {
  jobs::GatewayRoster roster = rosterOfFour();
  constexpr std::uint32_t kGateways = 1000;
  constexpr int kRounds = 100;
  base::TimePoint now = kNow;
  const std::clock_t begun = std::clock();
  for (int round = 0; round < kRounds; ++round) {
    for (std::uint32_t i = 1; i <= kGateways; ++i) {
      now += base::microseconds(500);
      roster.note(gateway(i), "a", true, now);
      cr_assert_eq(roster.isActive(gateway(i), "a", now), i <= 4);
      cr_assert_eq(roster.activeCount(now), round == 0 ? std::min(i, 4U) : 4U);
    }
  }
  cr_assert_lt(static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC, 0.5);
}
