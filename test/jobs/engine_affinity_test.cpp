/// Preferred gateways of engines.
#include "jobs/engine_affinity.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "base/random.h"
#include "jobs/item_leases.h"

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

const base::TimePoint kNow{base::seconds(1)};

base::NodeId gateway(std::uint32_t number) { return base::makeNodeId(number, 1); }

std::vector<jobs::ActiveGateway> gateways(std::uint32_t count, std::uint32_t slots = 24) {
  std::vector<jobs::ActiveGateway> result;
  for (std::uint32_t i = 1; i <= count; ++i) {
    result.push_back({gateway(i), slots});
  }
  return result;
}

/// Returns the gateways among 1 to `count` that are eligible for items of the engine.
std::set<std::uint32_t> eligibleGateways(const jobs::EngineAffinity& affinity,
                                         const std::string& engine, std::uint32_t count,
                                         base::TimePoint now) {
  std::set<std::uint32_t> found;
  for (std::uint32_t i = 1; i <= count; ++i) {
    if (affinity.isEligible(gateway(i), engine, now)) {
      found.insert(i);
    }
  }
  return found;
}

constexpr std::uint32_t kGateways = 6;
constexpr std::uint32_t kEngines = 15;
constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kItemsPerJob = 50;
constexpr int kJobs = 20;
constexpr base::Duration kLeaseTime = base::milliseconds(1500);

/// Simulates one zone with jobs of two models, gateways that request items at a fixed interval, and
/// engine connections that close when idle.
class ZoneSimulation {
 public:
  ZoneSimulation(jobs::EngineAffinitySettings settings, std::uint64_t seed)
      : m_random(seed),
        m_leases(kLeaseTime, base::milliseconds(5), jobs::SchedulerPolicy::kAutomatic, settings) {
    std::vector<jobs::EngineInfo> engines;
    for (std::uint32_t i = 0; i < kEngines; ++i) {
      engines.push_back({"e" + std::to_string(i), kSlots, {{"m", 1}, {"n", 1}}, "a"});
    }
    m_leases.setEngines(engines);
    m_leases.reset(1, m_now, base::Duration{0});
    for (std::uint32_t i = 1; i <= kGateways; ++i) {
      m_nextCall[i] = m_now + base::milliseconds(static_cast<int>(m_random.below(80)));
    }
  }

  /// Freezes the gateway from `at` on: it neither sends requests nor finishes items.
  void freeze(std::uint32_t number, base::TimePoint at) {
    m_frozen = number;
    m_frozenAt = at;
  }

  void run() {
    constexpr base::Duration kStep = base::milliseconds(1);
    for (int tick = 0; m_finished < kJobs * kItemsPerJob && tick < 60'000; ++tick, m_now += kStep) {
      submitWhenDue();
      finishRuns();
      for (auto& [number, at] : m_nextCall) {
        if (!isFrozen(number) && m_now >= at) {
          call(number);
          at = m_now + base::milliseconds(80);
        }
      }
    }
  }

  [[nodiscard]] std::size_t gatewayEnginePairs() const { return m_pools.size(); }
  [[nodiscard]] std::uint32_t openedConnections() const { return m_openedConnections; }
  [[nodiscard]] std::uint32_t finished() const { return m_finished; }
  /// Returns the maximum time from the submission of an item to its first lease.
  [[nodiscard]] base::Duration maxWait() const { return m_maxWait; }
  /// Returns the time from the freeze until the last item of the frozen gateway was leased again.
  [[nodiscard]] base::Duration maxReleaseTime() const { return m_maxReleaseTime; }
  [[nodiscard]] base::Duration meanWait() const {
    return m_waits / std::max<std::size_t>(m_seen.size(), 1);
  }

 private:
  struct Run {
    jobs::GrantedItem item;
    base::TimePoint finishesAt{};
  };
  using Pool = std::multiset<base::TimePoint>;  ///< last use of each idle connection

  [[nodiscard]] bool isFrozen(std::uint32_t number) const {
    return number == m_frozen && m_now >= m_frozenAt;
  }

  void submitWhenDue() {
    constexpr base::Duration kInterval = base::seconds(2);
    if (m_submitted == kJobs || m_now < kNow + kInterval * m_submitted) {
      return;
    }
    jobs::JobSubmission job;
    job.id = "j" + std::to_string(m_submitted);
    job.model = m_submitted % 2 == 0 ? "m" : "n";
    for (std::uint32_t i = 0; i < kItemsPerJob; ++i) {
      job.items.push_back({job.id + "-" + std::to_string(i), "/p", {}, "body", "g", 0});
    }
    (void)m_state.apply(1, jobs::encodeCommand(jobs::SubmitJob{job}));
    m_leases.addJob(job.id, *m_state.find(job.id), m_now);
    ++m_submitted;
    m_submittedAt = m_now;
  }

