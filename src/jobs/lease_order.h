/// \file
/// Order in which the items of one job start.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "jobs/job_messages.h"

namespace tackpick::jobs {

/// Returns the groups that the caller does not need: of the groups not in `resubmitted`, those with
/// the longest items, as many as exceed the required groups.
[[nodiscard]] std::set<std::string> optionalGroups(const JobSubmission& job,
                                                   const std::set<std::string>& resubmitted);

/// Returns the items of a job in the order in which they should start. Items of `resubmitted`
/// groups, which the caller needs in any case, are first; then the others by descending estimate,
/// since the longest ones determine when the job completes; items of optional groups are last.
[[nodiscard]] std::vector<std::uint32_t> leaseOrder(const JobSubmission& job,
                                                    const std::set<std::string>& resubmitted);

/// The order of a job's items.
struct ItemOrder {
  std::vector<std::uint32_t> items;  ///< item indices in the order of leaseOrder()
  std::vector<bool> isOptional;      ///< by item: its group is optional
};

[[nodiscard]] ItemOrder itemOrderOf(const JobSubmission& job,
                                    const std::set<std::string>& resubmitted);

}  // namespace tackpick::jobs
