#include "jobs/long_poll_policy.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace tackpick::jobs {

void LongPollPolicy::reset() { m_jobs.clear(); }

void LongPollPolicy::addJob(const std::string& id, const Job& job,
                            const std::set<std::string>& resubmitted) {
  if (!job.finished()) {
    m_jobs.try_emplace(id, job.submission, resubmitted);
  }
}

void LongPollPolicy::observe(const JobState& state, const AgeOf& ageOf) {
  for (auto entry = m_jobs.begin(); entry != m_jobs.end();) {
    auto& [id, groups] = *entry;
    const Job* job = state.find(id);
    const bool open = job != nullptr && !job->ended;
    if (open) {
      groups.observe(*job);
    }
    if (open && groups.isComplete()) {
      recordDuration(job->submission.model, ageOf(id));
    }
    entry = open && !groups.isComplete() ? std::next(entry) : m_jobs.erase(entry);
  }
}

void LongPollPolicy::recordDuration(const std::string& model, base::Duration age) {
  std::deque<base::Duration>& durations = m_durations[model];
  durations.push_back(age);
  if (durations.size() > m_settings.historySize) {
    durations.pop_front();
  }
}

std::optional<base::Duration> LongPollPolicy::expected(const JobSubmission& job) const {
  const auto found = m_durations.find(job.model);
  if (found == m_durations.end()) {
    return job.resultDeadline > base::Duration{0} ? std::optional(job.resultDeadline)
                                                  : std::nullopt;
  }
  std::vector<base::Duration> sorted(found->second.begin(), found->second.end());
  std::sort(sorted.begin(), sorted.end());
  return sorted[sorted.size() / 2];
}

bool LongPollPolicy::shouldHold(const std::string& id, const Job& job, base::Duration age,
                                base::Duration requestAge, base::Duration remainingWait) const {
  const std::optional<base::Duration> expectedEnd = expected(job.submission);
  if (!m_jobs.contains(id) || !expectedEnd || *expectedEnd - age > remainingWait) {
    return false;
  }
  const base::Duration deadline = job.submission.resultDeadline;
  const base::Duration replyBy = deadline + m_settings.deadlineGrace;
  const bool deadlinePassed =
      deadline > base::Duration{0} && requestAge < replyBy && age >= replyBy;
  return !deadlinePassed;
}

}  // namespace tackpick::jobs
