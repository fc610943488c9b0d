#include "routing/dispatch_queue.h"

#include <algorithm>
#include <limits>

namespace tackpick::routing {

void DispatchQueue::push(const Entry& entry) {
  Stored stored;
  stored.entry = entry;
  stored.rank.arrival = ++arrivals_;
  if (entry.longestFirst) {
    stored.rank.shortness = std::numeric_limits<std::uint32_t>::max() - entry.expectedTokens;
  }
  PriorityClass& priorityClass = classes_[entry.priority];
  const double level = leastServed(priorityClass);
  WorkloadQueue& queue = priorityClass.workloads[entry.workload];
  if (queue.jobs.empty()) {
    queue.served = std::max(queue.served, level);
  }
  queue.jobs[stored.rank] = entry.job;
  priorityClass.waitingTokens += entry.expectedTokens;
  by_arrival_[stored.rank.arrival] = entry.job;
  entries_[entry.job] = stored;
}

double DispatchQueue::leastServed(const PriorityClass& priorityClass) const {
  double least = std::numeric_limits<double>::max();
  for (const auto& [workload, queue] : priorityClass.workloads) {
    if (!queue.jobs.empty()) {
      least = std::min(least, queue.served);
    }
  }
  return least == std::numeric_limits<double>::max() ? 0.0 : least;
}

std::vector<DispatchQueue::Entry> DispatchQueue::candidates(base::TimePoint now) const {
  std::vector<Entry> ordered;
  if (by_arrival_.empty()) {
    return ordered;
  }
  const Entry& oldest = entries_.at(by_arrival_.begin()->second).entry;
  if (settings_.fifo) {
    return {oldest};
  }
  const bool starved = now - oldest.enqueuedAt >= settings_.starvationLimit &&
                       since_starved_dispatch_ + 1 >= settings_.starvationShare;
  if (starved) {
    ordered.push_back(oldest);
  }
  for (const auto& [priority, priorityClass] : classes_) {
    std::vector<const WorkloadQueue*> queues;
    for (const auto& [workload, queue] : priorityClass.workloads) {
      if (!queue.jobs.empty()) {
        queues.push_back(&queue);
      }
    }
    std::stable_sort(queues.begin(), queues.end(),
                     [](const WorkloadQueue* left, const WorkloadQueue* right) {
                       return left->served < right->served;
                     });
    for (const WorkloadQueue* queue : queues) {
      ordered.push_back(entries_.at(queue->jobs.begin()->second).entry);
    }
  }
  return ordered;
}

void DispatchQueue::dispatched(JobId job, base::TimePoint now) {
  const auto found = entries_.find(job);
  if (found == entries_.end()) {
    return;
  }
  const Stored stored = found->second;
  // Under overload everybody has waited long: only the turn of the oldest one counts as its turn.
  const bool isOldest = by_arrival_.begin()->second == job;
  const bool starved = isOldest && now - stored.entry.enqueuedAt >= settings_.starvationLimit &&
                       since_starved_dispatch_ + 1 >= settings_.starvationShare;
  since_starved_dispatch_ = starved ? 0 : since_starved_dispatch_ + 1;
  classes_[stored.entry.priority].workloads[stored.entry.workload].served +=
      stored.entry.expectedTokens;
  erase(stored);
}

void DispatchQueue::remove(JobId job) {
  const auto found = entries_.find(job);
  if (found != entries_.end()) {
    erase(Stored(found->second));
  }
}

void DispatchQueue::erase(const Stored& stored) {
  PriorityClass& priorityClass = classes_[stored.entry.priority];
  priorityClass.workloads[stored.entry.workload].jobs.erase(stored.rank);
  priorityClass.waitingTokens -= stored.entry.expectedTokens;
  by_arrival_.erase(stored.rank.arrival);
  entries_.erase(stored.entry.job);
}

std::uint64_t DispatchQueue::tokensAhead(std::uint32_t priority) const {
  std::uint64_t tokens = 0;
  for (const auto& [level, priorityClass] : classes_) {
    if (level > priority && !settings_.fifo) {
      break;
    }
    tokens += priorityClass.waitingTokens;
  }
  return tokens;
}

std::optional<DispatchQueue::Entry> DispatchQueue::lowestWaiting() const {
  for (auto it = classes_.rbegin(); it != classes_.rend(); ++it) {
    for (const auto& [workload, queue] : it->second.workloads) {
      if (!queue.jobs.empty()) {
        return entries_.at(queue.jobs.rbegin()->second).entry;
      }
    }
  }
  return std::nullopt;
}

}  // namespace tackpick::routing
