/// \file
/// What a call about a job is called in logs and metrics.
#pragma once

#include <string>
#include <string_view>

#include "jobs/job_messages.h"

namespace tackpick::jobs {

struct RequestLabel {
  std::string_view call;
  std::string job;  ///< its id; empty when the call is about several
};

[[nodiscard]] RequestLabel labelOf(const JobRequest& request);

}  // namespace tackpick::jobs
