/// \file
/// In which order queued items are planned, over all jobs and tenants.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace tackpick::jobs {

/// Which order holds.
enum class SchedulerPolicy : std::uint8_t {
  kAutomatic,  ///< by slack as soon as jobs of several models, tenants or priorities were seen
  kOldestFirst,
  kBySlack,
};

/// How urgent an item is; the least goes first. Coarse on purpose: the lengths of texts are
/// estimates, and jobs whose items differ by less than the estimates' error keep their order.
struct Urgency {
  /// The job cannot be whole in time any more: others that can go first.
  bool late = false;
  /// The caller can do without the item's group.
  bool spare = false;
  /// Rises with the slack; see slackClassOf().
  std::uint32_t slackClass = 0;

  auto operator<=>(const Urgency&) const = default;
};

/// The class of an item that may wait for `slack` and still be whole in time. Each class but the
/// first is as wide as all before it: the nearer the due time, the finer.
[[nodiscard]] std::uint32_t slackClassOf(base::Duration slack);

/// A job with queued items.
struct QueuedWork {
  std::string job;
  std::string tenant;
  std::uint32_t priority = 0;  ///< 0 is the highest
  Urgency urgency;             ///< of its next item
};

/// Plans one item after the other. Deterministic.
class JobScheduler {
 public:
  JobScheduler() = default;
  JobScheduler(const JobScheduler&) = delete;
  JobScheduler& operator=(const JobScheduler&) = delete;
  virtual ~JobScheduler() = default;

  /// Begins a plan over `work`, oldest job first. What was planned and not leased is planned anew.
  virtual void begin(const std::vector<QueuedWork>& work) = 0;
  /// The job whose next item is to be planned, by its position in begin(); nothing: none is left.
  [[nodiscard]] virtual std::optional<std::size_t> next() = 0;
  /// An item of the job was planned; `urgency` is that of the one behind it.
  virtual void onPlanned(std::size_t job, const Urgency& urgency) = 0;
  /// No further item of the job can be planned.
  virtual void onExhausted(std::size_t job) = 0;
  /// An item of a job was leased.
  virtual void onLeased(const std::string& job) = 0;
};

}  // namespace tackpick::jobs
