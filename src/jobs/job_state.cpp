#include "jobs/job_state.h"

namespace tackpick::jobs {

namespace {

/// An item that needs not run any more keeps its id only.
void forgetRequest(Item& item) {
  item.path = {};
  item.headers = {};
  item.body = {};
}

}  // namespace

base::Bytes JobState::apply(consensus::LogIndex /*index*/, const base::Bytes& command) {
  const auto decoded = base::decode<JobCommand>(command);
  if (decoded) {
    std::visit([this](const auto& typed) { applyTyped(typed); }, *decoded);
    ++revision_;
  }
  return {};
}

void JobState::applyTyped(const SubmitJob& command) {
  const auto [entry, added] = jobs_.try_emplace(command.job.id);
  if (added) {
    entry->second.submission = command.job;
    entry->second.listed.assign(command.job.items.size(), false);
  }
}

void JobState::applyTyped(const EndJob& command) {
  const auto found = jobs_.find(command.id);
  if (found != jobs_.end()) {
    found->second.ended = true;
    for (Item& item : found->second.submission.items) {
      forgetRequest(item);
    }
  }
}

void JobState::applyTyped(const CommitResults& command) {
  for (const JobResults& results : command.jobs) {
    const auto found = jobs_.find(results.job);
    if (found == jobs_.end()) {
      continue;
    }
    Job& job = found->second;
    for (const ItemResult& result : results.results) {
      if (result.item < job.listed.size() && !job.listed[result.item]) {
        job.listed[result.item] = true;
        job.results.push_back(result);
        forgetRequest(job.submission.items[result.item]);
      }
    }
  }
}

void JobState::applyTyped(const ForgetJobs& command) {
  for (const std::string& id : command.ids) {
    jobs_.erase(id);
  }
}

const Job* JobState::find(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

base::Bytes JobState::takeSnapshot() const { return base::encode(jobs_); }

void JobState::loadSnapshot(const base::Bytes& snapshot) {
  jobs_ = base::decode<std::map<std::string, Job>>(snapshot).value_or(std::map<std::string, Job>{});
  ++revision_;
}

}  // namespace tackpick::jobs
