/// \file
/// Order in which queued items are planned, over all jobs and tenants.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace tackpick::jobs {

/// Selects the order of items.
enum class SchedulerPolicy : std::uint8_t {
  /// By slack once jobs of several models, tenants or priorities have been seen, else FIFO.
  kAutomatic,
  kOldestFirst,
  kBySlack,
};

/// Urgency of an item; the smallest is planned first. It is coarse because the lengths of texts are
/// estimates: jobs whose items differ by less than the estimation error keep their order.
struct Urgency {
  /// Whether the job can no longer complete before its due time. Late jobs are planned last.
  bool late = false;
  /// Whether the item belongs to an optional group.
  bool isOptional = false;
  /// Increases with the slack; see slackClassOf().
  std::uint32_t slackClass = 0;

  auto operator<=>(const Urgency&) const = default;
};

/// Returns the class of an item that may wait for `slack` and still complete in time. Each class
/// but the first is as wide as all before it, so classes are finer near the due time.
[[nodiscard]] std::uint32_t slackClassOf(base::Duration slack);

/// A job with queued items.
struct SchedulableJob {
  std::string job;
  std::string tenant;
  std::uint32_t priority = 0;  ///< 0 is the highest
  Urgency urgency;             ///< urgency of its next item
};

/// Selects the job of each next item to plan. Deterministic.
class JobScheduler {
 public:
  JobScheduler() = default;
  JobScheduler(const JobScheduler&) = delete;
  JobScheduler& operator=(const JobScheduler&) = delete;
  virtual ~JobScheduler() = default;

  /// Begins a plan over `work`, oldest job first. Items that were planned and not leased are
  /// planned again.
  virtual void begin(const std::vector<SchedulableJob>& work) = 0;
  /// Returns the job whose next item is to be planned, as an index into the argument of begin();
  /// std::nullopt if none is left.
  [[nodiscard]] virtual std::optional<std::size_t> next() = 0;
  /// Records that an item of the job was planned; `urgency` is that of the job's next item.
  virtual void onPlanned(std::size_t job, const Urgency& urgency) = 0;
  /// Records that no further item of the job can be planned.
  virtual void onExhausted(std::size_t job) = 0;
  /// Records that an item of a job was leased.
  virtual void onLeased(const std::string& job) = 0;
};

}  // namespace tackpick::jobs
