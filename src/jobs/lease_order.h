/// \file
/// In which order the items of one job start.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "jobs/job_messages.h"

namespace tackpick::jobs {

/// Groups that the caller can do without: it does not wait for all, and of those that `resubmitted`
/// does not name as many with the longest items as it need not have are spare.
[[nodiscard]] std::set<std::string> optionalGroups(const JobSubmission& job,
                                                   const std::set<std::string>& resubmitted);

/// The items of a job in the order in which they should start. First those of groups that
/// `resubmitted` names, which the caller waits for in any case; then the others, longest expected
/// first, since the longest decide when the job is whole; those of spare groups come last.
[[nodiscard]] std::vector<std::uint32_t> leaseOrder(const JobSubmission& job,
                                                    const std::set<std::string>& resubmitted);

/// The items of a job as the leases keep them.
struct ItemOrder {
  std::vector<std::uint32_t> items;  ///< in the order of leaseOrder()
  std::vector<bool> spare;           ///< by item: its group is spare
};

[[nodiscard]] ItemOrder itemOrderOf(const JobSubmission& job,
                                    const std::set<std::string>& resubmitted);

}  // namespace tackpick::jobs
