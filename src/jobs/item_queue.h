/// \file
/// Open items without a lease, by job.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>

#include "jobs/job_state.h"

namespace tackpick::jobs {

/// Queued items of one job, in the order in which they should start. All items of a job need the
/// same model and minimum version, so if the first one cannot be placed, none can.
struct QueuedJob {
  std::string id;
  std::uint64_t submittedAt = 0;  ///< Job::submittedAt
  std::deque<std::uint32_t> items;
  /// Items whose text is complete; they need a score but no engine.
  std::deque<std::uint32_t> scoringOnly;
};

/// Queue of all jobs, oldest first. Items that finish or are leased stay in the queue until
/// planning removes them. Deterministic.
class ItemQueue {
 public:
  using Jobs = std::list<QueuedJob>;

  void clear();
  /// Appends an item to the queue of its job. Jobs are ordered by submission.
  void append(const Job& job, const ItemKey& key);
  /// Returns an item to the front of the queue of its job; ignored if `job` is null.
  void requeue(const Job* job, const ItemKey& key);
  /// Removes jobs that are finished or unknown, and jobs without queued items.
  void removeFinished(const JobState& state);
  [[nodiscard]] Jobs& jobs() { return m_jobs; }

 private:
  [[nodiscard]] QueuedJob& entryOf(const Job& job, const std::string& id);

  Jobs m_jobs;
  std::map<std::string, Jobs::iterator> m_byId;
};

}  // namespace tackpick::jobs
