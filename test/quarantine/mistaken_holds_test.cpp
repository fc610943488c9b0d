/// How many sound requests are held by mistake, since they shared instances with others that ended:
/// the numbers that docs/design/0009-quarantine.md gives are those of these runs.
#include <criterion/criterion.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "quarantine/crash_tally.h"
#include "quarantine/quarantine_policy.h"

namespace base = tackpick::base;
using tackpick::quarantine::CrashTally;
using tackpick::quarantine::kMaxCrashes;
using tackpick::quarantine::RequestFingerprint;

namespace {

/// A service and what happens to it; times in milliseconds.
struct Load {
  int instances = 3;
  int slots = 6;
  int runTime = 25;
  double arrivalsPerSecond = 100;
  int restart = 3000;
  int repeats = 5;           ///< of a request whose instance ended
  bool ender = false;        ///< one request ends each instance that runs it, after half a run
  double endsPerSecond = 0;  ///< instances that end by themselves
};

struct Outcome {
  int requests = 0;
  int mistaken = 0;  ///< sound requests that were held
  int ended = 0;     ///< instances
};

/// Plays a service for some time, one step a millisecond.
class Service {
 public:
  Service(const Load& load, std::uint64_t seed) : m_load(load), m_random(seed) {
    m_instances.resize(static_cast<std::size_t>(load.instances));
  }

  Outcome play(int milliseconds) {
    m_enderWaits = m_load.ender;
    for (; m_now < milliseconds; ++m_now) {
      if (m_enderWaits) {
        m_enderWaits = false;
        send(kEnder, 0);
      }
      if (m_random.chance(m_load.arrivalsPerSecond / kPerSecond)) {
        ++m_outcome.requests;
        send({0, ++m_last}, 0);
      }
      if (m_random.chance(m_load.endsPerSecond / kPerSecond)) {
        end(m_random.below(m_instances.size()));
      }
      step();
    }
    return m_outcome;
  }

 private:
  static constexpr double kPerSecond = 1000;
  static constexpr RequestFingerprint kEnder{1, 1};

  struct Run {
    RequestFingerprint request;
    int until = 0;
    int repeats = 0;
  };
  struct Instance {
    int life = 0;
    int downUntil = 0;
    std::vector<Run> runs;
  };

  void send(const RequestFingerprint& request, int repeats) {
    std::vector<std::size_t> free;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      const auto slots = static_cast<std::size_t>(m_load.slots);
      if (m_now >= m_instances[i].downUntil && m_instances[i].runs.size() < slots) {
        free.push_back(i);
      }
    }
    if (free.empty()) {
      m_enderWaits = m_enderWaits || request == kEnder;
      return;  // turned away; only the one that ends instances comes again
    }
    const int time = request == kEnder ? m_load.runTime / 2 : m_load.runTime;
    m_instances[free[m_random.below(free.size())]].runs.push_back({request, m_now + time, repeats});
  }

  void step() {
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      std::vector<Run>& runs = m_instances[i].runs;
      for (std::size_t run = 0; run < runs.size();) {
        if (runs[run].until > m_now) {
          ++run;
        } else if (runs[run].request == kEnder) {
          end(i);
          break;
        } else {
          runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(run));
        }
      }
    }
  }

  void end(std::size_t index) {
    Instance& instance = m_instances[index];
    if (m_now < instance.downUntil) {
      return;
    }
    ++m_outcome.ended;
    const std::string name = std::to_string(index) + "/" + std::to_string(instance.life++);
    instance.downUntil = m_now + m_load.restart;
    const std::vector<Run> runs = std::exchange(instance.runs, {});
    const base::TimePoint now{base::milliseconds(m_now)};
    for (const Run& run : runs) {
      m_tally.note({run.request, "s", name}, now);
      const bool held = m_tally.instances(run.request).size() >= kMaxCrashes;
      m_outcome.mistaken += held && run.request != kEnder ? 1 : 0;
      if (!held && (run.request == kEnder || run.repeats < m_load.repeats)) {
        send(run.request, run.repeats + 1);
      }
    }
  }

  const Load m_load;
  base::SeededRandom m_random;
  CrashTally m_tally;
  std::vector<Instance> m_instances;
  Outcome m_outcome;
  std::uint64_t m_last = 0;
  bool m_enderWaits = false;
  int m_now = 0;
};

Outcome playSeeds(const Load& load, int milliseconds) {
  constexpr std::uint64_t kSeeds = 50;
  Outcome sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome one = Service(load, seed).play(milliseconds);
    sum.requests += one.requests;
    sum.mistaken += one.mistaken;
    sum.ended += one.ended;
  }
  cr_log_info("%d requests, %d held by mistake, %d instances ended", sum.requests, sum.mistaken,
              sum.ended);
  return sum;
}

constexpr int kMinute = 60'000;

}  // namespace

Test(mistaken_holds, few_beside_many_short_requests) {
  const Outcome outcome = playSeeds({.arrivalsPerSecond = 300, .ender = true}, kMinute);
  cr_assert_eq(outcome.ended, 50 * static_cast<int>(kMaxCrashes));
  cr_assert_leq(outcome.mistaken, 5, "%d of %d", outcome.mistaken, outcome.requests);
}

Test(mistaken_holds, none_where_instances_end_by_themselves) {
  const Load load = {.instances = 12, .arrivalsPerSecond = 1000, .endsPerSecond = 1};
  const Outcome outcome = playSeeds(load, kMinute);
  cr_assert_eq(outcome.mistaken, 0, "%d of %d", outcome.mistaken, outcome.requests);
}

// The worst case: every place of a few engines is taken by long texts, which meet the one that ends
// engines again wherever they go on.
Test(mistaken_holds, few_beside_long_texts_on_full_engines) {
  const Load load = {.instances = 11,
                     .slots = 12,
                     .runTime = 4000,
                     .arrivalsPerSecond = 30,
                     .repeats = 100,
                     .ender = true};
  const Outcome outcome = playSeeds(load, kMinute / 2);
  cr_assert_eq(outcome.ended, 50 * static_cast<int>(kMaxCrashes));
  cr_assert_leq(outcome.mistaken, 50, "%d of %d", outcome.mistaken, outcome.requests);
}

Test(mistaken_holds, few_long_texts_where_engines_end_by_themselves) {
  const Load load = {.instances = 11,
                     .slots = 12,
                     .runTime = 4000,
                     .arrivalsPerSecond = 25,
                     .repeats = 100,
                     .endsPerSecond = 0.5};
  const Outcome outcome = playSeeds(load, kMinute);
  cr_assert_leq(outcome.mistaken * 100, outcome.requests, "%d of %d", outcome.mistaken,
                outcome.requests);
}
