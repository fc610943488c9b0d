#include "jobs/job_state.h"

#include <algorithm>
#include <utility>

#include "base/compression.h"
#include "base/large_value.h"
#include "base/release_memory.h"

namespace tackpick::jobs {

namespace {

constexpr std::size_t kMaxStateBytes = std::size_t{1} << 30U;

/// Whether `progress` continues the saved text or replaces it. A text consists of runs of
/// successive gateways, each continuing after the last event of the previous one; a delta with
/// any other predecessor would mix the texts of two runs.
bool canApply(const PartialText* saved, const ItemProgress& progress) {
  const ProgressPoint& reached = progress.delta.point;
  if (progress.after) {
    return saved != nullptr && saved->point == *progress.after &&
           reached.lease >= saved->point.lease;
  }
  return saved == nullptr || reached.lease > saved->point.lease ||
         (reached.lease == saved->point.lease && reached.event > saved->point.event);
}

void applyProgress(Job& job, const ItemProgress& progress) {
  const auto found = job.partial.find(progress.item);
  if (!canApply(found == job.partial.end() ? nullptr : &found->second, progress)) {
    return;
  }
  PartialText& saved = job.partial[progress.item];
  if (!progress.after) {
    saved = progress.delta;
    return;
  }
  saved.point = progress.delta.point;
  saved.text.append(progress.delta.text);
  saved.textComplete = progress.delta.textComplete;
  saved.versions.insert(progress.delta.versions.begin(), progress.delta.versions.end());
}

/// Prepends the saved text to a result that continues it. Returns false if the result continues
/// another text.
bool prependSaved(const Job& job, ItemResult& result) {
  if (!result.after) {
    return true;
  }
  const auto saved = job.partial.find(result.item);
  if (saved == job.partial.end() || saved->second.point != *result.after) {
    return false;
  }
  base::CompressedText joined = saved->second.text;
  joined.append(result.text);
  result.text = std::move(joined);
  result.after.reset();
  return true;
}

}  // namespace

void JobState::clearRequest(Item& item) {
  m_itemBytes -= memoryOf(item);
  base::releaseMemory(item.path);
  base::releaseMemory(item.headers);
  base::releaseMemory(item.body);
  item.scoring.reset();
  m_itemBytes += memoryOf(item);
}

void JobState::addResult(Job& job, ItemResult result) {
  const std::uint32_t item = result.item;
  if (item >= job.hasResult.size() || job.hasResult[item] || !prependSaved(job, result)) {
    return;
  }
  job.hasResult[item] = true;
  job.results.push_back(std::move(result));
  job.partial.erase(item);
  clearRequest(job.submission.items[item]);
}

base::Bytes encodeCommand(const JobCommand& command) {
  return base::compress(base::encode(command));
}

base::Bytes JobState::apply(consensus::LogIndex index, const base::Bytes& command) {
  const auto bytes = base::decompress(command, kMaxStateBytes);
  auto decoded = bytes ? base::decode<JobCommand>(*bytes) : std::nullopt;
  if (decoded) {
    std::visit([&](auto& typed) { applyCommand(typed, index); }, *decoded);
    ++revision_;
  }
  return {};
}

void JobState::applyCommand(SubmitJob& command, consensus::LogIndex index) {
  const auto [entry, added] = jobs_.try_emplace(command.job.id);
  if (added) {
    Job& job = entry->second;
    job.submission = std::move(command.job);
    job.submittedAt = index;
    job.hasResult.assign(job.submission.items.size(), false);
    m_itemBytes += memoryOfItems(job.submission);
    ++m_jobsRevision;
    ++m_workRevision;
  }
}

void JobState::applyCommand(const EndJob& command, consensus::LogIndex /*index*/) {
  const auto found = jobs_.find(command.id);
  if (found != jobs_.end()) {
    found->second.ended = true;
    ++m_workRevision;
    found->second.partial.clear();
    for (Item& item : found->second.submission.items) {
      clearRequest(item);
    }
  }
}

void JobState::applyCommand(const CommitResults& command, consensus::LogIndex /*index*/) {
  for (const JobResults& results : command.jobs) {
    const auto found = jobs_.find(results.job);
    if (found == jobs_.end()) {
      continue;
    }
    const bool open = !found->second.finished();
    for (const ItemResult& result : results.results) {
      addResult(found->second, result);
    }
    m_workRevision += open && found->second.finished() ? 1 : 0;
  }
}

void JobState::applyCommand(const RemoveJobs& command, consensus::LogIndex /*index*/) {
  for (const std::string& id : command.ids) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end()) {
      m_itemBytes -= memoryOfItems(found->second.submission);
      jobs_.erase(found);
    }
  }
}

void JobState::applyCommand(const SaveProgress& command, consensus::LogIndex /*index*/) {
  for (const JobProgress& progress : command.jobs) {
    const auto found = jobs_.find(progress.job);
    if (found == jobs_.end() || found->second.finished()) {
      continue;
    }
    for (const ItemProgress& item : progress.items) {
      if (item.item < found->second.hasResult.size() && !found->second.hasResult[item.item]) {
        applyProgress(found->second, item);
      }
    }
  }
}

std::vector<const JobState::Jobs::value_type*> JobState::bySubmission() const {
  std::vector<const Jobs::value_type*> jobs;
  jobs.reserve(jobs_.size());
  for (const auto& job : jobs_) {
    jobs.push_back(&job);
  }
  std::stable_sort(jobs.begin(), jobs.end(), [](const auto* left, const auto* right) {
    return left->second.submittedAt < right->second.submittedAt;
  });
  return jobs;
}

const Job* JobState::find(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

const Job* JobState::findOwned(const std::string& tenant, const std::string& id) const {
  const Job* job = find(id);
  return job != nullptr && job->belongsTo(tenant) ? job : nullptr;
}

CommitResults JobState::newResultsOf(const CommitResults& results) const {
  CommitResults newResults;
  for (const JobResults& job : results.jobs) {
    const Job* known = find(job.job);
    JobResults jobResults{job.job, {}};
    for (const ItemResult& result : job.results) {
      const bool open = known != nullptr && !known->ended &&
                        result.item < known->hasResult.size() && !known->hasResult[result.item];
      if (open) {
        jobResults.results.push_back(result);
      }
    }
    if (!jobResults.results.empty()) {
      newResults.jobs.push_back(std::move(jobResults));
    }
  }
  return newResults;
}

// The snapshot is not compressed: it consists mostly of texts that are already compressed.
// Compressing them again takes five times as long as the rest and saves 3 percent.
base::Bytes JobState::takeSnapshot() const { return base::encodePresized(jobs_); }

void JobState::loadSnapshot(const base::Bytes& snapshot) {
  jobs_.clear();  // two states may exceed the available memory
  jobs_ = base::decode<Jobs>(snapshot).value_or(Jobs{});
  m_itemBytes = 0;
  for (const auto& [id, job] : jobs_) {
    m_itemBytes += memoryOfItems(job.submission);
  }
  ++revision_;
  ++m_jobsRevision;
  ++m_workRevision;
}

}  // namespace tackpick::jobs
