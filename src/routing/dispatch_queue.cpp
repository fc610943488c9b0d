#include "routing/dispatch_queue.h"

#include <algorithm>
#include <limits>

namespace tackpick::routing {

void DispatchQueue::push(const Entry& entry) {
  QueuedEntry queuedEntry;
  queuedEntry.entry = entry;
  queuedEntry.sortKey.sequence = ++m_lastSequence;
  if (entry.longestFirst) {
    queuedEntry.sortKey.inverseLength =
        std::numeric_limits<std::uint32_t>::max() - entry.expectedTokens;
  }
  PriorityClass& priorityClass = classes_[entry.priority];
  const double minServed = minServedTokens(priorityClass);
  WorkloadQueue& queue = priorityClass.workloads[entry.workload];
  if (queue.tasks.empty()) {
    queue.servedTokens = std::max(queue.servedTokens, minServed);
  }
  queue.tasks[queuedEntry.sortKey] = entry.task;
  priorityClass.queuedTokens += entry.expectedTokens;
  m_bySequence[queuedEntry.sortKey.sequence] = entry.task;
  entries_[entry.task] = queuedEntry;
}

double DispatchQueue::minServedTokens(const PriorityClass& priorityClass) const {
  double minServed = std::numeric_limits<double>::max();
  for (const auto& [workload, queue] : priorityClass.workloads) {
    if (!queue.tasks.empty()) {
      minServed = std::min(minServed, queue.servedTokens);
    }
  }
  return minServed == std::numeric_limits<double>::max() ? 0.0 : minServed;
}

std::vector<DispatchQueue::Entry> DispatchQueue::candidates(base::TimePoint now) const {
  std::vector<Entry> ordered;
  if (m_bySequence.empty()) {
    return ordered;
  }
  const Entry& oldest = entries_.at(m_bySequence.begin()->second).entry;
  if (settings_.fifo) {
    return {oldest};
  }
  const bool starved = now - oldest.enqueuedAt >= settings_.starvationTimeout &&
                       m_dispatchesSinceStarved + 1 >= settings_.dispatchesPerStarved;
  if (starved) {
    ordered.push_back(oldest);
  }
  for (const auto& [priority, priorityClass] : classes_) {
    std::vector<const WorkloadQueue*> queues;
    for (const auto& [workload, queue] : priorityClass.workloads) {
      if (!queue.tasks.empty()) {
        queues.push_back(&queue);
      }
    }
    std::stable_sort(queues.begin(), queues.end(),
                     [](const WorkloadQueue* left, const WorkloadQueue* right) {
                       return left->servedTokens < right->servedTokens;
                     });
    for (const WorkloadQueue* queue : queues) {
      ordered.push_back(entries_.at(queue->tasks.begin()->second).entry);
    }
  }
  return ordered;
}

void DispatchQueue::removeDispatched(TaskId task, base::TimePoint now) {
  const auto found = entries_.find(task);
  if (found == entries_.end()) {
    return;
  }
  const QueuedEntry queuedEntry = found->second;
  // Only a dispatch of the oldest task resets the counter. Under overload many tasks exceed the
  // timeout, and dispatching them in the regular order must not delay the oldest task.
  const bool isOldest = m_bySequence.begin()->second == task;
  const bool starved = isOldest &&
                       now - queuedEntry.entry.enqueuedAt >= settings_.starvationTimeout &&
                       m_dispatchesSinceStarved + 1 >= settings_.dispatchesPerStarved;
  m_dispatchesSinceStarved = starved ? 0 : m_dispatchesSinceStarved + 1;
  classes_[queuedEntry.entry.priority].workloads[queuedEntry.entry.workload].servedTokens +=
      queuedEntry.entry.expectedTokens;
  erase(queuedEntry);
}

void DispatchQueue::remove(TaskId task) {
  const auto found = entries_.find(task);
  if (found != entries_.end()) {
    erase(QueuedEntry(found->second));
  }
}

void DispatchQueue::erase(const QueuedEntry& queuedEntry) {
  PriorityClass& priorityClass = classes_[queuedEntry.entry.priority];
  priorityClass.workloads[queuedEntry.entry.workload].tasks.erase(queuedEntry.sortKey);
  priorityClass.queuedTokens -= queuedEntry.entry.expectedTokens;
  m_bySequence.erase(queuedEntry.sortKey.sequence);
  entries_.erase(queuedEntry.entry.task);
}

std::uint64_t DispatchQueue::queuedTokensAhead(std::uint32_t priority) const {
  std::uint64_t tokens = 0;
  for (const auto& [otherPriority, priorityClass] : classes_) {
    if (otherPriority > priority && !settings_.fifo) {
      break;
    }
    tokens += priorityClass.queuedTokens;
  }
  return tokens;
}

std::optional<DispatchQueue::Entry> DispatchQueue::lastOfLowestPriority() const {
  for (auto it = classes_.rbegin(); it != classes_.rend(); ++it) {
    for (const auto& [workload, queue] : it->second.workloads) {
      if (!queue.tasks.empty()) {
        return entries_.at(queue.tasks.rbegin()->second).entry;
      }
    }
  }
  return std::nullopt;
}

}  // namespace tackpick::routing
