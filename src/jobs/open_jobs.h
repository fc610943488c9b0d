/// \file
/// What is open at the ledgers, for those who plan weights and engines.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/serialization.h"
#include "base/time.h"

namespace tackpick::jobs {

/// One open job, as the ledgers' leader sees it.
struct OpenJob {
  std::string job;
  std::uint64_t minimumVersion = 0;  ///< oldest weights that may make its texts
  std::uint32_t items = 0;           ///< without a result
  std::uint32_t waiting = 0;         ///< of those, at no engine
  base::Duration age{0};             ///< since the leader first saw it
  /// Until its results are due, less what its longest open item is expected to need; below zero: it
  /// is late. The longest duration where no due time is known.
  base::Duration slack = base::Duration::max();

  template <class Archive>
  void serialize(Archive& archive) {
    archive(job, minimumVersion, items, waiting, age, slack);
  }
};

/// Open jobs by model, each model's in the order of their submission.
using OpenJobsByModel = std::map<std::string, std::vector<OpenJob>>;

/// Items without a result of one model's jobs.
[[nodiscard]] inline std::uint32_t itemsOf(const std::vector<OpenJob>& works) {
  std::uint32_t items = 0;
  for (const OpenJob& work : works) {
    items += work.items;
  }
  return items;
}

}  // namespace tackpick::jobs
