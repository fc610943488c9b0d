/// \file
/// When a trainer's next step comes, which weights it needs, and how many slots.
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

/// What one step needs of the engines of its model.
struct StepNeed {
  bool open = false;             ///< submitted, and has items that wait; else it is expected
  std::uint64_t version = 0;     ///< oldest weights that may make its texts
  std::uint32_t slots = 0;       ///< its items without a result
  std::uint32_t waiting = 0;     ///< of those, at no engine
  base::TimePoint expectedAt{};  ///< when it was submitted, or can be at the earliest
  base::Duration slack = base::Duration::max();
};

/// Knobs of StepForecast.
struct StepForecastSettings {
  /// Submissions that a model's figures are learnt from: enough for a median that one late step
  /// and the early one after it do not move.
  std::size_t memory = 8;
  /// What is open is told with each watch, twice a second; when nothing was told for this long it
  /// may have been settled.
  base::Duration staleAfter = base::seconds(3);
  /// A model without a step for so many intervals has no trainer any more.
  int patienceIntervals = 5;
};

/// Learns, by model, how steps follow each other from the jobs that are told as open and from the
/// versions published when they came. Deterministic; owned by one thread.
class StepForecast {
 public:
  explicit StepForecast(StepForecastSettings settings) : m_settings(settings) {}

  void reset() { m_models.clear(); }
  /// What is open, as told at `reportedAt`, and the newest versions by model.
  void note(const jobs::OpenJobsByModel& works,
            const std::map<std::string, std::uint64_t>& published, base::TimePoint reportedAt);
  /// Open steps with items that wait, by slack, and then those that are expected. Empty when too
  /// little is known of the model's steps.
  [[nodiscard]] std::vector<StepNeed> needs(const std::string& model, std::uint64_t published,
                                            base::TimePoint now) const;

 private:
  struct ModelSteps {
    std::vector<jobs::OpenJob> open;
    base::TimePoint reportedAt{};
    std::set<std::string> known;              ///< jobs that are open
    std::deque<std::string> ended;            ///< the last that were; news of them comes late
    std::deque<base::TimePoint> submittedAt;  ///< the last steps
    std::uint64_t minimum = 0;                ///< of the newest step
    std::deque<base::Duration> intervals;
    std::deque<std::uint64_t> increments;  ///< of the minimum from step to step
    std::deque<std::uint64_t> lags;        ///< of the minimum behind the newest version
    std::deque<std::uint32_t> items;
    base::Duration slack = base::Duration::max();  ///< of the newest step when it came
  };

  void noteModel(ModelSteps& steps, const std::vector<jobs::OpenJob>& works,
                 std::uint64_t published, base::TimePoint reportedAt);
  void noteSubmission(ModelSteps& steps, const jobs::OpenJob& work, std::uint64_t published,
                      base::TimePoint submittedAt);
  /// When the step after the newest is due.
  [[nodiscard]] base::TimePoint nextDue(const ModelSteps& steps, base::Duration interval) const;
  void addOpen(const ModelSteps& steps, base::TimePoint now, std::vector<StepNeed>& needs) const;
  void addExpected(const ModelSteps& steps, std::uint64_t published, base::TimePoint now,
                   std::vector<StepNeed>& needs) const;

  const StepForecastSettings m_settings;
  std::map<std::string, ModelSteps> m_models;
};

}  // namespace tackpick::directory
