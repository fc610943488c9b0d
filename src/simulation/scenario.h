/// \file
/// The named scenarios and the deliberate faults (mutants).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "simulation/options.h"
#include "simulation/world.h"

namespace tackpick::simulation {

/// A set of options that provokes one thing.
struct Scenario {
  std::string_view name;
  std::string_view provokes;  ///< the promise and the failure, in one line
  void (*configure)(SimulationOptions& options);
};

[[nodiscard]] const std::vector<Scenario>& scenarios();
[[nodiscard]] const Scenario* findScenario(std::string_view name);

/// One mechanism broken on purpose, to show that the checkers see it.
struct Mutant {
  std::string_view name;
  std::string_view breaks;    ///< the mechanism
  std::string_view scenario;  ///< where it is caught
  void (*apply)(SimulationOptions& options);
};

[[nodiscard]] const std::vector<Mutant>& mutants();
[[nodiscard]] const Mutant* findMutant(std::string_view name);

/// Runs one seed of a scenario; `mutant` and `trace` may be null.
[[nodiscard]] RunResult runScenario(const Scenario& scenario, const Mutant* mutant,
                                    std::uint64_t seed, std::ostream* trace);

}  // namespace tackpick::simulation
