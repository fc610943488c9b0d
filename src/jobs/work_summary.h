/// \file
/// Summaries of open jobs, tenants and engines, for operators.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/serialization.h"
#include "base/time.h"

namespace tackpick::jobs {

/// Summary of an open job.
struct JobSummary {
  std::string job;
  std::string tenant;
  std::string model;
  std::uint64_t minimumVersion = 0;  ///< oldest version of the weights that may run its items
  /// Slots at engines that accept items and hold that version or newer.
  std::uint32_t readySlots = 0;
  std::uint32_t priority = 0;  ///< 0 is the highest
  std::uint32_t waiting = 0;   ///< items without a lease
  std::uint32_t running = 0;   ///< leased items
  /// See OpenJob::slack.
  base::Duration slack = base::Duration::max();
  base::Duration age{0};  ///< time since the leader first saw it

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, tenant, model, minimumVersion, readySlots, priority, waiting, running, slack, age);
  }
};

/// Summary of a tenant's items.
struct TenantSummary {
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  double share = 0;  ///< share of all running items

  template <class Archive>
  void serialize(Archive& archive) {
    archive(waiting, running, share);
  }
};

/// Summary of an engine's state in the placement.
struct EngineSummary {
  std::string id;
  std::string zone;
  double eventIntervalMs = 0;           ///< expected event interval in milliseconds; zero: unknown
  std::uint32_t slowdownPercent = 100;  ///< current slowdown in percent of normal
  /// Time since the last sample; std::nullopt: the event interval is the median of the zone.
  std::optional<base::Duration> sampleAge;
  std::uint32_t items = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, zone, eventIntervalMs, slowdownPercent, sampleAge, items);
  }
};

/// Summaries of open jobs, in the order of their submission, and of their tenants.
struct WorkSummary {
  std::vector<JobSummary> jobs;
  std::map<std::string, TenantSummary> tenants;
};

}  // namespace tackpick::jobs
