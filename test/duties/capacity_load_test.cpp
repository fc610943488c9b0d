/// Load on engines that are taken away: items that wait and what the engines cost, by policy.
#include <criterion/criterion.h>

#include "duties/engine_load.h"

namespace base = tackpick::base;
using tackpick::duties::CapacityMode;
using tackpick::test::EngineLoad;
using tackpick::test::LoadFigures;

namespace {

constexpr base::Duration kTime = base::seconds(60);

LoadFigures play(CapacityMode mode, bool taken, std::uint64_t seed) {
  const LoadFigures figures = EngineLoad(mode, taken, seed).run(kTime);
  std::string waiting;
  for (const std::uint32_t items : figures.waiting) {
    waiting += " " + std::to_string(items);
  }
  cr_log_info(
      "mode %d taken %d seed %lu: waiting %.0f item s, mean %.2f s, last tenth %.2f s, late %.0f "
      "of "
      "%u, engine seconds %.0f, price %.0f, engines %u; waiting:%s",
      static_cast<int>(mode), taken ? 1 : 0, static_cast<unsigned long>(seed),
      figures.waitingItemSeconds, figures.meanWait, figures.tenthWait, figures.lateItems,
      figures.items, figures.engineSeconds, figures.price, figures.engines, waiting.c_str());
  return figures;
}

}  // namespace

Test(capacity_load, engines_that_are_taken_away_are_replaced) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const LoadFigures held = play(CapacityMode::kHold, true, seed);
    const LoadFigures waiting = play(CapacityMode::kWaitingWork, true, seed);
    const LoadFigures expected = play(CapacityMode::kExpectedSteps, true, seed);
    cr_assert_lt(held.engines, 45U);
    cr_assert_geq(waiting.engines, 45U);
    cr_assert_geq(expected.engines, 45U);
    cr_assert_lt(waiting.waitingItemSeconds, held.waitingItemSeconds);
    cr_assert_lt(expected.waitingItemSeconds, held.waitingItemSeconds / 2);
    cr_assert_lt(expected.engineSeconds, 1.6 * held.engineSeconds);
  }
}

Test(capacity_load, steps_larger_than_the_places_of_a_model_wait_less) {
  const LoadFigures held = play(CapacityMode::kHold, false, 1);
  const LoadFigures waiting = play(CapacityMode::kWaitingWork, false, 1);
  const LoadFigures expected = play(CapacityMode::kExpectedSteps, false, 1);
  cr_assert_eq(held.engines, 45U);
  cr_assert_lt(waiting.waitingItemSeconds, held.waitingItemSeconds);
  cr_assert_lt(expected.waitingItemSeconds, held.waitingItemSeconds);
  cr_assert_lt(expected.engineSeconds, 1.6 * held.engineSeconds);
}
