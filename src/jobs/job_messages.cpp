#include "jobs/job_messages.h"

namespace tackpick::jobs {

void setTenant(JobRequest& request, const std::string& tenant) {
  if (auto* submission = std::get_if<SubmitJob>(&request)) {
    submission->job.tenant = tenant;
  } else if (auto* read = std::get_if<ReadJob>(&request)) {
    read->tenant = tenant;
  } else if (auto* item = std::get_if<ReadItem>(&request)) {
    item->tenant = tenant;
  } else if (auto* end = std::get_if<EndJob>(&request)) {
    end->tenant = tenant;
  }
}

}  // namespace tackpick::jobs
