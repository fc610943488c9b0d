/// \file
/// What placing an item costs the ledgers' leader, by engines.
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

struct Costs {
  double placeUs = 0;
  double planUs = 0;  ///< before the first placement of a plan
  double reportUs = 0;
};

class Timer {
 public:
  [[nodiscard]] double micros() const {
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - m_begun;
    return took.count();
  }

 private:
  std::chrono::steady_clock::time_point m_begun = std::chrono::steady_clock::now();
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

std::map<std::string, jobs::EventIntervalReport> makeReports(std::uint32_t engines) {
  constexpr double kFastMs = 40;
  constexpr double kSlowMs = 90;
  std::map<std::string, jobs::EventIntervalReport> reports;
  for (std::uint32_t i = 0; i < engines; ++i) {
    reports["engine" + std::to_string(i)] = {i % kZones == 0 ? kSlowMs : kFastMs};
  }
  return reports;
}

jobs::ItemRequirements requirementsOf(std::uint32_t item) {
  constexpr std::uint32_t kMaxEvents = 150;
  return {"model" + std::to_string(item % kModels), 1, 1.0 + item % kMaxEvents,
          base::milliseconds(7500)};
}

Costs measure(std::uint32_t engines) {
  jobs::EnginePlacement placement;
  base::TimePoint now{base::seconds(100)};
  placement.setEngines(makeEngines(engines));
  const auto reports = makeReports(engines);
  base::TimePoint reportedAt{};
  double reportsUs = 0;
  double plansUs = 0;
  double placesUs = 0;
  std::uint32_t told = 0;
  for (std::uint32_t plan = 0; plan < kPlans; ++plan) {
    now += kPlanInterval;
    if (now - reportedAt >= kReportInterval) {
      reportedAt = now;
      const Timer timer;
      placement.recordEventIntervals(reports, now);
      reportsUs += timer.micros();
      ++told;
    }
    const Timer planning;
    placement.setLoads({}, now);
    for (std::uint32_t model = 0; model < kModels; ++model) {
      (void)placement.place(requirementsOf(model));
    }
    plansUs += planning.micros();
    const Timer placing;
    for (std::uint32_t item = 0; item < kItemsPerPlan; ++item) {
      (void)placement.place(requirementsOf(item));
    }
    placesUs += placing.micros();
  }
  return {placesUs / (kPlans * kItemsPerPlan), plansUs / kPlans, reportsUs / told};
}

}  // namespace

int main() {
  std::printf("microseconds\n%8s %10s %14s %20s\n", "engines", "an item", "a plan's begin",
              "reports of all paces");
  for (const std::uint32_t engines : {100U, 1000U, 10000U}) {
    const Costs costs = measure(engines);
    std::printf("%8u %10.2f %14.1f %20.1f\n", engines, costs.placeUs, costs.planUs, costs.reportUs);
  }
  return 0;
}
