/// \file
/// Simulation of a cluster with load and faults in virtual time.
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

/// Result of a run.
struct RunResult {
  std::uint64_t seed = 0;
  std::uint64_t historyHash = 0;
  base::Duration simulated{0};
  std::vector<Violation> violations;
  RunStatistics statistics;
  std::array<RoleCost, 3> roleCosts;  ///< by NodeRole; recorded if costs are measured
  double trainerIdleFraction = 0.0;
  double meanStaleness = 0.0;
  double slotUtilization = 0.0;  ///< mean fraction of engine slots in use during the load
};

/// Starts a cluster, applies the settings, generates load and faults, waits until all work has
/// ended and checks the invariants.
class Simulator {
 public:
  Simulator(const SimulationOptions& options, std::uint64_t seed, std::ostream* traceOutput);
  ~Simulator();
  Simulator(const Simulator&) = delete;
  Simulator& operator=(const Simulator&) = delete;

  [[nodiscard]] RunResult run();

 private:
  void build();
  /// Applies the initial settings. Returns false on timeout.
  bool setUp();
  /// Samples the fraction of engine slots in use at regular intervals until the load ends.
  void sampleSlotUtilization();
  void startLoad();
  void startMeasurement();
  void stopLoad();
  /// Waits until all outstanding work has ended. Reports what has not ended as violations.
  void quiesce();
  [[nodiscard]] bool isQuiescent() const;
  /// Writes the state of all replicas to the trace.
  void describeReplicas();
  void checkFinalState();

  const std::uint64_t seed_;
  Environment environment_;
  engine::WeightStore store_;
  std::uint64_t published_version_ = 1;
  std::unique_ptr<CallerActor> m_callers;
  std::vector<std::unique_ptr<TrainerActor>> trainers_;
  std::vector<std::unique_ptr<OperatorActor>> operators_;
  std::unique_ptr<FaultInjector> m_faultInjector;
  bool load_ended_ = false;
  double m_utilizationSum = 0.0;
  std::uint64_t m_utilizationSamples = 0;
};

}  // namespace tackpick::simulation
