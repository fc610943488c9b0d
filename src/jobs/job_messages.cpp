#include "jobs/job_messages.h"

namespace tackpick::jobs {

std::size_t memoryOf(const Item& item) {
  std::size_t bytes =
      sizeof(Item) + item.id.size() + item.path.size() + item.body.size() + item.group.size();
  for (const auto& [name, value] : item.headers) {
    bytes += sizeof(item.headers.front()) + name.size() + value.size();
  }
  if (item.scoring) {
    bytes += item.scoring->id.size() + item.scoring->host.size() + item.scoring->path.size() +
             item.scoring->body.size();
  }
  return bytes;
}

std::size_t memoryOfItems(const JobSubmission& job) {
  std::size_t bytes = 0;
  for (const Item& item : job.items) {
    bytes += memoryOf(item);
  }
  return bytes;
}

JobRequest outlineOf(const JobRequest& request) {
  const auto* submission = std::get_if<SubmitJob>(&request);
  if (submission == nullptr) {
    return request;
  }
  SubmitJob outline;
  outline.job.id = submission->job.id;
  outline.job.model = submission->job.model;
  outline.job.minimumVersion = submission->job.minimumVersion;
  outline.job.requiredGroups = submission->job.requiredGroups;
  outline.job.items.resize(submission->job.items.size());
  return outline;
}

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
