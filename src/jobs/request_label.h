/// \file
/// Names of job requests for logs and metrics.
#pragma once

#include <string>
#include <string_view>

#include "jobs/job_messages.h"

namespace tackpick::jobs {

struct RequestLabel {
  std::string_view call;
  std::string job;  ///< id of the job; empty if the request concerns several jobs
};

[[nodiscard]] RequestLabel labelOf(const JobRequest& request);

}  // namespace tackpick::jobs
