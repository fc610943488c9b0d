#include "simulation/platform.h"

namespace tackpick::simulation {

void Platform::update(const control::EngineRecord& record) {
  history_[record.engine].push_back({environment_.loop.now(), record});
}

void Platform::markDraining(base::EngineId engine) {
  control::EngineRecord record = history_[engine].back().record;
  record.draining = true;
  update(record);
  // Nobody can know before the list shows it.
  const base::Incarnation incarnation = record.incarnation;
  environment_.loop.after(environment_.options.maxListLag, [this, engine, incarnation] {
    environment_.observations.onEngineDraining(engine, incarnation);
  });
}

std::vector<control::MachineListEntry> Platform::list() {
  const base::Duration lag =
      environment_.drawBetween(environment_.options.minListLag, environment_.options.maxListLag);
  const base::TimePoint moment = environment_.loop.now() - lag;
  std::vector<control::MachineListEntry> machines;
  for (const auto& [engine, states] : history_) {
    const control::EngineRecord* visible = nullptr;
    for (const Dated& dated : states) {
      if (dated.at <= moment) {
        visible = &dated.record;
      }
    }
    if (visible != nullptr) {
      machines.push_back({*visible});
    }
  }
  return machines;
}

}  // namespace tackpick::simulation
