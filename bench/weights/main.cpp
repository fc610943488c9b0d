/// \file
/// Measures the duration of LoadScheduler::step() at the controllers' leader by number of engines.
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
constexpr int kSchedulerStepsPerVersion = 40;
constexpr base::Duration kStepInterval = base::milliseconds(50);

std::string modelName(int index) { return "model" + std::to_string(index % kModels); }

void apply(directory::DirectoryState& state, const directory::DirectoryCommand& command) {
  (void)state.apply(1, base::encode(command));
}

/// Engines in three zones, evenly assigned to the models.
struct EngineFleet {
  explicit EngineFleet(int engineCount) {
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

/// Returns the mean duration of LoadScheduler::step() in microseconds, while the engines load the
/// versions that the trainers of all models publish step by step.
double measure(int engineCount, directory::LoadOrder order) {
  EngineFleet fleet(engineCount);
  directory::LoadSchedulerSettings settings;
  settings.loadOrder = order;
  // Assigns every engine to a model, so that no engine is on standby.
  settings.assignments.requirements.minEngines = static_cast<std::size_t>(engineCount);
  directory::LoadScheduler scheduler(settings);
  scheduler.reset({}, fleet.assignments);
  base::TimePoint now{base::seconds(100)};
  const auto items = static_cast<std::uint32_t>(engineCount) * kSlots / kModels;
  std::chrono::duration<double, std::micro> elapsed{0};
  for (std::uint64_t step = 2; step < 2 + kSteps; ++step) {
    jobs::OpenJobsByModel openJobs;
    for (int i = 0; i < kModels; ++i) {
      apply(fleet.state, directory::PublishVersion{modelName(i), step});
      openJobs[modelName(i)].push_back({modelName(i) + "-" + std::to_string(step), step - 1, items,
                                        items / 4, base::Duration{0}, base::seconds(7)});
    }
    scheduler.setOpenJobs(openJobs, now);
    for (int turn = 0; turn < kSchedulerStepsPerVersion; ++turn) {
      for (auto& [id, engine] : fleet.engines) {
        engine.lastSeenAt = now;
      }
      const auto start = std::chrono::steady_clock::now();
      const auto commands = scheduler.step(fleet.state, fleet.engines, {}, 1, now);
      elapsed += std::chrono::steady_clock::now() - start;
      for (const directory::LoadCommand& command : commands) {
        fleet.engines[command.instance].versions[command.model] = command.version;
      }
      now += kStepInterval;
    }
  }
  return elapsed.count() / (kSteps * kSchedulerStepsPerVersion);
}

}  // namespace

int main() {
  std::printf("microseconds per scheduler step\n%8s %14s %8s\n", "engines", "oldest first",
              "by need");
  for (const int engines : {100, 1000, 10000}) {
    std::printf("%8d %14.0f %8.0f\n", engines, measure(engines, directory::LoadOrder::kOldestFirst),
                measure(engines, directory::LoadOrder::kByDemand));
  }
  return 0;
}
