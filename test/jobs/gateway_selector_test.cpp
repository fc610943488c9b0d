/// Selection of active gateways.
#include "jobs/gateway_selector.h"

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

void recordRequests(jobs::GatewaySelector& gatewaySelector, std::uint32_t count,
                    base::TimePoint now) {
  for (std::uint32_t i = 1; i <= count; ++i) {
    gatewaySelector.recordRequest(gateway(i), "a", true, now);
  }
}

std::uint32_t activeAmong(jobs::GatewaySelector& gatewaySelector, std::uint32_t count,
                          base::TimePoint now) {
  std::uint32_t active = 0;
  for (std::uint32_t i = 1; i <= count; ++i) {
    active += gatewaySelector.isActive(gateway(i), "a", now) ? 1 : 0;
  }
  return active;
}

/// One zone with slots for three gateways, and one spare gateway.
jobs::GatewaySelector makeFourGateways() {
  jobs::GatewaySelectorSettings settings;
  settings.slotsPerGateway = 10;
  settings.spareGateways = 1;
  jobs::GatewaySelector gatewaySelector(settings);
  gatewaySelector.setSlots({{"a", 30}});
  return gatewaySelector;
}

}  // namespace

Test(gateway_selector, as_many_as_the_engines_need_and_a_spare) {
  jobs::GatewaySelector gatewaySelector = makeFourGateways();
  recordRequests(gatewaySelector, 10, kNow);
  cr_assert_eq(activeAmong(gatewaySelector, 10, kNow), 4U);
  cr_assert_eq(gatewaySelector.activeCount(kNow), 4U);
  gatewaySelector.setSlots({{"a", 5}});
  cr_assert_eq(activeAmong(gatewaySelector, 10, kNow), 4U, "loading engines still count");
}

Test(gateway_selector, few_gateways_all_run_items) {
  jobs::GatewaySelector gatewaySelector = makeFourGateways();
  recordRequests(gatewaySelector, 3, kNow);
  cr_assert_eq(activeAmong(gatewaySelector, 3, kNow), 3U);
  cr_assert_eq(gatewaySelector.activeCount(kNow), 3U);
  cr_assert(gatewaySelector.isActive(gateway(9), "elsewhere", kNow), "its zone is unknown");
}

Test(gateway_selector, standby_gateways_replace_lost_or_unresponsive_ones) {
  jobs::GatewaySelector gatewaySelector = makeFourGateways();
  recordRequests(gatewaySelector, 10, kNow);
  cr_assert_not(gatewaySelector.isActive(gateway(5), "a", kNow));
  gatewaySelector.recordRequest(gateway(1), "a", false, kNow);
  cr_assert(gatewaySelector.isActive(gateway(5), "a", kNow));
  gatewaySelector.remove(2);
  cr_assert(gatewaySelector.isActive(gateway(6), "a", kNow));
  // The timeout of active gateways is shorter than that of standby gateways.
  const base::TimePoint later = kNow + base::milliseconds(700);
  gatewaySelector.recordRequest(gateway(4), "a", true, later);
  cr_assert(gatewaySelector.isActive(gateway(7), "a", later), "3 is unresponsive");
  cr_assert_not(gatewaySelector.isActive(gateway(9), "a", later));
}

