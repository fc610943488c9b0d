/// \file
/// What every simulated machine and actor shares.
#pragma once

#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "base/random.h"
#include "simulation/event_loop.h"
#include "simulation/metering.h"
#include "simulation/observations.h"
#include "simulation/options.h"
#include "simulation/simulated_network.h"

namespace tackpick::simulation {

class NodeHost;
class EngineHost;
class Platform;

/// Machine of every caller, trainer and operator; its links are never cut.
inline constexpr MachineId kClientMachine{9000};
/// Machine of the platform's machine list.
inline constexpr MachineId kPlatformMachine{9001};

/// The shared parts of one world. Owned by World; all on one thread.
struct Environment {
  Environment(const SimulationOptions& runOptions, std::uint64_t seed);
  ~Environment();
  Environment(const Environment&) = delete;
  Environment& operator=(const Environment&) = delete;

  const SimulationOptions options;
  EventLoop loop;
  base::SeededRandom random;
  SimulatedNetwork network;
  Observations observations;
  std::ostream* trace = nullptr;   ///< set to see the run
  bool metering = false;           ///< whether meters are filled; decisions never depend on it
  std::array<RoleCost, 3> meters;  ///< by NodeRole

  std::vector<std::unique_ptr<NodeHost>> nodes;
  std::vector<std::unique_ptr<EngineHost>> engines;
  std::unique_ptr<Platform> platform;

  /// Nodes and engines are numbered from one, in the order of their lists.
  [[nodiscard]] NodeHost* node(std::uint32_t number);
  [[nodiscard]] EngineHost* engine(base::EngineId id);
  [[nodiscard]] base::Duration drawBetween(base::Duration shortest, base::Duration longest);
  /// Writes a line of the trace.
  void say(const std::string& line);
};

}  // namespace tackpick::simulation
