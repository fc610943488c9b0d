/// Reports of open work for operators: order and bounds.
#include "jobs/work_report.h"

#include <criterion/criterion.h>

#include "jobs/engine_placement.h"

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr base::TimePoint kNow{base::seconds(100)};

jobs::JobSummary job(const std::string& id, base::Duration slack) {
  jobs::JobSummary summary;
  summary.job = id;
  summary.slack = slack;
  return summary;
}

jobs::EngineSummary engine(const std::string& id, double eventIntervalMs) {
  return {id, "a", eventIntervalMs, 100, {}, 0};
}

jobs::GatewaySummary gateway(std::uint32_t number, std::uint32_t slots, bool slow) {
  jobs::GatewaySummary summary{base::makeNodeId(number, 1), "a", slots, 0, true, {}};
  if (slow) {
    summary.slowSince = kNow - base::seconds(2);
  }
  return summary;
}

}  // namespace

Test(work_report, late_jobs_and_slow_engines_and_gateways_come_first) {
  jobs::WorkSummary work;
  work.jobs = {job("unknown", base::Duration::max()), job("soon", base::seconds(1)),
               job("late", -base::seconds(1)), job("as soon", base::seconds(1))};
  const jobs::WorkReport report = jobs::makeWorkReport(
      work, {engine("unknown", 0), engine("fast", 4), engine("slow", 9)},
      {gateway(1, 6, false), gateway(2, 24, false), gateway(3, 2, true)}, kNow);
  cr_assert_eq(report.jobs[0].job, "late");
  cr_assert_eq(report.jobs[1].job, "soon", "ties are in the order of submission");
  cr_assert_eq(report.jobs[2].job, "as soon");
  cr_assert_eq(report.jobs[3].job, "unknown");
  cr_assert_eq(report.engines[0].id, "slow");
  cr_assert_eq(report.engines[2].id, "unknown");
  cr_assert_eq(base::nodeNumber(report.gateways[0].gateway), 3U);
  cr_assert(*report.gateways[0].slowFor == base::seconds(2));
  cr_assert_eq(base::nodeNumber(report.gateways[1].gateway), 2U);
}

Test(work_report, size_does_not_grow_with_the_cluster) {
  constexpr std::uint32_t kMany = 1000;
  jobs::WorkSummary work;
  std::vector<jobs::EngineSummary> engines;
  std::vector<jobs::GatewaySummary> gateways;
  for (std::uint32_t i = 0; i < kMany; ++i) {
    work.jobs.push_back(job(std::to_string(i), base::seconds(kMany - i)));
    engines.push_back(engine(std::to_string(i), i));
    gateways.push_back(gateway(i + 1, i, false));
  }
  const jobs::WorkReport report = jobs::makeWorkReport(work, engines, gateways, kNow);
  cr_assert_eq(report.jobs.size(), jobs::kMaxReportRows);
  cr_assert_eq(report.jobs[0].job, "999");
  cr_assert_eq(report.engines.size(), jobs::kMaxReportRows);
  cr_assert_eq(report.gateways.size(), jobs::kMaxReportRows);
  cr_assert_eq(report.totalJobs, kMany);
  cr_assert_eq(report.totalEngines, kMany);
  cr_assert_eq(report.totalGateways, kMany);

  const auto decoded = base::decode<jobs::WorkReport>(base::encode(report));
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->jobs[0].job, "999");
  cr_assert_eq(decoded->totalGateways, kMany);
}

Test(work_report, ready_slots_are_at_engines_that_hold_the_weights_and_accept_items) {
  jobs::EnginePlacement placement;
  jobs::EngineInfo older{"older", 4, {{"m", 1}}};
  jobs::EngineInfo newer{"newer", 8, {{"m", 2}}};
  jobs::EngineInfo standby{"reserve", 2, {{"m", 2}}};
  standby.standby = true;
  jobs::EngineInfo loading{"loading", 16, {{"m", 3}}};
  loading.acceptsItems = false;
  placement.setEngines({older, newer, standby, loading});
  cr_assert_eq(placement.readySlots("m", 1), 14U);
  cr_assert_eq(placement.readySlots("m", 2), 10U);
  cr_assert_eq(placement.readySlots("m", 3), 0U);
  cr_assert_eq(placement.readySlots("other", 0), 0U);
}