  void finishRuns() {
    for (auto& [number, runs] : m_runs) {
      for (auto run = runs.begin(); run != runs.end();) {
        if (m_now < run->finishesAt || isFrozen(number)) {
          ++run;
          continue;
        }
        jobs::CommitResults results{
            {{run->item.key.job, {{run->item.key.item, jobs::ItemState::kCompleted, {}, {1}}}}}};
        (void)m_state.apply(1, jobs::encodeCommand(results));
        m_pools[{number, run->item.engine}].insert(m_now);
        ++m_finished;
        run = runs.erase(run);
      }
    }
    m_leases.refresh(m_state, m_now);
  }

  void call(std::uint32_t number) {
    std::vector<jobs::HeldItem> held;
    for (const Run& run : m_runs[number]) {
      held.push_back({run.item.key, run.item.engine});
    }
    (void)m_leases.renew(gateway(number), held, m_state, m_now);
    m_leases.onLeaseRequest(gateway(number), "a", true, m_now);
    jobs::FreeSlots freeSlots;
    for (const char* model : {"m", "n"}) {
      freeSlots.add(model, 1, kEngines * kSlots / 3);
      for (std::size_t i = 0; i < held.size(); ++i) {
        freeSlots.forceTake(model, 1);
      }
    }
    for (const jobs::GrantedItem& item :
         m_leases.lease(gateway(number), freeSlots, m_state, m_now)) {
      begin(number, item);
    }
  }

  void begin(std::uint32_t number, const jobs::GrantedItem& item) {
    constexpr base::Duration kIdleTimeout = base::seconds(2);
    Pool& pool = m_pools[{number, item.engine}];
    pool.erase(pool.begin(), pool.lower_bound(m_now - kIdleTimeout));
    if (pool.empty()) {
      ++m_openedConnections;
    } else {
      pool.erase(std::prev(pool.end()));
    }
    const base::Duration runTime =
        base::milliseconds(static_cast<int>(1500 + m_random.below(2000)));
    m_runs[number].push_back({item, m_now + runTime});
    if (m_seen.insert(item.key).second) {
      const base::Duration waited = m_now - m_submittedAt;
      m_maxWait = std::max(m_maxWait, waited);
      m_waits += waited;
    } else {
      m_maxReleaseTime = std::max(m_maxReleaseTime, m_now - m_frozenAt);
    }
  }

  base::SeededRandom m_random;
  jobs::JobState m_state;
  jobs::ItemLeases m_leases;
  base::TimePoint m_now = kNow;
  base::TimePoint m_submittedAt{};
  std::map<std::uint32_t, base::TimePoint> m_nextCall;
  std::map<std::uint32_t, std::vector<Run>> m_runs;
  std::map<std::pair<std::uint32_t, std::string>, Pool> m_pools;
  std::uint32_t m_frozen = 0;
  base::TimePoint m_frozenAt{};
  std::set<jobs::ItemKey> m_seen;
  std::uint32_t m_openedConnections = 0;
  std::uint32_t m_finished = 0;
  int m_submitted = 0;
  base::Duration m_maxWait{0};
  base::Duration m_maxReleaseTime{0};
  base::Duration m_waits{0};
};

jobs::EngineAffinitySettings withoutAffinity() {
  jobs::EngineAffinitySettings settings;
  settings.fallbackDelay = base::Duration{0};
  return settings;
}

}  // namespace

Test(engine_affinity, two_gateways_take_an_engines_items_at_once) {
  jobs::EngineAffinity affinity;
  cr_assert_eq(eligibleGateways(affinity, "e", 6, kNow).size(), 6U, "no state yet");
  affinity.setGateways("a", gateways(6));
  affinity.onPlanned("a", {{"e", 3}}, kNow);
  const auto preferred = eligibleGateways(affinity, "e", 6, kNow);
  cr_assert_eq(preferred.size(), 2U);
  cr_assert_eq(eligibleGateways(affinity, "e", 6, kNow + base::milliseconds(100)).size(), 6U,
               "neither of the two has requested items");
}

Test(engine_affinity, delay_restarts_with_each_item_that_a_preferred_gateway_leases) {
  jobs::EngineAffinity affinity;
  affinity.setGateways("a", gateways(6));
  affinity.onPlanned("a", {{"e", 3}}, kNow);
  const std::uint32_t first = *eligibleGateways(affinity, "e", 6, kNow).begin();
  const base::TimePoint later = kNow + base::milliseconds(60);
  affinity.onItemLeased(gateway(first), "e", later);
  affinity.onPlanned("a", {{"e", 2}}, later);
  cr_assert_eq(eligibleGateways(affinity, "e", 6, later + base::milliseconds(60)).size(), 2U);
  cr_assert_eq(eligibleGateways(affinity, "e", 6, later + base::milliseconds(80)).size(), 6U);
}

