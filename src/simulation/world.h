/// \file
/// A whole fleet with its load and faults, in virtual time.
#pragma once

#include <cstdint>
#include <memory>
#include <ostream>
#include <vector>

#include "engine/weight_store.h"
#include "simulation/caller_actor.h"
#include "simulation/environment.h"
#include "simulation/fault_injector.h"
#include "simulation/operator_actor.h"
#include "simulation/trainer_actor.h"

namespace tackpick::simulation {

/// How a run went.
struct RunResult {
  std::uint64_t seed = 0;
  std::uint64_t historyHash = 0;
  base::Duration simulated{0};
  std::vector<Violation> violations;
  RunFigures figures;
  std::array<RoleCost, 3> meters;  ///< by NodeRole; filled when the run is metered
  double trainerIdle = 0.0;
  double meanStaleness = 0.0;
  double busyShare = 0.0;  ///< of the engines' slots, while load was offered
};

/// Builds the fleet, sets it up, loads it under faults, lets it settle and judges it.
class World {
 public:
  World(const SimulationOptions& options, std::uint64_t seed, std::ostream* trace);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  [[nodiscard]] RunResult run();

 private:
  void build();
  /// Applies the first configuration; false when that took too long.
  bool setUp();
  /// Samples how many of the engines' slots are busy, until the load ends.
  void sampleBusyShare();
  void startLoad();
  void beginMeasuring();
  void stopLoad();
  /// Waits until everything asked for has ended; notes what has not.
  void settle();
  [[nodiscard]] bool hasSettled() const;
  /// Writes every replica's state to the trace.
  void describeReplicas();
  void judge();

  const std::uint64_t seed_;
  Environment environment_;
  engine::WeightStore store_;
  std::uint64_t published_version_ = 1;
  std::unique_ptr<CallerActor> callers_;
  std::vector<std::unique_ptr<TrainerActor>> trainers_;
  std::vector<std::unique_ptr<OperatorActor>> operators_;
  std::unique_ptr<FaultInjector> faults_;
  bool load_ended_ = false;
  double busy_sum_ = 0.0;
  std::uint64_t busy_samples_ = 0;
};

}  // namespace tackpick::simulation
