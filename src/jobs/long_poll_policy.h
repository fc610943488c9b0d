/// \file
/// Decides when a long poll for results is answered.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "jobs/required_groups.h"

namespace tackpick::jobs {

/// Settings of a LongPollPolicy.
struct LongPollSettings {
  /// Time after the due time at which results are returned at the latest.
  base::Duration deadlineGrace = base::milliseconds(300);
  /// Number of recent jobs of a model from which the duration of the next is expected.
  std::size_t historySize = 5;
};

/// Holds long polls until a job's required groups are expected to be complete. A caller waits
/// for some time between a reply and its next read, so a reply shortly before the last required
/// result would delay the caller. A read is held, within the wait requested by its caller, if the
/// required groups are expected to complete by the end of that wait. The expected duration is that
/// of recent jobs of the model. Deterministic; kept in the memory of the ledgers' leader only.
class LongPollPolicy {
 public:
  explicit LongPollPolicy(LongPollSettings settings) : m_settings(settings) {}

  void reset();
  void addJob(const std::string& id, const Job& job, const std::set<std::string>& resubmitted);
  void removeJob(const std::string& id) { m_jobs.erase(id); }
  /// Returns the time since a job's submission.
  using AgeOf = std::function<base::Duration(const std::string& job)>;
  /// Updates the jobs from newly listed results.
  void observe(const JobState& state, const AgeOf& ageOf);
  /// Whether a read that has new results should be held. `requestAge`: age of the job when the read
  /// arrived; `remainingWait`: remaining wait of the read.
  [[nodiscard]] bool shouldHold(const std::string& id, const Job& job, base::Duration age,
                                base::Duration requestAge, base::Duration remainingWait) const;

 private:
  void recordDuration(const std::string& model, base::Duration age);
  /// Returns the median time until the required groups of recent jobs of the model were complete;
  /// before the first one, the due time of the job. std::nullopt: unknown.
  [[nodiscard]] std::optional<base::Duration> expected(const JobSubmission& job) const;

  const LongPollSettings m_settings;
  std::map<std::string, RequiredGroups> m_jobs;  ///< jobs whose required groups are incomplete
  /// Recent times to completion by model, latest last.
  std::map<std::string, std::deque<base::Duration>> m_durations;
};

}  // namespace tackpick::jobs
