/// Tests waiting items and costs of engines by capacity mode, with and without preemption.
#include <criterion/criterion.h>

#include "duties/engine_simulation.h"

namespace base = tackpick::base;
using tackpick::duties::CapacityMode;
using tackpick::test::EngineSimulation;
using tackpick::test::LoadScenario;
using tackpick::test::SimulationResult;

namespace {

constexpr base::Duration kRunTime = base::seconds(60);
/// Engine seconds of 1.5 times the initial number of engines during kRunTime.
constexpr double kMaxEngineSeconds = 1.5 * 45 * 60;

SimulationResult runScenario(CapacityMode mode, LoadScenario scenario, std::uint64_t seed) {
  const SimulationResult result = EngineSimulation(mode, scenario, seed).run(kRunTime);
  std::string waiting;
  for (const std::uint32_t items : result.waiting) {
    waiting += " " + std::to_string(items);
  }
  cr_log_info(
      "mode %d preempted %d steps %u %% seed %lu: waiting %.0f item s, mean %.2f s, 90th "
      "percentile %.2f s, "
      "late %.0f "
      "of "
      "%u, engine seconds %.0f, price %.0f, engines %u; waiting:%s",
      static_cast<int>(mode), scenario.preempt ? 1 : 0, scenario.stepPercent,
      static_cast<unsigned long>(seed), result.waitingItemSeconds, result.meanWait, result.p90Wait,
      result.lateItems, result.items, result.engineSeconds, result.price, result.engines,
      waiting.c_str());
  return result;
}

}  // namespace

Test(capacity_load, preempted_engines_are_replaced) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const SimulationResult fixed = runScenario(CapacityMode::kFixed, {true, 100}, seed);
    const SimulationResult reactive = runScenario(CapacityMode::kReactive, {true, 100}, seed);
    const SimulationResult predictive = runScenario(CapacityMode::kPredictive, {true, 100}, seed);
    cr_assert_lt(fixed.engines, 45U);
    cr_assert_geq(reactive.engines, 45U);
    cr_assert_geq(predictive.engines, 45U);
    cr_assert_lt(reactive.waitingItemSeconds, fixed.waitingItemSeconds);
    cr_assert_lt(predictive.waitingItemSeconds, fixed.waitingItemSeconds / 2);
    cr_assert_leq(predictive.engineSeconds, kMaxEngineSeconds);
  }
}

Test(capacity_load, steps_larger_than_the_slots_of_a_model_wait_less_in_predictive_mode) {
  const SimulationResult fixed = runScenario(CapacityMode::kFixed, {false, 100}, 1);
  const SimulationResult reactive = runScenario(CapacityMode::kReactive, {false, 100}, 1);
  const SimulationResult predictive = runScenario(CapacityMode::kPredictive, {false, 100}, 1);
  cr_assert_eq(fixed.engines, 45U);
  cr_assert_eq(reactive.engines, 45U, "slots are free at engines of other models");
  cr_assert_lt(predictive.waitingItemSeconds, fixed.waitingItemSeconds);
  cr_assert_leq(predictive.engineSeconds, kMaxEngineSeconds);
}

Test(capacity_load, work_beyond_all_slots_adds_engines_in_both_modes) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const SimulationResult fixed = runScenario(CapacityMode::kFixed, {false, 300}, seed);
    const SimulationResult reactive = runScenario(CapacityMode::kReactive, {false, 300}, seed);
    const SimulationResult predictive = runScenario(CapacityMode::kPredictive, {false, 300}, seed);
    cr_assert_lt(reactive.waitingItemSeconds, fixed.waitingItemSeconds / 2);
    cr_assert_lt(predictive.waitingItemSeconds, fixed.waitingItemSeconds / 2);
    cr_assert_leq(predictive.engineSeconds, kMaxEngineSeconds);
  }
}
