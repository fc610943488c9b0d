#include "jobs/work_report.h"

#include <algorithm>
#include <utility>

namespace tackpick::jobs {
namespace {

/// Sorts rows by `before`, truncates them to kMaxReportRows and returns their original number.
template <typename Row, typename Before>
std::uint64_t sortAndTruncate(std::vector<Row>& rows, Before before) {
  const std::uint64_t total = rows.size();
  std::stable_sort(rows.begin(), rows.end(), before);
  rows.resize(std::min(rows.size(), kMaxReportRows));
  return total;
}

std::vector<GatewayReport> reportsOf(const std::vector<GatewaySummary>& gateways,
                                     base::TimePoint now) {
  std::vector<GatewayReport> reports;
  reports.reserve(gateways.size());
  for (const GatewaySummary& summary : gateways) {
    GatewayReport report{summary.gateway, summary.zone,   summary.slots,
                         summary.held,    summary.active, {}};
    if (summary.slowSince) {
      report.slowFor = now - *summary.slowSince;
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace

WorkReport makeWorkReport(WorkSummary work, std::vector<EngineSummary> engines,
                          const std::vector<GatewaySummary>& gateways, base::TimePoint now) {
  WorkReport report;
  report.jobs = std::move(work.jobs);
  report.totalJobs = sortAndTruncate(
      report.jobs,
      [](const JobSummary& left, const JobSummary& right) { return left.slack < right.slack; });
  report.tenants = std::move(work.tenants);
  report.engines = std::move(engines);
  report.totalEngines =
      sortAndTruncate(report.engines, [](const EngineSummary& left, const EngineSummary& right) {
        return left.eventIntervalMs > right.eventIntervalMs;
      });
  report.gateways = reportsOf(gateways, now);
  report.totalGateways =
      sortAndTruncate(report.gateways, [](const GatewayReport& left, const GatewayReport& right) {
        return std::pair(left.slowFor.has_value(), left.slots) >
               std::pair(right.slowFor.has_value(), right.slots);
      });
  return report;
}

}  // namespace tackpick::jobs
