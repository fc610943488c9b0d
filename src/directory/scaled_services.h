/// \file
/// What the controllers' leader knows of the services whose instances the platform starts.
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

/// Open work as the ledgers' leader last told it.
struct ReportedOpenJobs {
  jobs::OpenJobsByModel works;
  std::optional<base::TimePoint> reportedAt;
};

/// The services with bounds on their instances. `recentDemand` by model: see ModelDemand.
[[nodiscard]] std::vector<duties::ScaledService> scaledServices(
    const DirectoryState& state, const std::vector<InstanceViewRef>& instances,
    const ReportedOpenJobs& work, const std::map<std::string, double>& recentDemand,
    base::TimePoint now);

}  // namespace tackpick::directory
