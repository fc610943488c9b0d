/// \file
/// The order in which waiting jobs are dispatched.
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

/// A caller's request or a sample, inside one gateway.
using JobId = base::NumericId<struct JobTag>;

/// Knobs of DispatchQueue.
struct DispatchQueueSettings {
  /// A job that has waited this long goes before all classes, but at most one in
  /// `starvationShare` dispatches is spent this way.
  base::Duration starvationLimit = base::seconds(20);
  std::uint32_t starvationShare = 10;
  /// One queue in order of arrival, for comparison.
  bool fifo = false;
};

/// Strict between priority classes, fair between the workloads of a class, longest expected job
/// first within a workload when it asks for that, else first come first served. Fairness: the
/// workload that was given the fewest expected tokens goes next; one that was idle starts level
/// with the least served.
class DispatchQueue {
 public:
  explicit DispatchQueue(DispatchQueueSettings settings) : settings_(settings) {}

  struct Entry {
    JobId job;
    std::uint32_t priority = 0;
    base::WorkloadPath workload;
    std::uint32_t expectedTokens = 1;
    bool longestFirst = false;
    base::TimePoint enqueuedAt{};
  };

  void push(const Entry& entry);
  /// Jobs in dispatch order, one per workload: the candidates to try now. A candidate that no
  /// engine can take does not hold up the others.
  [[nodiscard]] std::vector<Entry> candidates(base::TimePoint now) const;
  /// Removes a job that was dispatched, and charges its workload.
  void dispatched(JobId job, base::TimePoint now);
  /// Removes a job without charging it.
  void remove(JobId job);
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  /// Expected tokens of the waiting jobs that would go before a new one of `priority`.
  [[nodiscard]] std::uint64_t tokensAhead(std::uint32_t priority) const;
  /// The lowest class that has a job waiting for longer than `wait`, and that job.
  [[nodiscard]] std::optional<Entry> lowestWaiting() const;

 private:
  /// Sorts the jobs of one workload.
  struct Rank {
    std::uint32_t shortness = 0;  ///< lower goes first
    std::uint64_t arrival = 0;
    auto operator<=>(const Rank&) const = default;
  };
  struct WorkloadQueue {
    std::map<Rank, JobId> jobs;
    double served = 0.0;  ///< expected tokens dispatched, for fairness
  };
  struct PriorityClass {
    std::map<base::WorkloadPath, WorkloadQueue> workloads;
    std::uint64_t waitingTokens = 0;
  };
  struct Stored {
    Entry entry;
    Rank rank;
  };

  void erase(const Stored& stored);
  [[nodiscard]] double leastServed(const PriorityClass& priorityClass) const;

  const DispatchQueueSettings settings_;
  std::map<std::uint32_t, PriorityClass> classes_;
  std::map<JobId, Stored> entries_;
  std::map<std::uint64_t, JobId> by_arrival_;
  std::uint64_t arrivals_ = 0;
  std::uint32_t since_starved_dispatch_ = 0;
};

}  // namespace tackpick::routing