namespace {

jobs::GatewayCapacity cores(double count) {
  jobs::GatewayCapacity capacity;
  capacity.cpuCores = count;
  return capacity;
}

/// One zone with the slots of a typical deployment.
jobs::GatewaySelector makeMixedZone() {
  jobs::GatewaySelector gatewaySelector;
  gatewaySelector.setSlots({{"a", 88}});
  return gatewaySelector;
}

/// Lets the gateways 1 to `count` send requests every 100 ms; `capacityOf` returns the capacity of
/// a gateway by number.
void callFor(jobs::GatewaySelector& gatewaySelector, std::uint32_t count, base::Duration time,
             base::TimePoint& now,
             const std::function<jobs::GatewayCapacity(std::uint32_t)>& capacityOf) {
  for (const base::TimePoint until = now + time; now < until; now += base::milliseconds(100)) {
    for (std::uint32_t i = 1; i <= count; ++i) {
      gatewaySelector.recordRequest(gateway(i), "a", true, now, capacityOf(i));
    }
  }
}

std::set<std::uint32_t> numbers(std::initializer_list<std::uint32_t> expected) { return expected; }

std::set<std::uint32_t> active(jobs::GatewaySelector& gatewaySelector, std::uint32_t count,
                               base::TimePoint now) {
  std::set<std::uint32_t> found;
  for (std::uint32_t i = 1; i <= count; ++i) {
    if (gatewaySelector.isActive(gateway(i), "a", now)) {
      found.insert(i);
    }
  }
  return found;
}

}  // namespace

Test(gateway_selector, equal_gateways_are_chosen_as_if_their_size_were_unknown) {
  const std::set<std::uint32_t> lowest{1, 2, 3, 4, 5, 6};
  for (const double size : {0.0, 0.05, 0.12, 4.0}) {
    jobs::GatewaySelector gatewaySelector = makeMixedZone();
    base::TimePoint now = kNow;
    callFor(gatewaySelector, 20, base::milliseconds(200), now,
            [&](std::uint32_t) { return cores(size); });
    cr_assert(active(gatewaySelector, 20, now) == lowest, "%f", size);
    cr_assert_not(gatewaySelector.maxItems(gateway(1), "a", now).has_value());
  }
}

Test(gateway_selector, few_large_gateways_are_selected_before_many_small_ones) {
  jobs::GatewaySelector gatewaySelector = makeMixedZone();
  base::TimePoint now = kNow;
  const auto size = [](std::uint32_t i) { return cores(i > 15 ? 0.3 : 0.09); };
  callFor(gatewaySelector, 20, base::milliseconds(200), now, size);
  cr_assert(active(gatewaySelector, 20, now) == numbers({16, 17, 18, 19}));
  cr_assert_eq(gatewaySelector.activeCount(now), 4U);
  // Without the large gateways more small ones are needed.
  const std::uint32_t maxItemsOfLarge = *gatewaySelector.maxItems(gateway(16), "a", now);
  for (std::uint32_t i = 16; i <= 20; ++i) {
    gatewaySelector.remove(i);
  }
  gatewaySelector.recordRequest(gateway(20), "a", true, now, cores(0.3));
  cr_assert_gt(active(gatewaySelector, 20, now).size(), 5U);
  cr_assert_lt(*gatewaySelector.maxItems(gateway(1), "a", now), maxItemsOfLarge);
}

Test(gateway_selector, slow_gateway_gets_less_and_more_again_when_it_recovers) {
  jobs::GatewaySelector gatewaySelector = makeMixedZone();
  base::TimePoint now = kNow;
  bool slow = false;
  const auto size = [&](std::uint32_t i) {
    jobs::GatewayCapacity capacity = cores(0.12);
    capacity.eventLoopLag = base::milliseconds(slow && i == 2 ? 120 : 5);
    return capacity;
  };
  callFor(gatewaySelector, 10, base::seconds(1), now, size);
  cr_assert(gatewaySelector.isActive(gateway(2), "a", now));
  slow = true;
  callFor(gatewaySelector, 10, base::milliseconds(1500), now, size);
  cr_assert(active(gatewaySelector, 10, now) == numbers({1, 3, 4, 5, 6, 7}));
  for (const jobs::GatewaySummary& summary : gatewaySelector.summaries()) {
    const bool second = summary.gateway == gateway(2);
    cr_assert_eq(summary.slowSince.has_value(), second);
    cr_assert_eq(summary.slots, second ? 6U : 24U);
    cr_assert_eq(summary.zone, "a");
  }
  slow = false;
  callFor(gatewaySelector, 10, base::seconds(4), now, size);
  cr_assert(active(gatewaySelector, 10, now) == numbers({1, 2, 3, 4, 5, 6}));
}

