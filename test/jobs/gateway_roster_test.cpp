/// Which gateways run items.
#include "jobs/gateway_roster.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <ctime>

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
  settings.placesPerGateway = 10;
  settings.spareGateways = 1;
  jobs::GatewayRoster roster(settings);
  roster.setPlaces({{"a", 30}});
  return roster;
}

}  // namespace

Test(gateway_roster, as_many_as_the_engines_need_and_a_spare) {
  jobs::GatewayRoster roster = rosterOfFour();
  askAll(roster, 10, kNow);
  cr_assert_eq(activeAmong(roster, 10, kNow), 4U);
  cr_assert_eq(roster.activeCount(kNow), 4U);
  roster.setPlaces({{"a", 5}});
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

// A thousand gateways ask a thousand times a second. Before, each call counted all of them.
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
