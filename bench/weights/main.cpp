/// \file
/// What a turn of LoadScheduler costs the controllers' leader, by engines that follow a model.
#include <chrono>
#include <cstdio>
#include <string>

#include "directory/load_scheduler.h"

namespace base = tackpick::base;
namespace directory = tackpick::directory;
namespace jobs = tackpick::jobs;

namespace {

constexpr int kModels = 6;
constexpr std::uint32_t kSlots = 8;
constexpr int kSteps = 6;
constexpr int kTurnsPerStep = 40;
constexpr base::Duration kTurn = base::milliseconds(50);

std::string modelName(int index) { return "model" + std::to_string(index % kModels); }

void apply(directory::DirectoryState& state, const directory::DirectoryCommand& command) {
  (void)state.apply(1, base::encode(command));
}

/// Engines in three zones, the same number for each model.
struct Fleet {
  explicit Fleet(int engineCount) {
    directory::Configuration configuration;
    configuration.version = 1;
    configuration.services = {{"s", "/health", 10, 4, {}}};
    for (int i = 0; i < kModels; ++i) {
      configuration.services[0].models.push_back(modelName(i));
    }
    apply(state, directory::ReplaceConfiguration{configuration});
    for (int i = 0; i < engineCount; ++i) {
      const std::string id = "engine" + std::to_string(i);
      const std::string zone = "zone" + std::to_string(i % 3);
      apply(state,
            directory::RegisterInstance{
                {id, "s", "10.0.0.1", static_cast<std::uint16_t>(i + 1), zone, kSlots, false}});
      assignments[id] = modelName(i);
      for (int model = 0; model < kModels; ++model) {
        engines[id].versions[modelName(model)] = 1;
      }
    }
  }
  directory::DirectoryState state;
  directory::ReportedEngines engines;
  directory::EngineAssignments assignments;
};

/// Mean microseconds of a turn in which engines load for the steps of six trainers.
double measure(int engineCount, directory::LoadOrder order) {
  Fleet fleet(engineCount);
  directory::LoadSchedulerSettings settings;
  settings.loadOrder = order;
  // Each engine follows a model: none is on standby.
  settings.assignments.requirements.minEngines = static_cast<std::size_t>(engineCount);
  directory::LoadScheduler orders(settings);
  orders.reset({}, fleet.assignments);
  base::TimePoint now{base::seconds(100)};
  const auto items = static_cast<std::uint32_t>(engineCount) * kSlots / kModels;
  std::chrono::duration<double, std::micro> spent{0};
  for (std::uint64_t step = 2; step < 2 + kSteps; ++step) {
    jobs::OpenJobsByModel works;
    for (int i = 0; i < kModels; ++i) {
      apply(fleet.state, directory::PublishVersion{modelName(i), step});
      works[modelName(i)].push_back({modelName(i) + "-" + std::to_string(step), step - 1, items,
                                     items / 4, base::Duration{0}, base::seconds(7)});
    }
    orders.setOpenJobs(works, now);
    for (int turn = 0; turn < kTurnsPerStep; ++turn) {
      for (auto& [id, engine] : fleet.engines) {
        engine.lastSeenAt = now;
      }
      const auto begun = std::chrono::steady_clock::now();
      const auto given = orders.step(fleet.state, fleet.engines, {}, 1, now);
      spent += std::chrono::steady_clock::now() - begun;
      for (const directory::LoadCommand& loaded : given) {
        fleet.engines[loaded.instance].versions[loaded.model] = loaded.version;
      }
      now += kTurn;
    }
  }
  return spent.count() / (kSteps * kTurnsPerStep);
}

}  // namespace

int main() {
  std::printf("microseconds a turn\n%8s %14s %8s\n", "engines", "oldest first", "by need");
  for (const int engines : {100, 1000, 10000}) {
    std::printf("%8d %14.0f %8.0f\n", engines, measure(engines, directory::LoadOrder::kOldestFirst),
                measure(engines, directory::LoadOrder::kByDemand));
  }
  return 0;
}
