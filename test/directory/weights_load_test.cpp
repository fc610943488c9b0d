/// Simulation of trainers that share engines, with load commands from LoadScheduler.
#include <criterion/criterion.h>
#include <criterion/logging.h>

#include <algorithm>

#include "base/random.h"
#include "directory/directory_state.h"
#include "directory/load_scheduler.h"

namespace base = tackpick::base;
namespace directory = tackpick::directory;
namespace jobs = tackpick::jobs;

namespace {

constexpr base::Duration kTick = base::milliseconds(50);
constexpr base::Duration kInterval = base::seconds(4);
constexpr base::Duration kResultDeadline = base::milliseconds(7500);
constexpr base::Duration kDeadline = base::seconds(12);
constexpr base::Duration kTrainingTime = base::milliseconds(500);
constexpr double kLoadSeconds = 0.9;
/// Number of initial steps that are excluded from the statistics.
constexpr std::uint64_t kWarmupSteps = 4;

/// A trainer and the items of its steps.
struct Trainer {
  std::string model;
  std::uint32_t items = 0;  ///< per step
  base::Duration meanItemTime{0};
  base::Duration maxItemTime{0};
  bool isSometimesLate = false;
  base::Duration phase{0};  ///< offset of its steps from those of the other trainers
};

struct Step {
  std::uint64_t number = 0;
  base::TimePoint submittedAt{};
  std::uint32_t waiting = 0;
  std::vector<base::TimePoint> ends;  ///< end times of started items
  std::vector<base::Duration> waits;
  std::optional<base::TimePoint> doneAt;

