/// \file
/// Input of the autoscaler: services whose instances are started on the platform.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "directory/directory_state.h"
#include "directory/view_history.h"
#include "duties/autoscaler.h"
#include "jobs/open_jobs.h"

namespace tackpick::directory {

/// Open jobs as last reported by the ledgers' leader.
struct ReportedOpenJobs {
  jobs::OpenJobsByModel openJobs;
  std::optional<base::TimePoint> reportedAt;
};

/// Returns the services with scaling settings. `recentDemand` by model: see ModelDemand.
[[nodiscard]] std::vector<duties::ScaledService> scaledServices(
    const DirectoryState& state, const std::vector<InstanceViewRef>& instances,
    const ReportedOpenJobs& reportedJobs, const std::map<std::string, double>& recentDemand,
    base::TimePoint now);

}  // namespace tackpick::directory
