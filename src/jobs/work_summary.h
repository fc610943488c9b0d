/// \file
/// What the ledgers' leader tells operators about open jobs and what runs them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/serialization.h"
#include "base/time.h"

namespace tackpick::jobs {

/// One open job.
struct JobSummary {
  std::string job;
  std::string tenant;
  std::string model;
  std::uint64_t minimumVersion = 0;  ///< oldest weights that may make its texts
  std::uint32_t readySlots = 0;      ///< at engines that take items and hold that version or newer
  std::uint32_t priority = 0;        ///< 0 is the highest
  std::uint32_t waiting = 0;         ///< items at no engine
  std::uint32_t running = 0;         ///< leased items
  /// As OpenJob::slack.
  base::Duration slack = base::Duration::max();
  base::Duration age{0};  ///< since the leader first saw it

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, tenant, model, minimumVersion, readySlots, priority, waiting, running, slack, age);
  }
};

/// What one tenant has and waits for.
struct TenantSummary {
  std::uint32_t waiting = 0;  ///< items
  std::uint32_t running = 0;  ///< items
  double share = 0;           ///< part of all running items

  template <class Archive>
  void serialize(Archive& archive) {
    archive(waiting, running, share);
  }
};

/// What placing goes by at one engine.
struct EngineSummary {
  std::string id;
  std::string zone;
  double eventIntervalMs = 0;           ///< expected; zero: unknown
  std::uint32_t slowdownPercent = 100;  ///< at this moment, of what is usual
  /// Since the last sample; nothing: the pace is what is typical of the zone.
  std::optional<base::Duration> sampleAge;
  std::uint32_t items = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, zone, eventIntervalMs, slowdownPercent, sampleAge, items);
  }
};

/// Open jobs in the order of their submission, and their tenants.
struct WorkSummary {
  std::vector<JobSummary> jobs;
  std::map<std::string, TenantSummary> tenants;
};

}  // namespace tackpick::jobs
