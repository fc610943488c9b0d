/// \file
/// The answer of the ledgers' leader to an operator who asks what waits and why.
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

/// Rows of each list in one report, so that its size does not grow with the cluster.
inline constexpr std::size_t kMaxReportRows = 200;

/// One gateway that asks for items.
struct GatewayReport {
  base::NodeId gateway;
  std::string zone;
  std::uint32_t slots = 0;  ///< that it takes now
  std::uint32_t held = 0;   ///< items
  bool active = false;      ///< it runs items; else it stands by
  std::optional<base::Duration> slowFor;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(gateway, zone, slots, held, active, slowFor);
  }
};

/// The first rows of each list, with how many there are in all.
struct WorkReport {
  std::vector<JobSummary> jobs;  ///< least slack first
  std::uint64_t totalJobs = 0;
  std::map<std::string, TenantSummary> tenants;
  std::vector<EngineSummary> engines;  ///< slowest first, those of unknown pace last
  std::uint64_t totalEngines = 0;
  std::vector<GatewayReport> gateways;  ///< slow ones first, then those with most slots
  std::uint64_t totalGateways = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(jobs, totalJobs, tenants, engines, totalEngines, gateways, totalGateways);
  }
};

/// Orders and shortens what the leader knows at `now`.
[[nodiscard]] WorkReport makeWorkReport(WorkSummary work, std::vector<EngineSummary> engines,
                                        const std::vector<GatewaySummary>& gateways,
                                        base::TimePoint now);

}  // namespace tackpick::jobs
