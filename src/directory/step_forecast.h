/// \file
/// Forecast of a trainer's next steps: time, required weights and slots.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/open_jobs.h"

namespace tackpick::directory {

/// Demand of one step on the engines of its model.
struct StepDemand {
  bool open = false;             ///< submitted with waiting items; otherwise expected
  std::uint64_t version = 0;     ///< minimum weights version
  std::uint32_t slots = 0;       ///< items without a result
  std::uint32_t waiting = 0;     ///< items that are not at any engine
  base::TimePoint expectedAt{};  ///< submission time, or earliest expected submission time
  base::Duration slack = base::Duration::max();
};

/// Settings of StepForecast.
struct StepForecastSettings {
  /// Number of submissions that a model's estimates are based on, enough for a median that one late
  /// step does not change.
  std::size_t historySize = 8;
  /// Age after which reported open jobs are ignored.
  base::Duration reportTimeout = base::seconds(3);
  /// Intervals without a step after which a model is expected to have no trainer.
  int maxIdleIntervals = 5;
};

/// Estimates by model when steps are submitted, from reported open jobs and the versions published
/// at that time. Deterministic; owned by one thread.
class StepForecast {
 public:
  explicit StepForecast(StepForecastSettings settings) : m_settings(settings) {}

  void reset() { m_models.clear(); }
  /// Updates the open jobs as reported at `reportedAt` and the newest published versions by model.
  void update(const jobs::OpenJobsByModel& openJobs,
              const std::map<std::string, std::uint64_t>& published, base::TimePoint reportedAt);
  /// Returns open steps with waiting items, sorted by slack, followed by expected steps. Empty
  /// until two submissions of the model have been recorded.
  [[nodiscard]] std::vector<StepDemand> stepDemands(const std::string& model,
                                                    std::uint64_t published,
                                                    base::TimePoint now) const;

 private:
  struct StepHistory {
    std::vector<jobs::OpenJob> open;
    base::TimePoint reportedAt{};
    std::set<std::string> openJobIds;  ///< ids of open jobs
    /// Jobs that ended recently; reports of them may be delayed.
    std::deque<std::string> recentlyEnded;
    std::deque<base::TimePoint> submittedAt;  ///< submission times of the last steps
    std::uint64_t lastMinVersion = 0;         ///< minimum version of the newest step
    std::deque<base::Duration> intervals;
    std::deque<std::uint64_t> increments;  ///< increments of the minimum version between steps
    std::deque<std::uint64_t> lags;        ///< newest published minus minimum version at submission
    std::deque<std::uint32_t> items;
    base::Duration slack = base::Duration::max();  ///< slack of the newest step at submission
  };

  void updateModel(StepHistory& steps, const std::vector<jobs::OpenJob>& openJobs,
                   std::uint64_t published, base::TimePoint reportedAt);
  void recordSubmission(StepHistory& steps, const jobs::OpenJob& openJob, std::uint64_t published,
                        base::TimePoint submittedAt);
  /// Returns the time at which the step after the newest is expected.
  [[nodiscard]] base::TimePoint nextStepTime(const StepHistory& steps,
                                             base::Duration interval) const;
  void addOpenSteps(const StepHistory& steps, base::TimePoint now,
                    std::vector<StepDemand>& stepDemands) const;
  void addExpectedSteps(const StepHistory& steps, std::uint64_t published, base::TimePoint now,
                        std::vector<StepDemand>& stepDemands) const;

  const StepForecastSettings m_settings;
  std::map<std::string, StepHistory> m_models;
};

}  // namespace tackpick::directory
