/// \file
/// Queued items with the engines where they should run, ready to be leased.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "jobs/job_state.h"

namespace tackpick::jobs {

/// An item and the engine that it is planned for; empty: the gateway chooses.
struct PlannedItem {
  ItemKey key;
  std::string engine;
};

/// Planned items of one job for one zone, in the order in which they should start.
struct PlannedJob {
  std::string model;
  std::uint64_t minimumVersion = 0;
  std::deque<PlannedItem> items;
};

/// By the zone of the engine (empty: any) and in the order of the plan, so that a gateway's call
/// finds what suits it without looking at the rest. Deterministic.
class LeasePlan {
 public:
  /// Runs of items of one zone, the first to start first.
  using ZoneJobs = std::map<std::size_t, PlannedJob>;

  /// `run`: rises whenever an item of another job than before is planned.
  void add(const std::string& zone, std::size_t run, const Job& job, PlannedItem item) {
    PlannedJob& planned = m_zones[zone][run];
    planned.model = job.submission.model;
    planned.minimumVersion = job.submission.minimumVersion;
    planned.items.push_back(std::move(item));
  }
  [[nodiscard]] std::map<std::string, ZoneJobs>& zones() { return m_zones; }
  void clear() { m_zones.clear(); }

 private:
  std::map<std::string, ZoneJobs> m_zones;
};

}  // namespace tackpick::jobs
