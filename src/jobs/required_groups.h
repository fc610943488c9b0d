/// \file
/// Tracks whether the groups that a job's caller waits for are complete.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "jobs/job_state.h"

namespace tackpick::jobs {

/// Tracks the required groups of one job. A group is complete when all its items have results.
/// Deterministic.
class RequiredGroups {
 public:
  /// `resubmitted`: groups that an earlier job left incomplete. The caller needs all of them; they
  /// also count towards the required number.
  RequiredGroups(const JobSubmission& job, const std::set<std::string>& resubmitted);

  /// Processes the results listed since the last call.
  void observe(const Job& job);
  [[nodiscard]] bool isComplete() const {
    return m_remainingGroups == 0 && m_remainingResubmitted == 0;
  }

 private:
  struct Group {
    std::uint32_t remainingItems = 0;
    bool resubmitted = false;
  };

  std::vector<std::uint32_t> m_groupOfItem;
  std::vector<Group> m_groups;
  std::size_t m_observed = 0;  ///< number of results processed
  /// Number of groups still required, including resubmitted ones.
  std::size_t m_remainingGroups = 0;
  std::size_t m_remainingResubmitted = 0;  ///< number of incomplete resubmitted groups
};

}  // namespace tackpick::jobs
