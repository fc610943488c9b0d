/// \file
/// Simulation of training steps on engines that a platform starts, drains and preempts.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "duties/autoscaler.h"

namespace tackpick::test {

/// Costs and waiting times of a simulation.
struct SimulationResult {
  double waitingItemSeconds = 0;
  double engineSeconds = 0;  ///< engine seconds of both kinds
  double price = 0;          ///< total price of the engine seconds, by zone and kind
  double meanWait = 0;       ///< mean wait of an item, in seconds
  double p90Wait = 0;        ///< 90th percentile of the wait, in seconds
  double lateItems = 0;      ///< items not complete within kDeadline
  std::uint32_t items = 0;
  std::uint32_t engines = 0;           ///< number of engines at the end
  std::vector<std::uint32_t> waiting;  ///< waiting items, sampled once a second
};

/// Conditions of a simulation.
struct LoadScenario {
  /// Whether the preemptible engines of one zone and some engines of all kinds and zones are
  /// preempted halfway through the run.
  bool preempt = false;
  std::uint32_t stepPercent = 100;  ///< size of the steps, relative to kStepItems
};

/// Engines in three zones, a fifth of them preemptible, and four trainers that each submit a step
/// every kStepInterval. Each engine serves one model; a new engine serves the model with the fewest
/// engines for its step size.
class EngineSimulation {
 public:
  EngineSimulation(duties::CapacityMode mode, LoadScenario scenario, std::uint64_t seed);
  [[nodiscard]] SimulationResult run(base::Duration time);

 private:
  struct Item {
    base::TimePoint arrivedAt{};
    base::Duration remaining{0};
  };
  struct Engine {
    std::string zone;
    duties::InstanceKind kind = duties::InstanceKind::kOnDemand;
    std::size_t model = 0;
    base::TimePoint readyAt{};
    bool draining = false;
    base::TimePoint terminatesAt = base::TimePoint::max();
    std::vector<Item> running;
  };
  void addEngine(const std::string& zone, duties::InstanceKind kind, base::TimePoint readyAt);
  void submitSteps();
  void serve(base::Duration step);
  void preemptEngines();
  void set(const duties::ScaleCall& call);
  void runAutoscaler();
  [[nodiscard]] std::size_t leastServedModel() const;
  [[nodiscard]] duties::ScaledService scaledService() const;
  void recordMetrics(base::Duration step);

  const LoadScenario m_scenario;
  base::SeededRandom m_random;
  base::TimePoint m_now{base::seconds(1000)};
  const base::TimePoint m_startedAt = m_now;
  duties::Scaling m_scaling;
  duties::CapacityState m_state;
  duties::Autoscaler m_autoscaler;
  std::vector<Engine> m_engines;
  std::vector<std::vector<Item>> m_queues;
  std::vector<base::TimePoint> m_lastStep;
  std::vector<double> m_waits;
  SimulationResult m_result;
};

}  // namespace tackpick::test
