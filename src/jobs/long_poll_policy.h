/// \file
/// When a held read of results is answered.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "jobs/required_groups.h"

namespace tackpick::jobs {

/// Knobs of a LongPollPolicy.
struct LongPollSettings {
  /// Results are told so long after they were due at the latest.
  base::Duration lateness = base::milliseconds(300);
  /// Jobs of a model from which the time of the next is told.
  std::size_t remembered = 5;
};

/// A caller that waits for whole groups reads, and reads again half a second after an answer. An
/// answer with the first new result, just before the last one that it needs, costs it that half
/// second: 0.5 to 0.9 s of a step of 8 s. So a read is held, within the wait that its caller asked
/// for, when the job's wanted groups are expected to be whole by its end. Expected is what the last
/// jobs of the model took. Deterministic; in the memory of the ledgers' leader only.
class LongPollPolicy {
 public:
  explicit LongPollPolicy(LongPollSettings settings) : m_settings(settings) {}

  void reset();
  void addJob(const std::string& id, const Job& job, const std::set<std::string>& resubmitted);
  void forgetJob(const std::string& id) { m_jobs.erase(id); }
  /// The time since a job's submission.
  using AgeOf = std::function<base::Duration(const std::string& job)>;
  /// Results may have been listed.
  void observe(const JobState& state, const AgeOf& ageOf);
  /// True when a read with new results should go on waiting. `asked`: the job's age when it came;
  /// `left`: of its wait.
  [[nodiscard]] bool holds(const std::string& id, const Job& job, base::Duration age,
                           base::Duration asked, base::Duration left) const;

 private:
  void noteTaken(const std::string& model, base::Duration age);
  /// What jobs of its model took until their wanted groups were whole; until one did, the time when
  /// the job's results are due. Nothing: unknown.
  [[nodiscard]] std::optional<base::Duration> expected(const JobSubmission& job) const;

  const LongPollSettings m_settings;
  std::map<std::string, RequiredGroups> m_jobs;               ///< whose wanted groups are not whole
  std::map<std::string, std::deque<base::Duration>> m_taken;  ///< by model, the latest last
};

}  // namespace tackpick::jobs
