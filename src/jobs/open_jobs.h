/// \file
/// Open jobs of the ledgers, for the planning of weights and engines.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/serialization.h"
#include "base/time.h"

namespace tackpick::jobs {

/// An open job, as reported by the ledgers' leader.
struct OpenJob {
  std::string job;
  std::uint64_t minimumVersion = 0;  ///< oldest version of the weights that may run its items
  std::uint32_t items = 0;           ///< items without a result
  std::uint32_t waiting = 0;         ///< items without a result that are not leased
  base::Duration age{0};             ///< time since the leader first saw it
  /// Time until the results are due, minus the expected run time of the longest open item;
  /// negative: the job is late. Duration::max() if there is no due time.
  base::Duration slack = base::Duration::max();

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, minimumVersion, items, waiting, age, slack);
  }
};

/// Open jobs by model, in the order of their submission.
using OpenJobsByModel = std::map<std::string, std::vector<OpenJob>>;

/// Returns the number of items without a result of one model's jobs.
[[nodiscard]] inline std::uint32_t itemsOf(const std::vector<OpenJob>& openJobs) {
  std::uint32_t items = 0;
  for (const OpenJob& openJob : openJobs) {
    items += openJob.items;
  }
  return items;
}

}  // namespace tackpick::jobs
