/// \file
/// Trainers' steps on engines that a simulated platform starts, empties and withdraws.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "duties/autoscaler.h"

namespace tackpick::test {

/// What a run cost and how the items fared.
struct LoadFigures {
  double waitingItemSeconds = 0;
  double engineSeconds = 0;  ///< of both kinds
  double price = 0;          ///< by zone and kind
  double meanWait = 0;       ///< of an item, in seconds
  double tenthWait = 0;      ///< a tenth of the items waited for longer, in seconds
  double lateItems = 0;      ///< not whole 7.5 s after they came
  std::uint32_t items = 0;
  std::uint32_t engines = 0;           ///< at the end
  std::vector<std::uint32_t> waiting;  ///< once a second
};

/// What is played.
struct LoadScenario {
  bool taken = false;  ///< half way one zone's preemptible engines and 13 % of the others leave
  std::uint32_t stepPercent = 100;  ///< size of the steps
};

/// 45 engines of 8 slots in three zones, of which a fifth may be withdrawn, and four trainers with
/// a step each 4 s. Engines follow one model each; a new one follows that with most waiting.
class EngineLoad {
 public:
  EngineLoad(duties::CapacityMode mode, LoadScenario scenario, std::uint64_t seed);
  [[nodiscard]] LoadFigures run(base::Duration time);

 private:
  struct Item {
    base::TimePoint cameAt{};
    base::Duration rest{0};
  };
  struct Engine {
    std::string zone;
    duties::InstanceKind kind = duties::InstanceKind::kOnDemand;
    std::size_t model = 0;
    base::TimePoint servesFrom{};
    bool draining = false;
    base::TimePoint leavesAt = base::TimePoint::max();
    std::vector<Item> running;
  };
  void addEngine(const std::string& zone, duties::InstanceKind kind, base::TimePoint servesFrom);
  void offerSteps();
  void serve(base::Duration step);
  void takeAway();
  void set(const duties::ScaleCall& call);
  void decide();
  [[nodiscard]] std::size_t neediestModel() const;
  [[nodiscard]] duties::ScaledService scaledService() const;
  void account(base::Duration step);

  const LoadScenario m_scenario;
  base::SeededRandom m_random;
  base::TimePoint m_now{base::seconds(1000)};
  const base::TimePoint m_begun = m_now;
  duties::Scaling m_scaling;
  duties::CapacityState m_state;
  duties::Autoscaler m_duty;
  std::vector<Engine> m_engines;
  std::vector<std::vector<Item>> m_queues;
  std::vector<base::TimePoint> m_lastStep;
  std::vector<double> m_waits;
  LoadFigures m_figures;
};

}  // namespace tackpick::test
