/// Steps of texts on 44 engines, without a network: placed and moved by need, and by cost alone.
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
constexpr double kUsualMs = 49;
constexpr double kMaxEvents = 147;
constexpr double kSlowdown = 3.5;
constexpr base::Duration kSlowTime = base::seconds(8);
constexpr base::Duration kDue = milliseconds(7500);
constexpr base::Duration kStep = milliseconds(10);
constexpr base::Duration kReports = milliseconds(500);
/// Until the first event; of a text that moves the prompt is longer by what it has.
constexpr base::Duration kPrompt = milliseconds(200);
constexpr base::Duration kPromptOfMoved = milliseconds(400);
constexpr base::Duration kRun = base::seconds(60);

enum class Fleet : std::uint8_t {
  kEqual,   ///< engines of one pace, none of which turns slow
  kSlowed,  ///< engines of one pace, a fifth of which turns slow each 15 s
  kUneven,  ///< zones of different event intervals; engines turn slow too
};

struct Load {
  Fleet fleet = Fleet::kEqual;
  int textsPerJob = 0;  ///< a job comes each second
  std::uint64_t seed = 1;
  bool byNeed = false;
};

struct Outcome {
  int texts = 0;
  int inTime = 0;
  int jobs = 0;
  int jobsInTime = 0;
  int moves = 0;
  base::Duration lastSum{0};  ///< of the jobs' last texts
  base::Duration last{0};

  [[nodiscard]] double share() const { return static_cast<double>(inTime) / texts; }
  [[nodiscard]] double shareOfJobs() const { return static_cast<double>(jobsInTime) / jobs; }
  [[nodiscard]] double meanLast() const { return base::toSeconds(lastSum) / jobs; }
};

struct Text {
  std::size_t job = 0;
  double events = 0;
  double estimate = 0;
  double made = 0;
  base::TimePoint sentAt{};
  base::TimePoint firstSentAt{};
  base::TimePoint due{};
  std::uint32_t moves = 0;
  jobs::RunEventInterval pace;
};

struct Engine {
  std::string id;
  std::string zone;
  double eventIntervalMs = kUsualMs;
  base::TimePoint slowFrom{};
  base::TimePoint slowUntil{};
  std::deque<Text> texts;  ///< the first kSlots run
  double reportedMs = 0;

  [[nodiscard]] double currentEventIntervalMs(base::TimePoint now) const {
    return now >= slowFrom && now < slowUntil ? kSlowdown * eventIntervalMs : eventIntervalMs;
  }
};

/// One play of a load.
class Play {
 public:
  explicit Play(const Load& load) : m_load(load), m_random(load.seed) {
    constexpr std::array<double, kZones> kSpeeds{1.2, 1.2, 1.2, 0.55};
    std::vector<jobs::PlacementEngine> told;
    for (std::size_t i = 0; i < kEngines; ++i) {
      Engine engine;
      engine.id = "e" + std::to_string(i);
      engine.zone = "z" + std::to_string(i % kZones);
      engine.eventIntervalMs =
          load.fleet == Fleet::kUneven ? kUsualMs / kSpeeds.at(i % kZones) : kUsualMs;
      told.push_back({engine.id, kSlots, {{"m", 1}}, engine.zone});
      m_engines.emplace(engine.id, std::move(engine));
    }
    m_placement.setEngines(told);
    for (const auto& [id, engine] : m_engines) {
      m_placement.recordEventIntervals({{id, {engine.eventIntervalMs}}}, m_now);
    }
  }

  Outcome run() {
    const base::TimePoint begin = m_now;
    const base::TimePoint end = begin + kRun;
    for (; m_now < end || m_open > 0; m_now += kStep) {
      const base::Duration at = m_now - begin;
      if (m_now < end && at % base::seconds(1) == base::Duration{0}) {
        submit();
      }
      if (m_load.fleet != Fleet::kEqual && at % base::seconds(15) == base::seconds(5)) {
        slowDown();
      }
      if (at % kReports == base::Duration{0}) {
        report();
      }
      placeWaiting();
      for (auto& [id, engine] : m_engines) {
        makeEvents(engine);
      }
      if (at % milliseconds(100) == base::Duration{0}) {
        moveFromSlow();
      }
    }
    for (const base::Duration last : m_lastOfJobs) {
      ++m_outcome.jobs;
      m_outcome.jobsInTime += last <= kDue ? 1 : 0;
      m_outcome.lastSum += last;
      m_outcome.last = std::max(m_outcome.last, last);
    }
    return m_outcome;
  }

