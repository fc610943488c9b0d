/// Simulation of jobs on 44 engines without a network: placement and moves by requirements compared
/// with cost alone.
#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <numbers>

#include "base/random.h"
#include "jobs/engine_placement.h"
#include "jobs/run_decisions.h"
#include "jobs/run_event_interval.h"

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kEngines = 44;
constexpr std::size_t kZones = 4;
constexpr std::uint32_t kSlots = 8;
constexpr double kNormalMs = 49;
constexpr double kMaxEvents = 147;
constexpr double kSlowdown = 3.5;
constexpr base::Duration kSlowTime = base::seconds(8);
constexpr base::Duration kDeadline = milliseconds(7500);
constexpr base::Duration kStep = milliseconds(10);
constexpr base::Duration kReportInterval = milliseconds(500);
/// Time until the first event; longer after a move, because the prompt contains the text so far.
constexpr base::Duration kPrompt = milliseconds(200);
constexpr base::Duration kPromptAfterMove = milliseconds(400);
constexpr base::Duration kRunTime = base::seconds(60);

enum class Fleet : std::uint8_t {
  kEqual,      ///< engines of equal speed, none of which slows down
  kSlowdowns,  ///< engines of equal speed, a fifth of which slows down every 15 s
  kUneven,     ///< zones of different speed; engines slow down too
};

struct Load {
  Fleet fleet = Fleet::kEqual;
  int textsPerJob = 0;  ///< a job is submitted every second
  std::uint64_t seed = 1;
  bool byRequirements = false;
};

struct Outcome {
  int texts = 0;
  int inTime = 0;
  int jobs = 0;
  int jobsInTime = 0;
  int moves = 0;
  base::Duration jobDurationSum{0};  ///< sum of the durations of all jobs
  base::Duration maxJobDuration{0};

  [[nodiscard]] double share() const { return static_cast<double>(inTime) / texts; }
  [[nodiscard]] double shareOfJobs() const { return static_cast<double>(jobsInTime) / jobs; }
  [[nodiscard]] double meanJobDuration() const { return base::toSeconds(jobDurationSum) / jobs; }
};

struct Text {
  std::size_t job = 0;
  double events = 0;
  double estimate = 0;
  double generated = 0;
  base::TimePoint sentAt{};
  base::TimePoint firstSentAt{};
  base::TimePoint dueAt{};
  std::uint32_t moves = 0;
  jobs::RunEventInterval interval;
};

struct Engine {
  std::string id;
  std::string zone;
  double eventIntervalMs = kNormalMs;
  base::TimePoint slowFrom{};
  base::TimePoint slowUntil{};
  std::deque<Text> texts;  ///< the first kSlots are running
  double reportedMs = 0;

  [[nodiscard]] double currentEventIntervalMs(base::TimePoint now) const {
    return now >= slowFrom && now < slowUntil ? kSlowdown * eventIntervalMs : eventIntervalMs;
  }
};

/// Simulates a load with one seed.
class PlacementSimulation {
 public:
  explicit PlacementSimulation(const Load& load) : m_load(load), m_random(load.seed) {
    constexpr std::array<double, kZones> kSpeeds{1.2, 1.2, 1.2, 0.55};
    std::vector<jobs::EngineInfo> infos;
    for (std::size_t i = 0; i < kEngines; ++i) {
      Engine engine;
      engine.id = "e" + std::to_string(i);
      engine.zone = "z" + std::to_string(i % kZones);
      engine.eventIntervalMs =
          load.fleet == Fleet::kUneven ? kNormalMs / kSpeeds.at(i % kZones) : kNormalMs;
      infos.push_back({engine.id, kSlots, {{"m", 1}}, engine.zone});
      m_engines.emplace(engine.id, std::move(engine));
    }
    m_placement.setEngines(infos);
    for (const auto& [id, engine] : m_engines) {
      m_placement.recordEventIntervals({{id, {engine.eventIntervalMs}}}, m_now);
    }
  }

  Outcome run() {
    const base::TimePoint begin = m_now;
    const base::TimePoint end = begin + kRunTime;
    for (; m_now < end || m_open > 0; m_now += kStep) {
      const base::Duration at = m_now - begin;
      if (m_now < end && at % base::seconds(1) == base::Duration{0}) {
        submit();
      }
      if (m_load.fleet != Fleet::kEqual && at % base::seconds(15) == base::seconds(5)) {
        slowDown();
      }
      if (at % kReportInterval == base::Duration{0}) {
        report();
      }
      placeWaiting();
      for (auto& [id, engine] : m_engines) {
        generateEvents(engine);
      }
      if (at % milliseconds(100) == base::Duration{0}) {
        moveFromSlow();
      }
    }
    for (const base::Duration last : m_jobDurations) {
      ++m_outcome.jobs;
      m_outcome.jobsInTime += last <= kDeadline ? 1 : 0;
      m_outcome.jobDurationSum += last;
      m_outcome.maxJobDuration = std::max(m_outcome.maxJobDuration, last);
    }
    return m_outcome;
  }

