/// \file
/// The platform's machine list, which lags and may flap.
#pragma once

#include <map>
#include <vector>

#include "control/controller.h"
#include "simulation/environment.h"

namespace tackpick::simulation {

/// Remembers every state of every engine's entry and answers with an older one.
class Platform {
 public:
  explicit Platform(Environment& environment) : environment_(environment) {}

  /// The engine's entry changed now.
  void update(const control::EngineRecord& record);
  /// The machine list marks the running incarnation as draining.
  void markDraining(base::EngineId engine);
  /// The list as it was a moment ago; each call draws another moment.
  [[nodiscard]] std::vector<control::MachineListEntry> list();

 private:
  struct Dated {
    base::TimePoint at{};
    control::EngineRecord record;
  };

  Environment& environment_;
  std::map<base::EngineId, std::vector<Dated>> history_;
};

}  // namespace tackpick::simulation
