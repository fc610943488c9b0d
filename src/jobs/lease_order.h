/// \file
/// Order in which the items of one job start.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "jobs/job_messages.h"

namespace tackpick::jobs {

/// Returns the groups beyond the required number, which the caller does not need. Groups with the
/// longest items are selected first; groups in `resubmitted` are never selected.
[[nodiscard]] std::set<std::string> optionalGroups(const JobSubmission& job,
                                                   const std::set<std::string>& resubmitted);

/// Returns the items of a job in the order in which they should start. Items of `resubmitted`
/// groups, which the caller needs in any case, are first, items of optional groups are last. Within
/// each class, items are in order of descending estimate, because the longest items determine when
/// the job completes.
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