 private:
  double normal() {
    return std::sqrt(-2 * std::log(1 - m_random.uniform())) *
           std::cos(2 * std::numbers::pi * m_random.uniform());
  }

  /// Submits a job with its texts in the order of leases: longest estimate first.
  void submit() {
    std::vector<Text> texts;
    for (int i = 0; i < m_load.textsPerJob; ++i) {
      Text text;
      text.job = m_jobDurations.size();
      text.events = std::clamp(std::round(30 * std::exp(0.8 * normal())), 2.0, kMaxEvents);
      text.estimate = text.events * std::exp(0.5 * normal());
      text.dueAt = m_now + kDeadline;
      texts.push_back(std::move(text));
    }
    std::sort(texts.begin(), texts.end(),
              [](const Text& one, const Text& other) { return one.estimate > other.estimate; });
    std::move(texts.begin(), texts.end(), std::back_inserter(m_waiting));
    m_jobDurations.emplace_back(0);
    m_open += m_load.textsPerJob;
  }

  /// Slows down a fifth of the engines.
  void slowDown() {
    for (auto& [id, engine] : m_engines) {
      if (m_random.chance(0.2)) {
        engine.slowFrom = m_now;
        engine.slowUntil = m_now + kSlowTime;
      }
    }
  }

  /// Reports event intervals; only engines with running items have samples.
  void report() {
    std::map<std::string, jobs::EventIntervalReport> reports;
    for (auto& [id, engine] : m_engines) {
      if (!engine.texts.empty()) {
        // Weight of new samples in the average of a gateway.
        constexpr double kWeight = 0.28;
        const double observedMs = engine.currentEventIntervalMs(m_now - kReportInterval) *
                                  (0.95 + 0.1 * m_random.uniform());
        const double before = engine.reportedMs > 0 ? engine.reportedMs : observedMs;
        engine.reportedMs = before + kWeight * (observedMs - before);
        reports[id] = {engine.reportedMs};
      }
    }
    m_placement.recordEventIntervals(reports, m_now);
  }

  void placeWaiting() {
    std::map<std::string, std::uint32_t> loads;
    for (const auto& [id, engine] : m_engines) {
      loads[id] = static_cast<std::uint32_t>(engine.texts.size());
    }
    m_placement.setLoads(loads, m_now);
    while (!m_waiting.empty()) {
      Text& text = m_waiting.front();
      jobs::ItemRequirements requirements{"m", 1};
      if (m_load.byRequirements) {
        requirements.remainingEvents = text.estimate;
        requirements.timeUntilDue = text.dueAt - m_now;
      }
      const std::string chosen = m_placement.place(requirements);
      if (chosen.empty()) {
        return;
      }
      text.firstSentAt = m_now;
      send(m_engines.at(chosen), std::move(text));
      m_waiting.pop_front();
    }
  }

  void send(Engine& engine, Text text) {
    text.sentAt = {};
    text.interval = {};
    engine.texts.push_back(std::move(text));
  }

  void generateEvents(Engine& engine) {
    const std::size_t running = std::min<std::size_t>(engine.texts.size(), kSlots);
    const double generated = base::toMilliseconds(kStep) / engine.currentEventIntervalMs(m_now);
    for (std::size_t i = 0; i < running; ++i) {
      Text& text = engine.texts[i];
      text.sentAt = text.sentAt == base::TimePoint{} ? m_now : text.sentAt;
      if (m_now - text.sentAt < (text.moves > 0 ? kPromptAfterMove : kPrompt)) {
        continue;
      }
      const double before = text.generated;
      text.generated += generated;
      if (std::floor(text.generated) > std::floor(before)) {
        text.interval.onEvent(m_now);
      }
    }
    for (auto text = engine.texts.begin(); text != engine.texts.end();) {
      if (text->generated < text->events) {
        ++text;
        continue;
      }
      finish(*text);
      text = engine.texts.erase(text);
    }
  }

  void finish(const Text& text) {
    --m_open;
    ++m_outcome.texts;
    m_outcome.inTime += m_now <= text.dueAt ? 1 : 0;
    base::Duration& last = m_jobDurations[text.job];
    last = std::max(last, m_now - (text.dueAt - kDeadline));
  }

  /// Returns the maximum event interval of another engine to which the text should move; zero if
  /// it should stay.
  double maxEventInterval(const Engine& engine, const Text& text) {
    if (m_load.byRequirements) {
      jobs::RunForecast forecast;
      forecast.eventIntervalMs = text.interval.sustainedMs(m_now).value_or(0);
      forecast.remainingEvents =
          jobs::remainingEventsOf(text.estimate, static_cast<std::uint64_t>(text.generated),
                                  static_cast<std::uint64_t>(text.generated));
      forecast.timeUntilDue = text.dueAt - m_now;
      forecast.moves = text.moves;
      return jobs::maxEventIntervalToMoveTo(forecast).value_or(0);
    }
    const bool ranLong = text.generated >= 1 && m_now - text.firstSentAt > milliseconds(900);
    return ranLong && text.moves < jobs::kMaxMovesToFaster
               ? engine.reportedMs / jobs::kMinMoveSpeedup
               : 0;
  }

