/// \file
/// State that all simulated machines and actors share.
#pragma once

#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "base/random.h"
#include "simulation/event_loop.h"
#include "simulation/invariant_checker.h"
#include "simulation/options.h"
#include "simulation/role_cost.h"
#include "simulation/simulated_network.h"

namespace tackpick::simulation {

class SimulatedNode;
class SimulatedEngine;
class SimulatedPlatform;

/// Machine of all callers, trainers and operators. Its links are never partitioned.
inline constexpr MachineId kClientMachine{9000};
/// Machine that serves the platform's machine list.
inline constexpr MachineId kPlatformMachine{9001};

/// Components of one simulation. Owned by Simulator and used on one thread only.
struct Environment {
  Environment(const SimulationOptions& runOptions, std::uint64_t seed);
  ~Environment();
  Environment(const Environment&) = delete;
  Environment& operator=(const Environment&) = delete;

  const SimulationOptions options;
  EventLoop loop;
  base::SeededRandom random;
  SimulatedNetwork network;
  InvariantChecker checker;
  std::ostream* traceOutput = nullptr;  ///< receives the trace of the run; may be null
  bool measureCosts = false;  ///< whether roleCosts are recorded; does not affect the simulation
  std::array<RoleCost, 3> roleCosts;  ///< by NodeRole

  std::vector<std::unique_ptr<SimulatedNode>> nodes;
  std::vector<std::unique_ptr<SimulatedEngine>> engines;
  std::unique_ptr<SimulatedPlatform> platform;

  /// Returns the node or engine with the given number, or null. Numbers start at one and follow the
  /// order of `nodes` and `engines`.
  [[nodiscard]] SimulatedNode* node(std::uint32_t number);
  [[nodiscard]] SimulatedEngine* engine(base::EngineId id);
  [[nodiscard]] base::Duration randomDuration(base::Duration min, base::Duration max);
  /// Writes a line with the virtual time to traceOutput, if set.
  void writeTraceLine(const std::string& line);
};

}  // namespace tackpick::simulation
