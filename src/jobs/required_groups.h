/// \file
/// How much is missing until the groups that a job's caller waits for are whole.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "jobs/job_state.h"

namespace tackpick::jobs {

/// Of one job. Deterministic. A group is whole when all its items are listed.
class RequiredGroups {
 public:
  /// `resubmitted`: groups that an earlier job left unfinished. The caller waits for all of these,
  /// whichever others are whole.
  RequiredGroups(const JobSubmission& job, const std::set<std::string>& resubmitted);

  /// Takes in the results that were listed since the last call.
  void observe(const Job& job);
  [[nodiscard]] bool whole() const { return m_groupsLeft == 0 && m_againLeft == 0; }

 private:
  struct Group {
    std::uint32_t itemsLeft = 0;
    bool resubmitted = false;
  };

  std::vector<std::uint32_t> m_groupOfItem;
  std::vector<Group> m_groups;
  std::size_t m_observed = 0;    ///< results taken in
  std::size_t m_groupsLeft = 0;  ///< groups to become whole, those that come again included
  std::size_t m_againLeft = 0;   ///< of those that come again
};

}  // namespace tackpick::jobs