  /// Returns the least loaded engine of the zone with at most this event interval; a gateway moves
  /// texts only within its zone.
  Engine* findWithinInterval(const std::string& zone, double maxMs) {
    Engine* best = nullptr;
    for (auto& [id, engine] : m_engines) {
      const bool eligible = engine.zone == zone && engine.reportedMs > 0 &&
                            engine.reportedMs <= maxMs && engine.texts.size() < kSlots;
      if (eligible && (best == nullptr || engine.texts.size() < best->texts.size())) {
        best = &engine;
      }
    }
    return best;
  }

  void moveFromSlow() {
    for (auto& [id, engine] : m_engines) {
      for (std::size_t i = 0; i < engine.texts.size();) {
        const double maxMs = maxEventInterval(engine, engine.texts[i]);
        Engine* faster = maxMs > 0 ? findWithinInterval(engine.zone, maxMs) : nullptr;
        if (faster == nullptr || faster == &engine) {
          ++i;
          continue;
        }
        Text text = std::move(engine.texts[i]);
        engine.texts.erase(engine.texts.begin() + static_cast<std::ptrdiff_t>(i));
        ++text.moves;
        ++m_outcome.moves;
        send(*faster, std::move(text));
      }
    }
  }

  const Load m_load;
  base::SeededRandom m_random;
  base::TimePoint m_now{base::seconds(1000)};
  jobs::EnginePlacement m_placement;
  std::map<std::string, Engine> m_engines;
  std::deque<Text> m_waiting;
  std::vector<base::Duration> m_jobDurations;
  int m_open = 0;
  Outcome m_outcome;
};

const char* labelOf(Fleet fleet) {
  switch (fleet) {
    case Fleet::kEqual:
      return "equal";
    case Fleet::kSlowdowns:
      return "slowed";
    case Fleet::kUneven:
      return "uneven";
  }
  return "unknown";
}

/// Maximum decrease of a share that counts as random variation.
constexpr double kNoise = 0.001;

/// Runs a load with several seeds and returns the sums.
Outcome simulate(Load load) {
  Outcome all;
  for (load.seed = 1; load.seed <= 6; ++load.seed) {
    const Outcome one = PlacementSimulation(load).run();
    all.texts += one.texts;
    all.inTime += one.inTime;
    all.jobs += one.jobs;
    all.jobsInTime += one.jobsInTime;
    all.moves += one.moves;
    all.jobDurationSum += one.jobDurationSum;
    all.maxJobDuration = std::max(all.maxJobDuration, one.maxJobDuration);
  }
  std::printf(
      "%s engines, %d texts a job, %s: texts in time %.4f, jobs %.3f, last %.2f s (mean), "
      "%.2f s (longest), %d moves\n",
      labelOf(load.fleet), load.textsPerJob, load.byRequirements ? "need" : "cost", all.share(),
      all.shareOfJobs(), all.meanJobDuration(), base::toSeconds(all.maxJobDuration), all.moves);
  return all;
}

Outcome simulateWith(bool requirements, Fleet fleet, int textsPerJob) {
  Load load;
  load.fleet = fleet;
  load.textsPerJob = textsPerJob;
  load.byRequirements = requirements;
  return simulate(load);
}

}  // namespace

Test(placement_load, more_jobs_end_in_time_on_uneven_engines) {
  for (const int texts : {100, 120}) {
    const Outcome before = simulateWith(false, Fleet::kUneven, texts);
    const Outcome after = simulateWith(true, Fleet::kUneven, texts);
    cr_assert_gt(after.jobsInTime, before.jobsInTime);
    cr_assert_gt(after.inTime, before.inTime);
    cr_assert_leq(after.moves, before.moves / 2);
  }
}

Test(placement_load, full_uneven_engines_are_not_worse) {
  const Outcome before = simulateWith(false, Fleet::kUneven, 140);
  const Outcome after = simulateWith(true, Fleet::kUneven, 140);
  cr_assert_geq(after.share(), before.share() - kNoise);
  cr_assert_leq(after.moves, before.moves / 2);
}

Test(placement_load, slowed_engines_need_fewer_moves_for_the_same_result) {
  for (const int texts : {100, 140}) {
    const Outcome before = simulateWith(false, Fleet::kSlowdowns, texts);
    const Outcome after = simulateWith(true, Fleet::kSlowdowns, texts);
    cr_assert_geq(after.share(), before.share() - kNoise);
    cr_assert_leq(after.moves, before.moves / 2);
  }
}

Test(placement_load, equal_engines_give_equal_results) {
  for (const int texts : {60, 140}) {
    const Outcome before = simulateWith(false, Fleet::kEqual, texts);
    const Outcome after = simulateWith(true, Fleet::kEqual, texts);
    cr_assert_eq(after.inTime, before.inTime);
    cr_assert_eq(after.jobDurationSum.count(), before.jobDurationSum.count());
    cr_assert_eq(after.moves, 0);
  }
}
