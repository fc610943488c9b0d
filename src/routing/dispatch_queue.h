/// \file
/// Queue that determines the dispatch order of tasks.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"

namespace tackpick::routing {

/// Identifies a caller's request or a sample within one gateway.
using TaskId = base::NumericId<struct TaskTag>;

/// Settings of DispatchQueue.
struct DispatchQueueSettings {
  /// Time in the queue after which a task takes precedence over all priority classes.
  base::Duration starvationTimeout = base::seconds(20);
  /// Minimum number of dispatches per task that takes precedence because of `starvationTimeout`.
  std::uint32_t dispatchesPerStarved = 10;
  /// Use one queue in order of arrival; baseline for comparisons.
  bool fifo = false;
};

/// Queue with strict priority between classes and fair sharing between the workloads of a class.
/// Within a workload, tasks with `longestFirst` are ordered by expected length, others by arrival.
/// The workload with the fewest dispatched tokens is next; a workload that was idle starts with the
/// minimum over the workloads with queued tasks.
class DispatchQueue {
 public:
  explicit DispatchQueue(DispatchQueueSettings settings) : settings_(settings) {}

  struct Entry {
    TaskId task;
    std::uint32_t priority = 0;
    base::WorkloadPath workload;
    std::uint32_t expectedTokens = 1;
    bool longestFirst = false;
    base::TimePoint enqueuedAt{};
  };

  void push(const Entry& entry);
  /// Returns the next task of each workload, in dispatch order. If no engine can run a task, the
  /// caller tries the next one.
  [[nodiscard]] std::vector<Entry> candidates(base::TimePoint now) const;
  /// Removes a dispatched task and charges its expected tokens to its workload.
  void removeDispatched(TaskId task, base::TimePoint now);
  /// Removes a task without charging it.
  void remove(TaskId task);
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  /// Returns the expected tokens of the queued tasks that precede a new task of `priority`.
  [[nodiscard]] std::uint64_t queuedTokensAhead(std::uint32_t priority) const;
  /// Returns the last task of a workload in the lowest priority class; std::nullopt if empty.
  [[nodiscard]] std::optional<Entry> lastOfLowestPriority() const;

 private:
  /// Order of the tasks of one workload.
  struct SortKey {
    std::uint32_t inverseLength = 0;  ///< zero for tasks ordered by arrival
    std::uint64_t sequence = 0;
    auto operator<=>(const SortKey&) const = default;
  };
  struct WorkloadQueue {
    std::map<SortKey, TaskId> tasks;
    double servedTokens = 0.0;  ///< expected tokens of the dispatched tasks
  };
  struct PriorityClass {
    std::map<base::WorkloadPath, WorkloadQueue> workloads;
    std::uint64_t queuedTokens = 0;
  };
  struct QueuedEntry {
    Entry entry;
    SortKey sortKey;
  };

  void erase(const QueuedEntry& queuedEntry);
  /// Returns the minimum of `servedTokens` over the workloads with queued tasks.
  [[nodiscard]] double minServedTokens(const PriorityClass& priorityClass) const;

  const DispatchQueueSettings settings_;
  std::map<std::uint32_t, PriorityClass> classes_;
  std::map<TaskId, QueuedEntry> entries_;
  std::map<std::uint64_t, TaskId> m_bySequence;
  std::uint64_t m_lastSequence = 0;
  std::uint32_t m_dispatchesSinceStarved = 0;
};

}  // namespace tackpick::routing
