#include "simulation/simulated_platform.h"

namespace tackpick::simulation {

void SimulatedPlatform::update(const control::EngineRecord& record) {
  history_[record.engine].push_back({environment_.loop.now(), record});
}

void SimulatedPlatform::markDraining(base::EngineId engine) {
  control::EngineRecord record = history_[engine].back().record;
  record.draining = true;
  update(record);
  // Controllers cannot see the change before the maximum lag has passed.
  const base::Incarnation incarnation = record.incarnation;
  environment_.loop.scheduleAfter(environment_.options.maxListLag, [this, engine, incarnation] {
    environment_.checker.onEngineDraining(engine, incarnation);
  });
}

std::vector<control::MachineListEntry> SimulatedPlatform::list() {
  const base::Duration lag =
      environment_.randomDuration(environment_.options.minListLag, environment_.options.maxListLag);
  const base::TimePoint asOf = environment_.loop.now() - lag;
  std::vector<control::MachineListEntry> machines;
  for (const auto& [engine, changes] : history_) {
    const control::EngineRecord* visible = nullptr;
    for (const TimestampedRecord& change : changes) {
      if (change.at <= asOf) {
        visible = &change.record;
      }
    }
    if (visible != nullptr) {
      machines.push_back({*visible});
    }
  }
  return machines;
}

}  // namespace tackpick::simulation
