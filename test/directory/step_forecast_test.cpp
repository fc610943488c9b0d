/// What is expected of trainers, and how many loads the store of weights bears.
#include "directory/step_forecast.h"

#include <criterion/criterion.h>

#include "directory/load_limiter.h"

namespace base = tackpick::base;
namespace directory = tackpick::directory;
namespace jobs = tackpick::jobs;

namespace {

constexpr base::Duration kInterval = base::seconds(4);

/// A trainer whose step k needs version k - 1 and comes when version k is published.
struct Trainer {
  void submit(std::uint64_t step, base::Duration late = base::Duration{0}) {
    now = start + kInterval * static_cast<int>(step) + late;
    published["m"] = std::max(published["m"], step);
    open.push_back(
        {"job" + std::to_string(step), step - 1, 100, 100, base::Duration{0}, base::seconds(7)});
    if (open.size() > 2) {
      open.erase(open.begin());
    }
    tell();
  }
  /// All items of the open steps run.
  void tell() {
    forecast.note({{"m", open}}, published, now);
    for (jobs::OpenJob& work : open) {
      work.waiting = 0;
    }
  }
  std::vector<directory::StepNeed> needs() { return forecast.needs("m", published["m"], now); }

  directory::StepForecast forecast{directory::StepForecastSettings{}};
  std::map<std::string, std::uint64_t> published;
  std::vector<jobs::OpenJob> open;
  const base::TimePoint start{base::seconds(100)};
  base::TimePoint now = start;
};

}  // namespace

Test(step_forecast, nothing_is_known_before_the_second_step) {
  Trainer trainer;
  trainer.submit(1);
  cr_assert(trainer.needs().empty());
  trainer.submit(2);
  cr_assert_not(trainer.needs().empty());
  cr_assert(trainer.forecast.needs("n", 1, trainer.now).empty());
}

Test(step_forecast, open_steps_come_first_and_then_the_next) {
  Trainer trainer;
  for (std::uint64_t step = 1; step <= 5; ++step) {
    trainer.submit(step);
  }
  const auto needs = trainer.needs();
  cr_assert_eq(needs.size(), 2U, "one with items that wait, and the next");
  cr_assert(needs[0].open);
  cr_assert_eq(needs[0].version, 4U);
  cr_assert_eq(needs[0].waiting, 100U);
  cr_assert_not(needs[1].open);
  cr_assert_eq(needs[1].version, 5U);
  cr_assert_eq(needs[1].slots, 100U);
  cr_assert(needs[1].expectedAt == trainer.start + kInterval * 6);
}

Test(step_forecast, late_step_does_not_move_the_next) {
  Trainer trainer;
  for (std::uint64_t step = 1; step <= 5; ++step) {
    trainer.submit(step);
  }
  trainer.submit(6, base::seconds(3));
  cr_assert(trainer.needs().back().expectedAt == trainer.start + kInterval * 7);
}

Test(step_forecast, versions_published_together_bring_two_steps) {
  Trainer trainer;
  for (std::uint64_t step = 1; step <= 5; ++step) {
    trainer.submit(step);
  }
  trainer.published["m"] = 7;  // of steps 6 and 7, of which none has come
  const auto needs = trainer.needs();
  cr_assert_eq(needs.size(), 3U);
  cr_assert_eq(needs[1].version, 5U);
  cr_assert_eq(needs[2].version, 6U);
}

Test(step_forecast, trainer_that_has_ended_is_expected_no_more) {
  Trainer trainer;
  trainer.submit(1);
  trainer.submit(2);
  trainer.now += kInterval * 6;
  cr_assert(trainer.needs().empty());
}

Test(step_forecast, open_work_that_is_told_no_more_is_not_planned_for) {
  Trainer trainer;
  trainer.submit(1);
  trainer.submit(2);
  trainer.now += base::seconds(4);
  const auto needs = trainer.needs();
  cr_assert_eq(needs.size(), 1U);
  cr_assert_not(needs[0].open, "only the next is expected");
}

// A leader of the ledgers that was cut off tells jobs that have ended.
Test(step_forecast, jobs_that_have_ended_are_no_new_steps) {
  Trainer trainer;
  for (std::uint64_t step = 1; step <= 4; ++step) {
    trainer.submit(step);
  }
  const base::TimePoint expected = trainer.needs().back().expectedAt;
  const jobs::OpenJob old{"job1", 0, 100, 0, base::seconds(1), base::seconds(7)};
  trainer.now += base::seconds(1);
  trainer.forecast.note({{"m", {old}}}, trainer.published, trainer.now);
  cr_assert(trainer.needs().back().expectedAt == expected);
  cr_assert_eq(trainer.needs().back().version, 4U);
}

namespace {

/// A store that serves so many loads at full pace.
struct Store {
  explicit Store(std::size_t serves) : m_serves(serves) { budget.setLeast(4); }
  /// As many loads as the budget allows, from begin to end.
  void round() {
    const std::size_t count = budget.most();
    for (std::size_t i = 0; i < count; ++i) {
      budget.onBegun("e" + std::to_string(i), i + 1, now);
    }
    const double factor = std::max(1.0, static_cast<double>(count) / static_cast<double>(m_serves));
    now += base::milliseconds(static_cast<int>(1000 * factor));
    for (std::size_t i = 0; i < count; ++i) {
      budget.onLoaded("e" + std::to_string(i), now);
    }
  }
  directory::LoadLimiter budget{directory::LoadLimiterSettings{}};
  base::TimePoint now{base::seconds(100)};

 private:
  const std::size_t m_serves;
};

}  // namespace

Test(load_budget, finds_what_the_store_bears) {
  Store store(8);
  cr_assert_eq(store.budget.most(), 4U);
  std::size_t most = 0;
  for (int i = 0; i < 20; ++i) {
    store.round();
    most = std::max(most, store.budget.most());
  }
  cr_assert_eq(store.budget.most(), 8U);
  cr_assert_eq(most, 9U, "one more was tried, and no more than one");
}

Test(load_budget, stays_within_its_bounds) {
  Store saturated(1);
  Store fast(1000);
  for (int i = 0; i < 40; ++i) {
    saturated.round();
    fast.round();
  }
  cr_assert_eq(saturated.budget.most(), 4U, "never below what the settings allow");
  cr_assert_eq(fast.budget.most(), 12U, "three times that at most");
}

Test(load_budget, loads_that_ran_alone_say_nothing) {
  Store store(8);
  for (int i = 0; i < 20; ++i) {
    store.budget.onBegun("e", 1, store.now);
    store.now += base::seconds(1);
    store.budget.onLoaded("e", store.now);
  }
  cr_assert_eq(store.budget.most(), 4U);
  cr_assert(store.budget.loadTime() == base::seconds(1));
}

Test(load_budget, orders_without_effect_say_nothing) {
  Store store(8);
  store.budget.onBegun("e", 4, store.now);
  store.budget.onAbandoned("e");
  store.now += base::seconds(9);
  store.budget.onLoaded("e", store.now);
  cr_assert_not(store.budget.loadTime().has_value());
}
