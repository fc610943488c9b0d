/// \file
/// Simulated hosting platform.
#pragma once

#include <map>
#include <vector>

#include "control/controller.h"
#include "simulation/environment.h"

namespace tackpick::simulation {

/// Serves the machine list with a random lag, so that successive reads may go back in time.
class SimulatedPlatform {
 public:
  explicit SimulatedPlatform(Environment& environment) : environment_(environment) {}

  /// Records a change of the engine's entry.
  void update(const control::EngineRecord& record);
  /// Marks the running incarnation as draining in the machine list.
  void markDraining(base::EngineId engine);
  /// Returns the list as it was a random lag ago.
  [[nodiscard]] std::vector<control::MachineListEntry> list();

 private:
  struct TimestampedRecord {
    base::TimePoint at{};
    control::EngineRecord record;
  };

  Environment& environment_;
  std::map<base::EngineId, std::vector<TimestampedRecord>> history_;
};

}  // namespace tackpick::simulation
