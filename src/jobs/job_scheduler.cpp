#include "jobs/job_scheduler.h"

#include <algorithm>

namespace tackpick::jobs {

std::uint32_t slackClassOf(base::Duration slack) {
  /// Upper bound of class 0: a slot becomes free within about this time.
  constexpr base::Duration kFirstSlackClass = base::milliseconds(500);
  constexpr std::uint32_t kMaxSlackClass = 10;
  std::uint32_t slackClass = 0;
  for (base::Duration end = kFirstSlackClass; slackClass < kMaxSlackClass && slack >= end;
       end *= 2) {
    ++slackClass;
  }
  return slackClass;
}

}  // namespace tackpick::jobs