  [[nodiscard]] std::uint64_t minimumVersion() const {
    return std::max<std::uint64_t>(number, 2) - 1;
  }
};

struct Engine {
  std::map<std::string, std::uint64_t> versions;
  std::vector<base::TimePoint> ends;  ///< end times of running items
  std::optional<directory::LoadCommand> command;
  double loaded = 0;  ///< completed part of the load, in seconds at full speed
};

/// Waiting times of items for slots, in seconds.
struct WaitStatistics {
  double meanMedian = 0;  ///< mean of the steps' medians
  double meanP90 = 0;     ///< mean of the steps' 90th percentiles
  /// Maximum median of steps whose version was published at least three load times earlier.
  double maxMedian = 0;
  /// Maximum median of the other steps, measured from the publication of their version.
  double maxBurstWait = 0;
  int slowSteps = 0;
  int steps = 0;
  int loads = 0;
};

double seconds(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

class Fleet {
 public:
  Fleet(int engines, std::vector<Trainer> trainers, directory::LoadOrder order, std::uint64_t seed)
      : m_trainers(std::move(trainers)), m_random(seed), m_scheduler(settingsFor(order)) {
    directory::Configuration configuration;
    configuration.version = 1;
    configuration.services = {{"s", "/health", 10, 4, {}}};
    for (const Trainer& trainer : m_trainers) {
      configuration.services[0].models.push_back(trainer.model);
      m_publishedAt[trainer.model] = {{1, m_now}, {2, m_now + trainer.phase + kInterval}};
    }
    apply(directory::ReplaceConfiguration{configuration});
    m_storeLoads = std::max(2.0, engines * 0.2);
    for (int i = 0; i < engines; ++i) {
      const std::string id = "e" + std::to_string(i);
      apply(directory::RegisterInstance{
          {id, "s", "10.0.0.1", static_cast<std::uint16_t>(i + 1), "z", kSlots, false}});
      for (const Trainer& trainer : m_trainers) {
        m_engines[id].versions[trainer.model] = 1;
      }
      m_reports[id] = {m_now, m_engines[id].versions};
    }
    m_scheduler.reset({});
  }

  WaitStatistics run(base::Duration time) {
    for (const base::TimePoint end = m_now + time; m_now < end; m_now += kTick) {
      for (const Trainer& trainer : m_trainers) {
        train(trainer);
      }
      load();
      place();
      reportOpenJobs();
      runScheduler();
    }
    return waits();
  }

 private:
  static constexpr std::uint32_t kSlots = 8;

  static directory::LoadSchedulerSettings settingsFor(directory::LoadOrder order) {
    directory::LoadSchedulerSettings settings;
    settings.loadOrder = order;
    return settings;
  }

  void apply(const directory::DirectoryCommand& command) {
    (void)m_state.apply(1, base::encode(command));
  }

  /// Publishes versions, completes steps and submits the next.
  void train(const Trainer& trainer) {
    auto& steps = m_steps[trainer.model];
    auto& publishedAt = m_publishedAt[trainer.model];
    for (Step& step : steps) {
      if (!step.doneAt && isComplete(step, trainer)) {
        step.doneAt = m_now;
        // One step in eight is late by two to four seconds.
        const bool late = trainer.isSometimesLate && m_random.below(8) == 0;
        const base::Duration delay =
            late ? base::milliseconds(2000 + static_cast<int>(m_random.below(2000)))
                 : base::Duration{0};
        base::TimePoint& at = publishedAt[step.number + 2];
        at = std::max(m_now + kTrainingTime + delay, publishedAt[step.number + 1]);
      }
    }
    for (const auto& [version, at] : publishedAt) {
      if (at <= m_now) {
        apply(directory::PublishVersion{trainer.model, version});
      }
    }
    const std::uint64_t next = steps.size() + 1;
    const auto version = publishedAt.find(next);
    if (version != publishedAt.end() && version->second <= m_now &&
        m_now >= base::TimePoint{} + trainer.phase + kInterval * static_cast<int>(next)) {
      steps.push_back({next, m_now, trainer.items, {}, {}, {}});
    }
  }

  std::uint32_t endedItems(const Step& step) const {
    return static_cast<std::uint32_t>(std::count_if(
        step.ends.begin(), step.ends.end(), [&](base::TimePoint end) { return end <= m_now; }));
  }

  /// A trainer waits for nearly all items of a step.
  bool isComplete(const Step& step, const Trainer& trainer) const {
    return endedItems(step) * 100 >= trainer.items * 95 || m_now - step.submittedAt >= kDeadline;
  }

  void load() {
    double loading = 0;
    for (const auto& [id, engine] : m_engines) {
      loading += engine.command ? 1 : 0;
    }
    for (auto& [id, engine] : m_engines) {
      std::erase_if(engine.ends, [&](base::TimePoint end) { return end <= m_now; });
      if (!engine.command) {
        continue;
      }
      engine.loaded += seconds(kTick) * std::min(1.0, m_storeLoads / loading);
      if (engine.loaded >= kLoadSeconds) {
        engine.versions[engine.command->model] = engine.command->version;
        engine.command.reset();
      }
    }
  }

  /// Starts items on engines known to hold the required version, oldest step first.
  void place() {
    for (const Trainer& trainer : m_trainers) {
      for (Step& step : m_steps[trainer.model]) {
        while (step.waiting > 0 && !step.doneAt) {
          Engine* engine = engineFor(trainer.model, step.minimumVersion());
          if (engine == nullptr) {
            break;
          }
          const auto itemTime = std::chrono::duration_cast<base::Duration>(trainer.meanItemTime *
                                                                           m_random.exponential(1));
          const base::TimePoint end = m_now + std::min(itemTime, trainer.maxItemTime);
          engine->ends.push_back(end);
          step.ends.push_back(end);
          step.waits.push_back(m_now - step.submittedAt);
          --step.waiting;
        }
      }
    }
  }

  Engine* engineFor(const std::string& model, std::uint64_t version) {
    Engine* best = nullptr;
    for (auto& [id, engine] : m_engines) {
      const bool fits = directory::reportedVersion(m_reports, id, model) >= version &&
                        !m_scheduler.isLoading(id, m_reports, m_now) && engine.ends.size() < kSlots;
      if (fits && (best == nullptr || engine.ends.size() < best->ends.size())) {
        best = &engine;
      }
    }
    return best;
  }

  const Trainer& trainer(const std::string& model) const {
    return *std::find_if(m_trainers.begin(), m_trainers.end(),
                         [&](const Trainer& each) { return each.model == model; });
  }

  void reportOpenJobs() {
    jobs::OpenJobsByModel openJobs;
    for (const auto& [model, steps] : m_steps) {
      for (const Step& step : steps) {
        const std::uint32_t items = trainer(model).items - endedItems(step);
        const base::Duration age = m_now - step.submittedAt;
        if (!step.doneAt) {
          openJobs[model].push_back({model + std::to_string(step.number), step.minimumVersion(),
                                     items, step.waiting, age, kResultDeadline - age});
        }
      }
    }
    m_scheduler.setOpenJobs(openJobs, m_now);
  }

  void runScheduler() {
    std::map<std::string, double> demand;
    for (const Trainer& trainer : m_trainers) {
      demand[trainer.model] = trainer.items * seconds(trainer.meanItemTime) * 100;
    }
    for (const std::string& id : m_scheduler.duePolls(m_reports, m_now)) {
      m_reports[id].versions = m_engines[id].versions;
    }
    for (auto& [id, report] : m_reports) {
      report.lastSeenAt = m_now;
    }
    for (const auto& command : m_scheduler.step(m_state, m_reports, demand, 3, m_now)) {
      Engine& engine = m_engines[command.instance];
      engine.command = command;
      engine.loaded = 0;
      ++m_loads;
    }
  }

  WaitStatistics waits() {
    WaitStatistics all;
    all.loads = m_loads;
    for (auto& [model, steps] : m_steps) {
      for (Step& step : steps) {
        if (step.number <= kWarmupSteps || !step.doneAt) {
          continue;
        }
        std::sort(step.waits.begin(), step.waits.end());
        const double median = seconds(step.waits[step.waits.size() / 2]);
        const double lead = seconds(step.submittedAt - m_publishedAt[model][step.minimumVersion()]);
        double& worst = lead >= 3 * kLoadSeconds ? all.maxMedian : all.maxBurstWait;
        worst = std::max(worst, lead >= 3 * kLoadSeconds ? median : median + lead);
        all.meanMedian += median;
        all.meanP90 += seconds(step.waits[step.waits.size() * 9 / 10]);
        all.slowSteps += median > 0.6 ? 1 : 0;
        ++all.steps;
      }
    }
    all.meanMedian /= all.steps;
    all.meanP90 /= all.steps;
    return all;
  }

  const std::vector<Trainer> m_trainers;
  base::SeededRandom m_random;
  base::TimePoint m_now{};
  directory::DirectoryState m_state;
  directory::LoadScheduler m_scheduler;
  directory::ReportedEngines m_reports;
  std::map<std::string, Engine> m_engines;
  std::map<std::string, std::vector<Step>> m_steps;
  std::map<std::string, std::map<std::uint64_t, base::TimePoint>>
      m_publishedAt;        ///< publication times by model and version
  double m_storeLoads = 0;  ///< number of loads that the store serves at full speed
  int m_loads = 0;
};

Trainer trainer(const std::string& model, std::uint32_t items, int meanMs, int maxMs,
                bool isSometimesLate = false) {
  return {model,
          items,
          base::milliseconds(meanMs),
          base::milliseconds(maxMs),
          isSometimesLate,
          base::Duration{0}};
}

WaitStatistics simulate(int engines, const std::vector<Trainer>& trainers,
                        directory::LoadOrder order, std::uint64_t seed) {
  const WaitStatistics waits = Fleet(engines, trainers, order, seed).run(base::seconds(120));
  cr_log_info(
      "%d engines, %zu trainers, %s, seed %d: median %.2f (maximum %.2f, bursts %.2f), "
      "90th percentile %.2f, %d of %d steps over 0.6 s, %d loads",
      engines, trainers.size(),
      order == directory::LoadOrder::kByDemand ? "by demand" : "oldest first",
      static_cast<int>(seed), waits.meanMedian, waits.maxMedian, waits.maxBurstWait, waits.meanP90,
      waits.slowSteps, waits.steps, waits.loads);
  return waits;
}

/// Four trainers that require all of 45 engines; steps are submitted simultaneously or with random
/// phases.
std::vector<Trainer> fourTrainers(std::uint64_t seed, bool randomPhases) {
  std::vector<Trainer> trainers = {
      trainer("a", 128, 950, 3800, true), trainer("b", 144, 1800, 7100, true),
      trainer("c", 144, 1800, 7100, true), trainer("d", 96, 1300, 6000, true)};
  base::SeededRandom random(seed);
  for (Trainer& each : trainers) {
    each.phase = randomPhases ? base::milliseconds(random.below(4000)) : base::Duration{0};
  }
  return trainers;
}

}  // namespace

// Guards against steps that wait for weights because engines load in the order of publication.
Test(weights_load, steps_find_slots_when_submitted) {
  int steps = 0;
  int before = 0;
  int after = 0;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    for (const bool randomPhases : {false, true}) {
      const std::vector<Trainer> trainers = fourTrainers(seed, randomPhases);
      before += simulate(45, trainers, directory::LoadOrder::kOldestFirst, seed).slowSteps;
      const WaitStatistics waits = simulate(45, trainers, directory::LoadOrder::kByDemand, seed);
      cr_assert_leq(waits.maxMedian, 0.6);
      cr_assert_leq(waits.maxBurstWait, 4 * kLoadSeconds);
      after += waits.slowSteps;
      steps += waits.steps;
    }
  }
  cr_assert_gt(before * 10, steps, "oldest-first order must cause slow steps");
  cr_assert_lt(after * 50, steps);
}

Test(weights_load, small_clusters_are_no_worse) {
  const std::vector<Trainer> one = {trainer("a", 64, 1500, 6500, true)};
  const std::vector<Trainer> two = {trainer("a", 32, 950, 3800, true),
                                    trainer("b", 32, 1800, 7100)};
  for (const std::vector<Trainer>& trainers : {one, two}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      const WaitStatistics before =
          simulate(11, trainers, directory::LoadOrder::kOldestFirst, seed);
      const WaitStatistics after = simulate(11, trainers, directory::LoadOrder::kByDemand, seed);
      cr_assert_leq(after.meanMedian, before.meanMedian);
      cr_assert_leq(after.meanP90, before.meanP90);
      cr_assert_leq(after.loads, before.loads);
    }
  }
}
