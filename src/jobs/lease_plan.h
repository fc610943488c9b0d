/// \file
/// Queued items and the engines on which they should run, ready to be leased.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "jobs/job_state.h"

namespace tackpick::jobs {

/// An item and its planned engine. If the engine is empty, the gateway selects one.
struct PlannedItem {
  ItemKey key;
  std::string engine;
};

/// Planned items of one job for one zone, in the order in which they should start.
struct PlannedJob {
  std::string model;
  std::uint64_t minimumVersion = 0;
  std::uint64_t configurationVersion = 0;  ///< JobSubmission::configurationVersion
  std::deque<PlannedItem> items;
};

/// Planned items by the zone of their engine (empty: any zone) and in the order of the plan, so
/// that a gateway's request skips zones whose items it may not run. Deterministic.
class LeasePlan {
 public:
  /// Planned jobs of one zone by their position in the plan.
  using ZoneJobs = std::map<std::size_t, PlannedJob>;

  /// Appends an item. `position`: increases whenever an item belongs to another job than the
  /// previous one.
  void add(const std::string& zone, std::size_t position, const Job& job, PlannedItem item) {
    PlannedJob& planned = m_zones[zone][position];
    planned.model = job.submission.model;
    planned.minimumVersion = job.submission.minimumVersion;
    planned.configurationVersion = job.submission.configurationVersion;
    planned.items.push_back(std::move(item));
  }
  [[nodiscard]] std::map<std::string, ZoneJobs>& zones() { return m_zones; }
  void clear() { m_zones.clear(); }

 private:
  std::map<std::string, ZoneJobs> m_zones;
};

}  // namespace tackpick::jobs
