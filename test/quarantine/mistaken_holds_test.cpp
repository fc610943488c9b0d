/// Guards against quarantining harmless requests that ran on the same instances as a poison
/// request. See docs/design/0009-quarantine.md.
#include <criterion/criterion.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "quarantine/crash_registry.h"
#include "quarantine/quarantine_policy.h"

namespace base = tackpick::base;
using tackpick::quarantine::CrashRegistry;
using tackpick::quarantine::kMaxCrashes;
using tackpick::quarantine::RequestFingerprint;

namespace {

/// Parameters of a simulated service; times in milliseconds.
struct Workload {
  int instances = 3;
  int slots = 6;
  int runTime = 25;
  double arrivalsPerSecond = 100;
  int restartTime = 3000;
  int retries = 5;              ///< maximum retries of a request whose instance crashed
  bool poisonRequest = false;   ///< one request crashes each instance halfway through its run
  double crashesPerSecond = 0;  ///< unrelated instance crashes
};

struct Outcome {
  int requests = 0;
  int falsePositives = 0;  ///< harmless requests that were held
  int crashes = 0;         ///< instance crashes
};

/// Simulates a service in steps of one millisecond.
class Service {
 public:
  Service(const Workload& workload, std::uint64_t seed) : m_workload(workload), m_random(seed) {
    m_instances.resize(static_cast<std::size_t>(workload.instances));
  }

  Outcome simulate(int milliseconds) {
    m_poisonPending = m_workload.poisonRequest;
    for (; m_now < milliseconds; ++m_now) {
      if (m_poisonPending) {
        m_poisonPending = false;
        send(kPoisonRequest, 0);
      }
      if (m_random.chance(m_workload.arrivalsPerSecond / kPerSecond)) {
        ++m_outcome.requests;
        send({0, ++m_lastRequestId}, 0);
      }
      if (m_random.chance(m_workload.crashesPerSecond / kPerSecond)) {
        crash(m_random.below(m_instances.size()));
      }
      step();
    }
    return m_outcome;
  }

 private:
  static constexpr double kPerSecond = 1000;
  static constexpr RequestFingerprint kPoisonRequest{1, 1};

  struct Run {
    RequestFingerprint request;
    int until = 0;
    int retries = 0;
  };
  struct Instance {
    int incarnation = 0;
    int downUntil = 0;
    std::vector<Run> runs;
  };

  void send(const RequestFingerprint& request, int retries) {
    std::vector<std::size_t> free;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      const auto slots = static_cast<std::size_t>(m_workload.slots);
      if (m_now >= m_instances[i].downUntil && m_instances[i].runs.size() < slots) {
        free.push_back(i);
      }
    }
    if (free.empty()) {
      m_poisonPending = m_poisonPending || request == kPoisonRequest;
      return;  // rejected; only the poison request is sent again
    }
    const int time = request == kPoisonRequest ? m_workload.runTime / 2 : m_workload.runTime;
    m_instances[free[m_random.below(free.size())]].runs.push_back({request, m_now + time, retries});
  }

  void step() {
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      std::vector<Run>& runs = m_instances[i].runs;
      for (std::size_t run = 0; run < runs.size();) {
        if (runs[run].until > m_now) {
          ++run;
        } else if (runs[run].request == kPoisonRequest) {
          crash(i);
          break;
        } else {
          runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(run));
        }
      }
    }
  }

  void crash(std::size_t index) {
    Instance& instance = m_instances[index];
    if (m_now < instance.downUntil) {
      return;
    }
    ++m_outcome.crashes;
    const std::string name = std::to_string(index) + "/" + std::to_string(instance.incarnation++);
    instance.downUntil = m_now + m_workload.restartTime;
    const std::vector<Run> runs = std::exchange(instance.runs, {});
    const base::TimePoint now{base::milliseconds(m_now)};
    for (const Run& run : runs) {
      m_registry.record({run.request, "s", name}, now);
      const bool held = m_registry.instances(run.request).size() >= kMaxCrashes;
      m_outcome.falsePositives += held && run.request != kPoisonRequest ? 1 : 0;
      if (!held && (run.request == kPoisonRequest || run.retries < m_workload.retries)) {
        send(run.request, run.retries + 1);
      }
    }
  }

  const Workload m_workload;
  base::SeededRandom m_random;
  CrashRegistry m_registry;
  std::vector<Instance> m_instances;
  Outcome m_outcome;
  std::uint64_t m_lastRequestId = 0;
  bool m_poisonPending = false;
  int m_now = 0;
};

Outcome runSeeds(const Workload& workload, int milliseconds) {
  constexpr std::uint64_t kSeeds = 50;
  Outcome sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome outcome = Service(workload, seed).simulate(milliseconds);
    sum.requests += outcome.requests;
    sum.falsePositives += outcome.falsePositives;
    sum.crashes += outcome.crashes;
  }
  cr_log_info("%d requests, %d held by mistake, %d instance crashes", sum.requests,
              sum.falsePositives, sum.crashes);
  return sum;
}

constexpr int kMinute = 60'000;

}  // namespace

Test(mistaken_holds, few_beside_many_short_requests) {
  const Outcome outcome = runSeeds({.arrivalsPerSecond = 300, .poisonRequest = true}, kMinute);
  cr_assert_eq(outcome.crashes, 50 * static_cast<int>(kMaxCrashes));
  cr_assert_leq(outcome.falsePositives, 5, "%d of %d", outcome.falsePositives, outcome.requests);
}

Test(mistaken_holds, none_with_unrelated_crashes) {
  const Workload workload = {.instances = 12, .arrivalsPerSecond = 1000, .crashesPerSecond = 1};
  const Outcome outcome = runSeeds(workload, kMinute);
  cr_assert_eq(outcome.falsePositives, 0, "%d of %d", outcome.falsePositives, outcome.requests);
}

// Worst case: long-running requests occupy all slots of a few instances and share an instance with
// the poison request again after each retry.
Test(mistaken_holds, few_beside_long_texts_on_full_engines) {
  const Workload workload = {.instances = 11,
                             .slots = 12,
                             .runTime = 4000,
                             .arrivalsPerSecond = 30,
                             .retries = 100,
                             .poisonRequest = true};
  const Outcome outcome = runSeeds(workload, kMinute / 2);
  cr_assert_eq(outcome.crashes, 50 * static_cast<int>(kMaxCrashes));
  cr_assert_leq(outcome.falsePositives, 50, "%d of %d", outcome.falsePositives, outcome.requests);
}

Test(mistaken_holds, few_long_texts_with_unrelated_crashes) {
  const Workload workload = {.instances = 11,
                             .slots = 12,
                             .runTime = 4000,
                             .arrivalsPerSecond = 25,
                             .retries = 100,
                             .crashesPerSecond = 0.5};
  const Outcome outcome = runSeeds(workload, kMinute);
  cr_assert_leq(outcome.falsePositives * 100, outcome.requests, "%d of %d", outcome.falsePositives,
                outcome.requests);
}