 private:
  double normal() {
    return std::sqrt(-2 * std::log(1 - m_random.uniform())) *
           std::cos(2 * std::numbers::pi * m_random.uniform());
  }

  /// Longest estimate first, as they are leased.
  void submit() {
    std::vector<Text> texts;
    for (int i = 0; i < m_load.textsPerJob; ++i) {
      Text text;
      text.job = m_lastOfJobs.size();
      text.events = std::clamp(std::round(30 * std::exp(0.8 * normal())), 2.0, kMaxEvents);
      text.estimate = text.events * std::exp(0.5 * normal());
      text.due = m_now + kDue;
      texts.push_back(std::move(text));
    }
    std::sort(texts.begin(), texts.end(),
              [](const Text& one, const Text& other) { return one.estimate > other.estimate; });
    std::move(texts.begin(), texts.end(), std::back_inserter(m_waiting));
    m_lastOfJobs.emplace_back(0);
    m_open += m_load.textsPerJob;
  }

  /// A fifth of the engines.
  void slowDown() {
    for (auto& [id, engine] : m_engines) {
      if (m_random.chance(0.2)) {
        engine.slowFrom = m_now;
        engine.slowUntil = m_now + kSlowTime;
      }
    }
  }

  /// Gateways see an engine's pace only where something runs.
  void report() {
    std::map<std::string, jobs::EventIntervalReport> reports;
    for (auto& [id, engine] : m_engines) {
      if (!engine.texts.empty()) {
        // Of the last six events of each run; a gateway averages over those of a few runs.
        constexpr double kWeight = 0.28;
        const double seen =
            engine.currentEventIntervalMs(m_now - kReports) * (0.95 + 0.1 * m_random.uniform());
        const double before = engine.reportedMs > 0 ? engine.reportedMs : seen;
        engine.reportedMs = before + kWeight * (seen - before);
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
      jobs::ItemRequirements need{"m", 1};
      if (m_load.byNeed) {
        need.remainingEvents = text.estimate;
        need.timeUntilDue = text.due - m_now;
      }
      const std::string chosen = m_placement.place(need);
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
    text.pace = {};
    engine.texts.push_back(std::move(text));
  }

  void makeEvents(Engine& engine) {
    const std::size_t running = std::min<std::size_t>(engine.texts.size(), kSlots);
    const double made = base::toMilliseconds(kStep) / engine.currentEventIntervalMs(m_now);
    for (std::size_t i = 0; i < running; ++i) {
      Text& text = engine.texts[i];
      text.sentAt = text.sentAt == base::TimePoint{} ? m_now : text.sentAt;
      if (m_now - text.sentAt < (text.moves > 0 ? kPromptOfMoved : kPrompt)) {
        continue;
      }
      const double before = text.made;
      text.made += made;
      if (std::floor(text.made) > std::floor(before)) {
        text.pace.onEvent(m_now);
      }
    }
    for (auto text = engine.texts.begin(); text != engine.texts.end();) {
      if (text->made < text->events) {
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
    m_outcome.inTime += m_now <= text.due ? 1 : 0;
    base::Duration& last = m_lastOfJobs[text.job];
    last = std::max(last, m_now - (text.due - kDue));
  }

  /// The longest pace at which the text goes on elsewhere; zero: it stays.
  double maxEventInterval(const Engine& engine, const Text& text) {
    if (m_load.byNeed) {
      jobs::RunForecast forecast;
      forecast.eventIntervalMs = text.pace.sustainedMs(m_now).value_or(0);
      forecast.remainingEvents =
          jobs::remainingEventsOf(text.estimate, static_cast<std::uint64_t>(text.made),
                                  static_cast<std::uint64_t>(text.made));
      forecast.timeUntilDue = text.due - m_now;
      forecast.moves = text.moves;
      return jobs::maxEventIntervalToMoveTo(forecast).value_or(0);
    }
    const bool ranLong = text.made >= 1 && m_now - text.firstSentAt > milliseconds(900);
    return ranLong && text.moves < jobs::kMaxMovesToFaster
               ? engine.reportedMs / jobs::kMinMoveSpeedup
               : 0;
  }

  /// A gateway knows the engines of its zone.
  Engine* findWithinInterval(const std::string& zone, double maxMs) {
    Engine* best = nullptr;
    for (auto& [id, engine] : m_engines) {
      const bool suits = engine.zone == zone && engine.reportedMs > 0 &&
                         engine.reportedMs <= maxMs && engine.texts.size() < kSlots;
      if (suits && (best == nullptr || engine.texts.size() < best->texts.size())) {
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
  std::vector<base::Duration> m_lastOfJobs;
  int m_open = 0;
  Outcome m_outcome;
};

const char* labelOf(Fleet fleet) {
  switch (fleet) {
    case Fleet::kEqual:
      return "equal";
    case Fleet::kSlowed:
      return "slowed";
    case Fleet::kUneven:
      return "uneven";
  }
  return "unknown";
}

/// Shares of texts differ by as much from seed to seed.
constexpr double kNoise = 0.001;

/// Of several seeds together.
Outcome play(Load load) {
  Outcome all;
  for (load.seed = 1; load.seed <= 6; ++load.seed) {
    const Outcome one = Play(load).run();
    all.texts += one.texts;
    all.inTime += one.inTime;
    all.jobs += one.jobs;
    all.jobsInTime += one.jobsInTime;
    all.moves += one.moves;
    all.lastSum += one.lastSum;
    all.last = std::max(all.last, one.last);
  }
  std::printf(
      "%s engines, %d texts a job, %s: texts in time %.4f, jobs %.3f, last %.2f s (mean), "
      "%.2f s (longest), %d moves\n",
      labelOf(load.fleet), load.textsPerJob, load.byNeed ? "need" : "cost", all.share(),
      all.shareOfJobs(), all.meanLast(), base::toSeconds(all.last), all.moves);
  return all;
}

Outcome playBy(bool need, Fleet fleet, int textsPerJob) {
  Load load;
  load.fleet = fleet;
  load.textsPerJob = textsPerJob;
  load.byNeed = need;
  return play(load);
}

}  // namespace

Test(placement_load, more_jobs_end_in_time_on_uneven_engines) {
  for (const int texts : {100, 120}) {
    const Outcome before = playBy(false, Fleet::kUneven, texts);
    const Outcome after = playBy(true, Fleet::kUneven, texts);
    cr_assert_gt(after.jobsInTime, before.jobsInTime);
    cr_assert_gt(after.inTime, before.inTime);
    cr_assert_leq(after.moves, before.moves / 2);
  }
}

Test(placement_load, full_uneven_engines_do_no_worse) {
  const Outcome before = playBy(false, Fleet::kUneven, 140);
  const Outcome after = playBy(true, Fleet::kUneven, 140);
  cr_assert_geq(after.share(), before.share() - kNoise);
  cr_assert_leq(after.moves, before.moves / 2);
}

Test(placement_load, equal_engines_that_turn_slow_need_fewer_moves_for_the_same) {
  for (const int texts : {100, 140}) {
    const Outcome before = playBy(false, Fleet::kSlowed, texts);
    const Outcome after = playBy(true, Fleet::kSlowed, texts);
    cr_assert_geq(after.share(), before.share() - kNoise);
    cr_assert_leq(after.moves, before.moves / 2);
  }
}

Test(placement_load, equal_engines_do_the_same) {
  for (const int texts : {60, 140}) {
    const Outcome before = playBy(false, Fleet::kEqual, texts);
    const Outcome after = playBy(true, Fleet::kEqual, texts);
    cr_assert_eq(after.inTime, before.inTime);
    cr_assert_eq(after.lastSum.count(), before.lastSum.count());
    cr_assert_eq(after.moves, 0);
  }
}