Test(engine_affinity, full_or_unresponsive_gateways_delay_no_item) {
  jobs::EngineAffinity affinity;
  affinity.setGateways("a", gateways(6));
  affinity.onPlanned("a", {{"e", 1}}, kNow);
  const auto preferred = eligibleGateways(affinity, "e", 6, kNow);
  affinity.onDeclined("e");
  cr_assert_eq(eligibleGateways(affinity, "e", 6, kNow).size(), 6U);
  affinity.onItemLeased(gateway(*preferred.begin()), "e", kNow);
  cr_assert(eligibleGateways(affinity, "e", 6, kNow) == preferred,
            "a preferred gateway has free slots again");
  // After another gateway has leased an item of the engine, any gateway may lease the next one.
  std::uint32_t other = 1;
  other += preferred.contains(other) ? 1 : 0;
  other += preferred.contains(other) ? 1 : 0;
  affinity.onItemLeased(gateway(other), "e", kNow);
  affinity.onPlanned("a", {{"e", 1}}, kNow);
  cr_assert_eq(eligibleGateways(affinity, "e", 6, kNow).size(), 6U);
}

Test(engine_affinity, removed_engine_is_open_to_all) {
  jobs::EngineAffinity affinity;
  affinity.setGateways("a", gateways(6));
  affinity.onPlanned("a", {{"e", 1}, {"f", 1}}, kNow);
  affinity.remove("e");
  cr_assert_eq(eligibleGateways(affinity, "e", 6, kNow).size(), 6U, "no state yet");
  cr_assert_eq(eligibleGateways(affinity, "f", 6, kNow).size(), 2U);
}

Test(engine_affinity, few_engines_change_their_gateways_when_one_goes) {
  jobs::EngineAffinity affinity;
  std::map<std::string, std::uint32_t> items;
  for (int i = 0; i < 300; ++i) {
    items["e" + std::to_string(i)] = 1;
  }
  affinity.setGateways("a", gateways(6));
  affinity.onPlanned("a", items, kNow);
  std::map<std::string, std::set<std::uint32_t>> before;
  for (const auto& [engine, count] : items) {
    before[engine] = eligibleGateways(affinity, engine, 6, kNow);
  }
  affinity.setGateways("a", gateways(5));
  affinity.onPlanned("a", items, kNow);
  for (const auto& [engine, count] : items) {
    const bool had = before[engine].contains(6);
    cr_assert(had || eligibleGateways(affinity, engine, 6, kNow) == before[engine]);
  }
}

Test(engine_affinity, larger_gateways_are_preferred_by_more_engines) {
  jobs::EngineAffinity affinity;
  std::vector<jobs::ActiveGateway> uneven = gateways(4, 12);
  uneven[0].slots = 48;
  affinity.setGateways("a", uneven);
  std::map<std::string, std::uint32_t> items;
  for (int i = 0; i < 400; ++i) {
    items["e" + std::to_string(i)] = 1;
  }
  affinity.onPlanned("a", items, kNow);
  std::map<std::uint32_t, int> engines;
  for (const auto& [engine, count] : items) {
    for (const std::uint32_t number : eligibleGateways(affinity, engine, 4, kNow)) {
      ++engines[number];
    }
  }
  cr_assert_gt(engines[1], 300);
  cr_assert_lt(engines[2], 220);
}

// Compares the simulation with and without engine affinity.
Test(engine_affinity, fewer_connections_and_no_long_wait) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    ZoneSimulation before(withoutAffinity(), seed);
    before.run();
    ZoneSimulation after({}, seed);
    after.run();
    cr_log_info(
        "pairs %zu -> %zu, connections %u -> %u, mean wait %lld -> %lld us, longest %lld -> %lld "
        "us",
        before.gatewayEnginePairs(), after.gatewayEnginePairs(), before.openedConnections(),
        after.openedConnections(), static_cast<long long>(before.meanWait().count()),
        static_cast<long long>(after.meanWait().count()),
        static_cast<long long>(before.maxWait().count()),
        static_cast<long long>(after.maxWait().count()));
    cr_assert_eq(after.finished(), 1000U);
    cr_assert_lt(after.gatewayEnginePairs(), before.gatewayEnginePairs());
    cr_assert_lt(after.openedConnections(), before.openedConnections());
  }
}

// Guards against a frozen gateway that holds up all items of its engines until it is unresponsive.
Test(engine_affinity, frozen_gateway_delays_no_item) {
  // The gateway freezes right before a submission, so that it does not yet count as unresponsive
  // when the items are planned.
  const base::TimePoint at = kNow + base::seconds(10) - base::milliseconds(5);
  for (std::uint32_t frozen = 1; frozen <= kGateways; ++frozen) {
    ZoneSimulation run({}, frozen);
    run.freeze(frozen, at);
    run.run();
    cr_log_info("gateway %u frozen: mean wait %lld us, longest %lld us", frozen,
                static_cast<long long>(run.meanWait().count()),
                static_cast<long long>(run.maxWait().count()));
    cr_assert_eq(run.finished(), 1000U);
    cr_assert_leq(run.maxWait(), base::milliseconds(160));
    // Its items run at other gateways after its leases expire, at their next requests.
    cr_assert_leq(run.maxReleaseTime(), kLeaseTime + base::milliseconds(160));
  }
}