Test(gateway_selector, slow_gateway_stays_active_if_all_are_needed) {
  jobs::GatewaySelector gatewaySelector = makeMixedZone();
  base::TimePoint now = kNow;
  const auto size = [](std::uint32_t i) {
    jobs::GatewayCapacity capacity = cores(0.12);
    capacity.eventLoopLag = base::milliseconds(i == 2 ? 120 : 5);
    return capacity;
  };
  callFor(gatewaySelector, 3, base::seconds(3), now, size);
  cr_assert(active(gatewaySelector, 3, now) == numbers({1, 2, 3}));
  cr_assert_not(gatewaySelector.maxItems(gateway(2), "a", now).has_value(),
                "all gateways are needed");
}

Test(gateway_selector, gateway_whose_calls_come_late_is_slow) {
  jobs::GatewaySelector gatewaySelector = makeMixedZone();
  base::TimePoint now = kNow;
  for (int round = 0; round < 40; ++round) {
    now += base::milliseconds(100);
    for (std::uint32_t i = 1; i <= 10; ++i) {
      if (i != 2 || round % 5 == 0) {
        gatewaySelector.recordRequest(gateway(i), "a", true, now, cores(0.12));
      }
    }
  }
  cr_assert_not(gatewaySelector.isActive(gateway(2), "a", now));
}

// A new leader has no capacities until the gateways have reported them.
Test(gateway_selector, new_leader_selects_by_id_until_capacities_arrive) {
  jobs::GatewaySelector gatewaySelector = makeMixedZone();
  base::TimePoint now = kNow;
  const auto size = [](std::uint32_t i) { return cores(i > 15 ? 0.3 : 0.09); };
  callFor(gatewaySelector, 20, base::milliseconds(200), now, size);
  gatewaySelector.clear();
  gatewaySelector.setSlots({{"a", 88}});
  cr_assert_eq(active(gatewaySelector, 20, now).size(), 20U, "no state yet");
  callFor(gatewaySelector, 20, base::milliseconds(200), now,
          {[](std::uint32_t) { return cores(0); }});
  cr_assert(active(gatewaySelector, 20, now) == numbers({1, 2, 3, 4, 5, 6}));
  callFor(gatewaySelector, 20, base::milliseconds(200), now, size);
  cr_assert(active(gatewaySelector, 20, now) == numbers({16, 17, 18, 19}));
}

Test(gateway_selector, implausible_capacity_counts_as_unknown) {
  jobs::GatewaySelector gatewaySelector = makeMixedZone();
  base::TimePoint now = kNow;
  const auto size = [](std::uint32_t i) { return cores(i == 9 ? -7 : 0); };
  callFor(gatewaySelector, 10, base::milliseconds(200), now, size);
  cr_assert(active(gatewaySelector, 10, now) == numbers({1, 2, 3, 4, 5, 6}));
}

// Guards against request times that grow with the number of gateways.
Test(gateway_selector, calls_cost_the_same_with_a_thousand_gateways) {
  jobs::GatewaySelector gatewaySelector = makeFourGateways();
  constexpr std::uint32_t kGateways = 1000;
  constexpr int kRounds = 100;
  base::TimePoint now = kNow;
  const std::clock_t startedAt = std::clock();
  for (int round = 0; round < kRounds; ++round) {
    for (std::uint32_t i = 1; i <= kGateways; ++i) {
      now += base::microseconds(500);
      gatewaySelector.recordRequest(gateway(i), "a", true, now);
      cr_assert_eq(gatewaySelector.isActive(gateway(i), "a", now), i <= 4);
      cr_assert_eq(gatewaySelector.activeCount(now), round == 0 ? std::min(i, 4U) : 4U);
    }
  }
  cr_assert_lt(static_cast<double>(std::clock() - startedAt) / CLOCKS_PER_SEC, 0.5);
}
