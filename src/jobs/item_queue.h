/// \file
/// Open items that nobody runs, by their job.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>

#include "jobs/job_state.h"

namespace tackpick::jobs {

/// Items of one job that wait, in the order in which they should start. All need the same model and
/// the same version of its weights, so none of them has a place where the first has none.
struct QueuedJob {
  std::string id;
  std::uint64_t submittedAt = 0;  ///< Job::submittedAt
  std::deque<std::uint32_t> items;
  std::deque<std::uint32_t> whole;  ///< of these only the score is missing: they need no engine
};

/// The queue of all jobs, oldest first. Deterministic. Items that are settled or run by now are
/// dropped when they are taken out, not searched for.
class ItemQueue {
 public:
  using Jobs = std::list<QueuedJob>;

  void clear();
  /// Behind the other items of its job; jobs stand in the order of their submission.
  void append(const Job& job, const ItemKey& key);
  /// Before the other items of its job.
  void putBack(const Job* job, const ItemKey& key);
  /// Drops jobs that have ended or are gone, and jobs without items.
  void dropSettled(const JobState& state);
  [[nodiscard]] Jobs& jobs() { return m_jobs; }

 private:
  [[nodiscard]] QueuedJob& entryOf(const Job& job, const std::string& id);

  Jobs m_jobs;
  std::map<std::string, Jobs::iterator> m_byId;
};

}  // namespace tackpick::jobs
