/// \file
/// What the ledgers' leader tells operators about open jobs.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace tackpick::jobs {

/// One open job.
struct JobSight {
  std::string job;
  std::string tenant;
  std::string model;
  std::uint32_t priority = 0;  ///< 0 is the highest
  std::uint32_t waiting = 0;   ///< items at no engine
  std::uint32_t running = 0;   ///< leased items
  /// As OpenWork::slack.
  base::Duration slack = base::Duration::max();
  base::Duration age{0};  ///< since the leader first saw it
};

/// What one tenant has and waits for.
struct TenantSight {
  std::uint32_t waiting = 0;  ///< items
  std::uint32_t running = 0;  ///< items
  double share = 0;           ///< part of all running items
};

/// Open jobs in the order of their submission, and their tenants.
struct WorkSight {
  std::vector<JobSight> jobs;
  std::map<std::string, TenantSight> tenants;
};

}  // namespace tackpick::jobs
