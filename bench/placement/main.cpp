/// \file
/// Measures the duration of item placement at the ledgers' leader by number of engines.
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "jobs/engine_placement.h"

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kModels = 4;
constexpr std::uint32_t kZones = 4;
constexpr std::uint32_t kPlans = 200;
constexpr std::uint32_t kItemsPerPlan = 500;
constexpr base::Duration kPlanInterval = base::milliseconds(20);
constexpr base::Duration kReportInterval = base::milliseconds(500);

/// Mean durations in microseconds.
struct Costs {
  double placementUs = 0;  ///< one placement
  double planUs = 0;       ///< new loads and the first placement for each model
  double reportUs = 0;     ///< one report of all event intervals
};

class Timer {
 public:
  [[nodiscard]] double microseconds() const {
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - m_start;
    return elapsed.count();
  }

 private:
  std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
};

std::vector<jobs::EngineInfo> makeEngines(std::uint32_t count) {
  std::vector<jobs::EngineInfo> engines;
  for (std::uint32_t i = 0; i < count; ++i) {
    engines.push_back({"engine" + std::to_string(i),
                       kSlots,
                       {{"model" + std::to_string(i / kZones % kModels), 1}},
                       "zone" + std::to_string(i % kZones)});
  }
  return engines;
}

std::map<std::string, jobs::EventIntervalReport> makeEventIntervalReports(std::uint32_t engines) {
  constexpr double kFastMs = 40;
  constexpr double kSlowMs = 90;
  std::map<std::string, jobs::EventIntervalReport> reports;
  for (std::uint32_t i = 0; i < engines; ++i) {
    reports["engine" + std::to_string(i)] = {i % kZones == 0 ? kSlowMs : kFastMs};
  }
  return reports;
}

jobs::ItemRequirements makeRequirements(std::uint32_t item) {
  constexpr std::uint32_t kMaxEvents = 150;
  return {"model" + std::to_string(item % kModels), 1, 1.0 + item % kMaxEvents,
          base::milliseconds(7500)};
}

Costs measure(std::uint32_t engines) {
  jobs::EnginePlacement placement;
  base::TimePoint now{base::seconds(100)};
  placement.setEngines(makeEngines(engines));
  const auto reports = makeEventIntervalReports(engines);
  base::TimePoint reportedAt{};
  double totalReportUs = 0;
  double totalPlanUs = 0;
  double totalPlacementUs = 0;
  std::uint32_t reportCount = 0;
  for (std::uint32_t plan = 0; plan < kPlans; ++plan) {
    now += kPlanInterval;
    if (now - reportedAt >= kReportInterval) {
      reportedAt = now;
      const Timer reportTimer;
      placement.recordEventIntervals(reports, now);
      totalReportUs += reportTimer.microseconds();
      ++reportCount;
    }
    const Timer planTimer;
    placement.setLoads({}, now);
    for (std::uint32_t model = 0; model < kModels; ++model) {
      (void)placement.place(makeRequirements(model));
    }
    totalPlanUs += planTimer.microseconds();
    const Timer placementTimer;
    for (std::uint32_t item = 0; item < kItemsPerPlan; ++item) {
      (void)placement.place(makeRequirements(item));
    }
    totalPlacementUs += placementTimer.microseconds();
  }
  return {totalPlacementUs / (kPlans * kItemsPerPlan), totalPlanUs / kPlans,
          totalReportUs / reportCount};
}

}  // namespace

int main() {
  std::printf("microseconds\n%8s %10s %14s %20s\n", "engines", "per item", "plan start",
              "interval reports");
  for (const std::uint32_t engines : {100U, 1000U, 10000U}) {
    const Costs costs = measure(engines);
    std::printf("%8u %10.2f %14.1f %20.1f\n", engines, costs.placementUs, costs.planUs,
                costs.reportUs);
  }
  return 0;
}
