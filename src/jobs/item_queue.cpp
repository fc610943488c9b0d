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
  // A job whose last items were leased comes back when a lease ends.
  auto behind = m_jobs.end();
  while (behind != m_jobs.begin() && std::prev(behind)->submittedAt > job.submittedAt) {
    --behind;
  }
  const auto entry = m_jobs.insert(behind, {id, job.submittedAt, {}, {}});
  m_byId.emplace(id, entry);
  return *entry;
}

void ItemQueue::append(const Job& job, const ItemKey& key) {
  QueuedJob& entry = entryOf(job, key.job);
  (job.hasWholeText(key.item) ? entry.whole : entry.items).push_back(key.item);
}

void ItemQueue::putBack(const Job* job, const ItemKey& key) {
  if (job == nullptr) {
    return;
  }
  QueuedJob& entry = entryOf(*job, key.job);
  (job->hasWholeText(key.item) ? entry.whole : entry.items).push_front(key.item);
}

void ItemQueue::dropSettled(const JobState& state) {
  for (auto it = m_jobs.begin(); it != m_jobs.end();) {
    const Job* job = state.find(it->id);
    const bool empty = it->items.empty() && it->whole.empty();
    if (job != nullptr && !job->settled() && !empty) {
      ++it;
      continue;
    }
    m_byId.erase(it->id);
    it = m_jobs.erase(it);
  }
}

}  // namespace tackpick::jobs
