#include "jobs/job_scheduler.h"

#include <algorithm>

namespace tackpick::jobs {

std::uint32_t slackClassOf(base::Duration slack) {
  /// A place becomes free within about this time; less slack is none.
  constexpr base::Duration kFirstClass = base::milliseconds(500);
  constexpr std::uint32_t kLastClass = 10;
  std::uint32_t slackClass = 0;
  for (base::Duration end = kFirstClass; slackClass < kLastClass && slack >= end; end *= 2) {
    ++slackClass;
  }
  return slackClass;
}

}  // namespace tackpick::jobs
