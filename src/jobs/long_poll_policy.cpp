#include "jobs/long_poll_policy.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace tackpick::jobs {

void LongPollPolicy::reset() { m_jobs.clear(); }

void LongPollPolicy::addJob(const std::string& id, const Job& job,
                            const std::set<std::string>& resubmitted) {
  if (!job.settled()) {
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
    if (open && groups.whole()) {
      noteTaken(job->submission.model, ageOf(id));
    }
    entry = open && !groups.whole() ? std::next(entry) : m_jobs.erase(entry);
  }
}

void LongPollPolicy::noteTaken(const std::string& model, base::Duration age) {
  std::deque<base::Duration>& taken = m_taken[model];
  taken.push_back(age);
  if (taken.size() > m_settings.remembered) {
    taken.pop_front();
  }
}

std::optional<base::Duration> LongPollPolicy::expected(const JobSubmission& job) const {
  const auto found = m_taken.find(job.model);
  if (found == m_taken.end()) {
    return job.resultDeadline > base::Duration{0} ? std::optional(job.resultDeadline)
                                                  : std::nullopt;
  }
  std::vector<base::Duration> sorted(found->second.begin(), found->second.end());
  std::sort(sorted.begin(), sorted.end());
  return sorted[sorted.size() / 2];
}

bool LongPollPolicy::holds(const std::string& id, const Job& job, base::Duration age,
                           base::Duration asked, base::Duration left) const {
  const std::optional<base::Duration> whole = expected(job.submission);
  if (!m_jobs.contains(id) || !whole || *whole - age > left) {
    return false;
  }
  const base::Duration due = job.submission.resultDeadline;
  const base::Duration latest = due + m_settings.lateness;
  const bool tellNow = due > base::Duration{0} && asked < latest && age >= latest;
  return !tellNow;
}

}  // namespace tackpick::jobs
