/// \file
/// Named scenarios and mutants.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "simulation/options.h"
#include "simulation/simulator.h"

namespace tackpick::simulation {

/// Named simulation options that exercise one kind of failure.
struct Scenario {
  std::string_view name;
  std::string_view description;  ///< the invariant and the failure, in one line
  void (*configure)(SimulationOptions& options);
};

[[nodiscard]] const std::vector<Scenario>& scenarios();
[[nodiscard]] const Scenario* findScenario(std::string_view name);

/// Disables one mechanism, to test that the invariant checker detects it.
struct Mutant {
  std::string_view name;
  std::string_view description;  ///< the mechanism that is disabled
  std::string_view scenario;     ///< scenario that detects the mutant
  void (*apply)(SimulationOptions& options);
};

[[nodiscard]] const std::vector<Mutant>& mutants();
[[nodiscard]] const Mutant* findMutant(std::string_view name);

/// Runs one seed of a scenario. `mutant` and `traceOutput` may be null.
[[nodiscard]] RunResult runScenario(const Scenario& scenario, const Mutant* mutant,
                                    std::uint64_t seed, std::ostream* traceOutput);

}  // namespace tackpick::simulation
