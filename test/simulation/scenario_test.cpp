/// Tests all scenarios with fixed seeds, the detection of all mutants, and determinism.
#include "simulation/scenario.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <string>

namespace sim = tackpick::simulation;

namespace {

constexpr std::uint64_t kSeedsPerScenario = 40;
constexpr std::uint64_t kSeedsPerMutant = 400;

std::string describe(const sim::RunResult& result) {
  std::string text = "seed " + std::to_string(result.seed);
  for (const sim::Violation& violation : result.violations) {
    text += "; " + std::string(sim::toString(violation.invariant)) + ": " + violation.description;
  }
  return text;
}

criterion::parameters<std::size_t> indexesUpTo(std::size_t count) {
  criterion::parameters<std::size_t> indexes;
  for (std::size_t i = 0; i < count; ++i) {
    indexes.push_back(i);
  }
  return indexes;
}

}  // namespace

// The parameters are indexes because Criterion runs each test in its own process.
ParameterizedTestParameters(scenarios, holds_every_invariant) {
  static criterion::parameters<std::size_t> indexes = indexesUpTo(sim::scenarios().size());
  return indexes;
}

ParameterizedTest(std::size_t* index, scenarios, holds_every_invariant) {
  const sim::Scenario& scenario = sim::scenarios().at(*index);
  for (std::uint64_t seed = 1; seed <= kSeedsPerScenario; ++seed) {
    const sim::RunResult result = sim::runScenario(scenario, nullptr, seed, nullptr);
    cr_expect(result.violations.empty(), "%s: %s", std::string(scenario.name).c_str(),
              describe(result).c_str());
    cr_expect(result.statistics.requestsCompleted > 0 && result.statistics.samplesDelivered > 0);
  }
}

ParameterizedTestParameters(scenarios, mutant_is_caught) {
  static criterion::parameters<std::size_t> indexes = indexesUpTo(sim::mutants().size());
  return indexes;
}

ParameterizedTest(std::size_t* index, scenarios, mutant_is_caught) {
  const sim::Mutant& mutant = sim::mutants().at(*index);
  const sim::Scenario* scenario = sim::findScenario(mutant.scenario);
  cr_assert_not_null(scenario);
  bool caught = false;
  for (std::uint64_t seed = 1; seed <= kSeedsPerMutant && !caught; ++seed) {
    caught = !sim::runScenario(*scenario, &mutant, seed, nullptr).violations.empty();
  }
  cr_assert(caught, "%s was not caught", std::string(mutant.name).c_str());
}

Test(scenarios, same_seed_gives_the_same_history) {
  const sim::Scenario& everything = *sim::findScenario("everything");
  const sim::RunResult first = sim::runScenario(everything, nullptr, 7, nullptr);
  const sim::RunResult second = sim::runScenario(everything, nullptr, 7, nullptr);
  const sim::RunResult other = sim::runScenario(everything, nullptr, 8, nullptr);
  cr_assert_eq(first.historyHash, second.historyHash);
  cr_assert_neq(first.historyHash, other.historyHash);
}
