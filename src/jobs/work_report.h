/// \file
/// Report of the ledgers' leader about open work, for operators.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/serialization.h"
#include "base/time.h"
#include "jobs/gateway_selector.h"
#include "jobs/work_summary.h"

namespace tackpick::jobs {

/// Maximum number of rows of each list, so that the size of a report is bounded.
inline constexpr std::size_t kMaxReportRows = 200;

/// A gateway that requests items.
struct GatewayReport {
  base::NodeId gateway;
  std::string zone;
  std::uint32_t slots = 0;  ///< engine slots that it serves at present
  std::uint32_t held = 0;   ///< leased items
  bool active = false;      ///< it runs items; false: it is on standby
  std::optional<base::Duration> slowFor;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(gateway, zone, slots, held, active, slowFor);
  }
};

/// The first rows of each list, and the total number of rows.
struct WorkReport {
  std::vector<JobSummary> jobs;  ///< least slack first
  std::uint64_t totalJobs = 0;
  std::map<std::string, TenantSummary> tenants;
  std::vector<EngineSummary> engines;  ///< slowest first, unknown event intervals last
  std::uint64_t totalEngines = 0;
  std::vector<GatewayReport> gateways;  ///< slow gateways first, then by descending slots
  std::uint64_t totalGateways = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(jobs, totalJobs, tenants, engines, totalEngines, gateways, totalGateways);
  }
};

/// Builds a report from the leader's state at `now`; sorts and truncates the lists.
[[nodiscard]] WorkReport makeWorkReport(WorkSummary work, std::vector<EngineSummary> engines,
                                        const std::vector<GatewaySummary>& gateways,
                                        base::TimePoint now);

}  // namespace tackpick::jobs
