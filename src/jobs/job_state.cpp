#include "jobs/job_state.h"

#include <algorithm>
#include <utility>

#include "base/compression.h"
#include "base/large_value.h"

namespace tackpick::jobs {

namespace {

constexpr std::size_t kMaxStateBytes = std::size_t{1} << 30U;

/// An item that needs not run any more keeps its id only.
void forgetRequest(Item& item) {
  item.path = {};
  item.headers = {};
  item.body = {};
  item.scoring.reset();
}

/// True when `progress` continues what is kept or stands for itself. A text is made of the runs of
/// one gateway after the other, each asked to continue behind the last event of the one before; a
/// piece that follows anything else would join two runs.
bool mayKeep(const PartialText* kept, const ItemProgress& progress) {
  const ProgressPoint& reached = progress.added.point;
  if (progress.after) {
    return kept != nullptr && kept->point == *progress.after && reached.lease >= kept->point.lease;
  }
  return kept == nullptr || reached.lease > kept->point.lease ||
         (reached.lease == kept->point.lease && reached.event > kept->point.event);
}

void keepProgress(Job& job, const ItemProgress& progress) {
  const auto found = job.partial.find(progress.item);
  if (!mayKeep(found == job.partial.end() ? nullptr : &found->second, progress)) {
    return;
  }
  PartialText& kept = job.partial[progress.item];
  if (!progress.after) {
    kept = progress.added;
    return;
  }
  kept.point = progress.added.point;
  kept.text.append(progress.added.text);
  kept.whole = progress.added.whole;
  kept.versions.insert(progress.added.versions.begin(), progress.added.versions.end());
}

/// Puts the kept text before a result that follows it. False when the result follows another text.
bool joinKept(const Job& job, ItemResult& result) {
  if (!result.after) {
    return true;
  }
  const auto kept = job.partial.find(result.item);
  if (kept == job.partial.end() || kept->second.point != *result.after) {
    return false;
  }
  base::CompressedText whole = kept->second.text;
  whole.append(result.text);
  result.text = std::move(whole);
  result.after.reset();
  return true;
}

void list(Job& job, ItemResult result) {
  const std::uint32_t item = result.item;
  if (item >= job.listed.size() || job.listed[item] || !joinKept(job, result)) {
    return;
  }
  job.listed[item] = true;
  job.results.push_back(std::move(result));
  job.partial.erase(item);
  forgetRequest(job.submission.items[item]);
}

}  // namespace

base::Bytes encodeCommand(const JobCommand& command) {
  return base::compress(base::encode(command));
}

base::Bytes JobState::apply(consensus::LogIndex index, const base::Bytes& command) {
  const auto bytes = base::decompress(command, kMaxStateBytes);
  const auto decoded = bytes ? base::decode<JobCommand>(*bytes) : std::nullopt;
  if (decoded) {
    std::visit([&](const auto& typed) { applyCommand(typed, index); }, *decoded);
    ++revision_;
  }
  return {};
}

void JobState::applyCommand(const SubmitJob& command, consensus::LogIndex index) {
  const auto [entry, added] = jobs_.try_emplace(command.job.id);
  if (added) {
    entry->second.submission = command.job;
    entry->second.submittedAt = index;
    entry->second.listed.assign(command.job.items.size(), false);
    ++job_changes_;
    ++m_workChanges;
  }
}

void JobState::applyCommand(const EndJob& command, consensus::LogIndex /*index*/) {
  const auto found = jobs_.find(command.id);
  if (found != jobs_.end()) {
    found->second.ended = true;
    ++m_workChanges;
    found->second.partial.clear();
    for (Item& item : found->second.submission.items) {
      forgetRequest(item);
    }
  }
}

void JobState::applyCommand(const CommitResults& command, consensus::LogIndex /*index*/) {
  for (const JobResults& results : command.jobs) {
    const auto found = jobs_.find(results.job);
    if (found == jobs_.end()) {
      continue;
    }
    const bool open = !found->second.settled();
    for (const ItemResult& result : results.results) {
      list(found->second, result);
    }
    m_workChanges += open && found->second.settled() ? 1 : 0;
  }
}

void JobState::applyCommand(const ForgetJobs& command, consensus::LogIndex /*index*/) {
  for (const std::string& id : command.ids) {
    jobs_.erase(id);
  }
}

void JobState::applyCommand(const SaveProgress& command, consensus::LogIndex /*index*/) {
  for (const JobProgress& progress : command.jobs) {
    const auto found = jobs_.find(progress.job);
    if (found == jobs_.end() || found->second.settled()) {
      continue;
    }
    for (const ItemProgress& item : progress.items) {
      if (item.item < found->second.listed.size() && !found->second.listed[item.item]) {
        keepProgress(found->second, item);
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

const Job* JobState::findFor(const std::string& tenant, const std::string& id) const {
  const Job* job = find(id);
  return job != nullptr && job->belongsTo(tenant) ? job : nullptr;
}

CommitResults JobState::withoutKnown(const CommitResults& results) const {
  CommitResults left;
  for (const JobResults& job : results.jobs) {
    const Job* known = find(job.job);
    JobResults some{job.job, {}};
    for (const ItemResult& result : job.results) {
      const bool open = known != nullptr && !known->ended && result.item < known->listed.size() &&
                        !known->listed[result.item];
      if (open) {
        some.results.push_back(result);
      }
    }
    if (!some.results.empty()) {
      left.jobs.push_back(std::move(some));
    }
  }
  return left;
}

// Nearly all of it are texts, which are packed: compressing them again takes five times as long as
// the rest and saves 3 percent.
base::Bytes JobState::takeSnapshot() const { return base::encodePresized(jobs_); }

void JobState::loadSnapshot(const base::Bytes& snapshot) {
  jobs_.clear();  // two states at once may not fit
  jobs_ = base::decode<Jobs>(snapshot).value_or(Jobs{});
  ++revision_;
  ++job_changes_;
  ++m_workChanges;
}

}  // namespace tackpick::jobs
