/// Forecast of steps, and limit of concurrent loads.
#include "directory/step_forecast.h"

#include <criterion/criterion.h>

#include "directory/load_limiter.h"

namespace base = tackpick::base;
namespace directory = tackpick::directory;
namespace jobs = tackpick::jobs;

namespace {

constexpr base::Duration kInterval = base::seconds(4);

/// Trainer whose step k requires version k - 1 and is submitted when version k is published.
struct Trainer {
  void submit(std::uint64_t step, base::Duration late = base::Duration{0}) {
    now = start + kInterval * static_cast<int>(step) + late;
    published["m"] = std::max(published["m"], step);
    open.push_back(
        {"job" + std::to_string(step), step - 1, 100, 100, base::Duration{0}, base::seconds(7)});
    if (open.size() > 2) {
      open.erase(open.begin());
    }
    reportOpenJobs();
  }
  /// Reports the open steps; afterwards all their items run.
  void reportOpenJobs() {
    forecast.update({{"m", open}}, published, now);
    for (jobs::OpenJob& openJob : open) {
      openJob.waiting = 0;
    }
  }
  std::vector<directory::StepDemand> stepDemands() {
    return forecast.stepDemands("m", published["m"], now);
  }

  directory::StepForecast forecast{directory::StepForecastSettings{}};
  std::map<std::string, std::uint64_t> published;
  std::vector<jobs::OpenJob> open;
  const base::TimePoint start{base::seconds(100)};
  base::TimePoint now = start;
};

}  // namespace

Test(step_forecast, no_forecast_before_the_second_step) {
  Trainer trainer;
  trainer.submit(1);
  cr_assert(trainer.stepDemands().empty());
  trainer.submit(2);
  cr_assert_not(trainer.stepDemands().empty());
  cr_assert(trainer.forecast.stepDemands("n", 1, trainer.now).empty());
}

Test(step_forecast, open_steps_come_first_and_then_the_next) {
  Trainer trainer;
  for (std::uint64_t step = 1; step <= 5; ++step) {
    trainer.submit(step);
  }
  const auto stepDemands = trainer.stepDemands();
  cr_assert_eq(stepDemands.size(), 2U, "one open step with waiting items and one expected step");
  cr_assert(stepDemands[0].open);
  cr_assert_eq(stepDemands[0].version, 4U);
  cr_assert_eq(stepDemands[0].waiting, 100U);
  cr_assert_not(stepDemands[1].open);
  cr_assert_eq(stepDemands[1].version, 5U);
  cr_assert_eq(stepDemands[1].slots, 100U);
  cr_assert(stepDemands[1].expectedAt == trainer.start + kInterval * 6);
}

Test(step_forecast, late_step_does_not_move_the_next) {
  Trainer trainer;
  for (std::uint64_t step = 1; step <= 5; ++step) {
    trainer.submit(step);
  }
  trainer.submit(6, base::seconds(3));
  cr_assert(trainer.stepDemands().back().expectedAt == trainer.start + kInterval * 7);
}

Test(step_forecast, versions_published_together_bring_two_steps) {
  Trainer trainer;
  for (std::uint64_t step = 1; step <= 5; ++step) {
    trainer.submit(step);
  }
  trainer.published["m"] = 7;  // includes the versions of steps 6 and 7, which are not submitted
  const auto stepDemands = trainer.stepDemands();
  cr_assert_eq(stepDemands.size(), 3U);
  cr_assert_eq(stepDemands[1].version, 5U);
  cr_assert_eq(stepDemands[2].version, 6U);
}

Test(step_forecast, no_steps_are_expected_of_a_trainer_that_has_ended) {
  Trainer trainer;
  trainer.submit(1);
  trainer.submit(2);
  trainer.now += kInterval * 6;
  cr_assert(trainer.stepDemands().empty());
}

Test(step_forecast, outdated_open_jobs_are_ignored) {
  Trainer trainer;
  trainer.submit(1);
  trainer.submit(2);
  trainer.now += base::seconds(4);
  const auto stepDemands = trainer.stepDemands();
  cr_assert_eq(stepDemands.size(), 1U);
  cr_assert_not(stepDemands[0].open, "only the next step is expected");
}

// A ledgers' leader that was cut off may report jobs that have ended.
Test(step_forecast, jobs_that_have_ended_do_not_count_as_new_steps) {
  Trainer trainer;
  for (std::uint64_t step = 1; step <= 4; ++step) {
    trainer.submit(step);
  }
  const base::TimePoint expected = trainer.stepDemands().back().expectedAt;
  const jobs::OpenJob old{"job1", 0, 100, 0, base::seconds(1), base::seconds(7)};
  trainer.now += base::seconds(1);
  trainer.forecast.update({{"m", {old}}}, trainer.published, trainer.now);
  cr_assert(trainer.stepDemands().back().expectedAt == expected);
  cr_assert_eq(trainer.stepDemands().back().version, 4U);
}

namespace {

/// Weights store that serves a limited number of loads at full speed.
struct Store {
  explicit Store(std::size_t fullSpeedLoads) : m_fullSpeedLoads(fullSpeedLoads) {
    limiter.setMinLimit(4);
  }
  /// Runs as many loads as the limit allows, from start to end.
  void round() {
    const std::size_t count = limiter.limit();
    for (std::size_t i = 0; i < count; ++i) {
      limiter.onStarted("e" + std::to_string(i), i + 1, now);
    }
    const double factor =
        std::max(1.0, static_cast<double>(count) / static_cast<double>(m_fullSpeedLoads));
    now += base::milliseconds(static_cast<int>(1000 * factor));
    for (std::size_t i = 0; i < count; ++i) {
      limiter.onLoaded("e" + std::to_string(i), now);
    }
  }
  directory::LoadLimiter limiter{directory::LoadLimiterSettings{}};
  base::TimePoint now{base::seconds(100)};

 private:
  const std::size_t m_fullSpeedLoads;
};

}  // namespace

Test(load_limiter, adapts_to_the_capacity_of_the_store) {
  Store store(8);
  cr_assert_eq(store.limiter.limit(), 4U);
  std::size_t maxLimit = 0;
  for (int i = 0; i < 20; ++i) {
    store.round();
    maxLimit = std::max(maxLimit, store.limiter.limit());
  }
  cr_assert_eq(store.limiter.limit(), 8U);
  cr_assert_eq(maxLimit, 9U, "the limit exceeded the capacity by at most one");
}

Test(load_limiter, stays_within_its_bounds) {
  Store saturated(1);
  Store fast(1000);
  for (int i = 0; i < 40; ++i) {
    saturated.round();
    fast.round();
  }
  cr_assert_eq(saturated.limiter.limit(), 4U, "never below the minimum");
  cr_assert_eq(fast.limiter.limit(), 12U, "at most three times the minimum");
}

Test(load_limiter, loads_below_the_limit_do_not_change_it) {
  Store store(8);
  for (int i = 0; i < 20; ++i) {
    store.limiter.onStarted("e", 1, store.now);
    store.now += base::seconds(1);
    store.limiter.onLoaded("e", store.now);
  }
  cr_assert_eq(store.limiter.limit(), 4U);
  cr_assert(store.limiter.loadTime() == base::seconds(1));
}

Test(load_limiter, abandoned_loads_do_not_count) {
  Store store(8);
  store.limiter.onStarted("e", 4, store.now);
  store.limiter.onAbandoned("e");
  store.now += base::seconds(9);
  store.limiter.onLoaded("e", store.now);
  cr_assert_not(store.limiter.loadTime().has_value());
}
