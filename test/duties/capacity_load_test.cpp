/// Load on engines that are taken away: items that wait and what the engines cost, by policy.
#include <criterion/criterion.h>

#include "duties/engine_load.h"

namespace base = tackpick::base;
using tackpick::duties::CapacityMode;
using tackpick::test::EngineLoad;
using tackpick::test::LoadFigures;
using tackpick::test::LoadScenario;

namespace {

constexpr base::Duration kTime = base::seconds(60);
/// Half as many engines again as there were, all the time.
constexpr double kMaxEngineSeconds = 1.5 * 45 * 60;

LoadFigures play(CapacityMode mode, LoadScenario scenario, std::uint64_t seed) {
  const LoadFigures figures = EngineLoad(mode, scenario, seed).run(kTime);
  std::string waiting;
  for (const std::uint32_t items : figures.waiting) {
    waiting += " " + std::to_string(items);
  }
  cr_log_info(
      "mode %d taken %d steps %u %% seed %lu: waiting %.0f item s, mean %.2f s, last tenth %.2f s, "
      "late %.0f "
      "of "
      "%u, engine seconds %.0f, price %.0f, engines %u; waiting:%s",
      static_cast<int>(mode), scenario.taken ? 1 : 0, scenario.stepPercent,
      static_cast<unsigned long>(seed), figures.waitingItemSeconds, figures.meanWait,
      figures.tenthWait, figures.lateItems, figures.items, figures.engineSeconds, figures.price,
      figures.engines, waiting.c_str());
  return figures;
}

}  // namespace

Test(capacity_load, engines_that_are_taken_away_are_replaced) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const LoadFigures held = play(CapacityMode::kHold, {true, 100}, seed);
    const LoadFigures waiting = play(CapacityMode::kWaitingWork, {true, 100}, seed);
    const LoadFigures expected = play(CapacityMode::kExpectedSteps, {true, 100}, seed);
    cr_assert_lt(held.engines, 45U);
    cr_assert_geq(waiting.engines, 45U);
    cr_assert_geq(expected.engines, 45U);
    cr_assert_lt(waiting.waitingItemSeconds, held.waitingItemSeconds);
    cr_assert_lt(expected.waitingItemSeconds, held.waitingItemSeconds / 2);
    cr_assert_leq(expected.engineSeconds, kMaxEngineSeconds);
  }
}

Test(capacity_load, steps_larger_than_the_places_of_a_model_wait_less_where_they_are_expected) {
  const LoadFigures held = play(CapacityMode::kHold, {false, 100}, 1);
  const LoadFigures waiting = play(CapacityMode::kWaitingWork, {false, 100}, 1);
  const LoadFigures expected = play(CapacityMode::kExpectedSteps, {false, 100}, 1);
  cr_assert_eq(held.engines, 45U);
  cr_assert_eq(waiting.engines, 45U, "places are free, at engines of other models");
  cr_assert_lt(expected.waitingItemSeconds, held.waitingItemSeconds);
  cr_assert_leq(expected.engineSeconds, kMaxEngineSeconds);
}

Test(capacity_load, more_work_than_places_is_ordered_for_by_both_policies) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const LoadFigures held = play(CapacityMode::kHold, {false, 300}, seed);
    const LoadFigures waiting = play(CapacityMode::kWaitingWork, {false, 300}, seed);
    const LoadFigures expected = play(CapacityMode::kExpectedSteps, {false, 300}, seed);
    cr_assert_lt(waiting.waitingItemSeconds, held.waitingItemSeconds / 2);
    cr_assert_lt(expected.waitingItemSeconds, held.waitingItemSeconds / 2);
    cr_assert_leq(expected.engineSeconds, kMaxEngineSeconds);
  }
}
