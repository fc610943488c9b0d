#include "jobs/item_queue.h"

#include <iterator>

namespace tackpick::jobs {

void ItemQueue::clear() {
  m_byId.clear();
  m_jobs.clear();
}

QueuedJob& ItemQueue::entryOf(const Job& job, const std::string& id) {
  const auto found = m_byId.find(id);
  if (found != m_byId.end()) {
    return *found->second;
  }
  // Jobs are not always appended: a job returns to its position when a lease of its items expires.
  auto position = m_jobs.end();
  while (position != m_jobs.begin() && std::prev(position)->submittedAt > job.submittedAt) {
    --position;
  }
  const auto entry = m_jobs.insert(position, {id, job.submittedAt, {}, {}});
  m_byId.emplace(id, entry);
  return *entry;
}

void ItemQueue::append(const Job& job, const ItemKey& key) {
  QueuedJob& entry = entryOf(job, key.job);
  (job.hasCompleteText(key.item) ? entry.scoringOnly : entry.items).push_back(key.item);
}

void ItemQueue::requeue(const Job* job, const ItemKey& key) {
  if (job == nullptr) {
    return;
  }
  QueuedJob& entry = entryOf(*job, key.job);
  (job->hasCompleteText(key.item) ? entry.scoringOnly : entry.items).push_front(key.item);
}

void ItemQueue::removeFinished(const JobState& state) {
  for (auto it = m_jobs.begin(); it != m_jobs.end();) {
    const Job* job = state.find(it->id);
    const bool empty = it->items.empty() && it->scoringOnly.empty();
    if (job != nullptr && !job->finished() && !empty) {
      ++it;
      continue;
    }
    m_byId.erase(it->id);
    it = m_jobs.erase(it);
  }
}

}  // namespace tackpick::jobs
