#include "directory/step_forecast.h"

#include <algorithm>
#include <iterator>

namespace tackpick::directory {
namespace {

/// Maximum number of steps that are forecast ahead of the newest.
constexpr std::uint64_t kMaxExpected = 2;
/// Number of submissions from which the time of the next step is estimated.
constexpr std::size_t kSubmissionHistorySize = 4;
/// Maximum age of a job at its first report for which its lag is recorded. Older jobs may have been
/// submitted before the newest version was published.
constexpr base::Duration kNewJobMaxAge = base::milliseconds(500);

template <class Value>
void pushBounded(std::deque<Value>& values, const Value& value, std::size_t historySize) {
  values.push_back(value);
  if (values.size() > historySize) {
    values.pop_front();
  }
}

/// Selects the lower or the upper middle value as the median of an even number of values.
enum class Median : std::uint8_t { kLower, kUpper };
template <class Value>
Value medianOf(const std::deque<Value>& values, const Value& fallback,
               Median median = Median::kLower) {
  if (values.empty()) {
    return fallback;
  }
  std::vector<Value> sorted(values.begin(), values.end());
  const std::size_t index = (sorted.size() - (median == Median::kLower ? 1 : 0)) / 2;
  const auto middle = std::next(sorted.begin(), static_cast<std::ptrdiff_t>(index));
  std::nth_element(sorted.begin(), middle, sorted.end());
  return *middle;
}

}  // namespace

void StepForecast::update(const jobs::OpenJobsByModel& openJobs,
                          const std::map<std::string, std::uint64_t>& published,
                          base::TimePoint reportedAt) {
  for (const auto& [model, open] : openJobs) {
    const auto version = published.find(model);
    updateModel(m_models[model], open, version == published.end() ? 0 : version->second,
                reportedAt);
  }
  for (auto& [model, steps] : m_models) {
    if (!openJobs.contains(model)) {
      updateModel(steps, {}, 0, reportedAt);
    }
  }
}

void StepForecast::updateModel(StepHistory& steps, const std::vector<jobs::OpenJob>& openJobs,
                               std::uint64_t published, base::TimePoint reportedAt) {
  std::set<std::string> open;
  for (const jobs::OpenJob& openJob : openJobs) {
    open.insert(openJob.job);
    const bool isKnown = steps.openJobIds.contains(openJob.job) ||
                         std::find(steps.recentlyEnded.begin(), steps.recentlyEnded.end(),
                                   openJob.job) != steps.recentlyEnded.end();
    if (!isKnown) {
      recordSubmission(steps, openJob, published, reportedAt - openJob.age);
    }
  }
  for (const std::string& job : steps.openJobIds) {
    if (!open.contains(job)) {
      pushBounded(steps.recentlyEnded, job, m_settings.historySize);
    }
  }
  steps.openJobIds = std::move(open);
  steps.open = openJobs;
  steps.reportedAt = reportedAt;
}

void StepForecast::recordSubmission(StepHistory& steps, const jobs::OpenJob& openJob,
                                    std::uint64_t published, base::TimePoint submittedAt) {
  if (!steps.submittedAt.empty()) {
    const base::TimePoint last = steps.submittedAt.back();
    if (submittedAt < last) {
      return;  // the clock of a new ledgers' leader may differ; the interval is unusable
    }
    pushBounded(steps.intervals, submittedAt - last, m_settings.historySize);
    const std::uint64_t increment =
        openJob.minimumVersion - std::min(openJob.minimumVersion, steps.lastMinVersion);
    pushBounded(steps.increments, increment, m_settings.historySize);
  }
  if (openJob.age < kNewJobMaxAge && openJob.minimumVersion <= published) {
    pushBounded(steps.lags, published - openJob.minimumVersion, m_settings.historySize);
  }
  pushBounded(steps.items, openJob.items, m_settings.historySize);
  pushBounded(steps.submittedAt, submittedAt, kSubmissionHistorySize);
  steps.lastMinVersion = openJob.minimumVersion;
  steps.slack = openJob.slack;
}

base::TimePoint StepForecast::nextStepTime(const StepHistory& steps,
                                           base::Duration interval) const {
  // A late step does not delay the next one: the earliest estimate is used.
  base::TimePoint due = base::TimePoint::max();
  int distance = static_cast<int>(steps.submittedAt.size());
  for (const base::TimePoint submittedAt : steps.submittedAt) {
    due = std::min(due, submittedAt + interval * distance);
    --distance;
  }
  return due;
}

std::vector<StepDemand> StepForecast::stepDemands(const std::string& model, std::uint64_t published,
                                                  base::TimePoint now) const {
  std::vector<StepDemand> stepDemands;
  const auto found = m_models.find(model);
  if (found == m_models.end() || found->second.intervals.empty()) {
    return stepDemands;
  }
  addOpenSteps(found->second, now, stepDemands);
  addExpectedSteps(found->second, published, now, stepDemands);
  return stepDemands;
}

void StepForecast::addOpenSteps(const StepHistory& steps, base::TimePoint now,
                                std::vector<StepDemand>& stepDemands) const {
  if (now - steps.reportedAt > m_settings.reportTimeout) {
    return;
  }
  for (const jobs::OpenJob& openJob : steps.open) {
    if (openJob.waiting > 0) {
      stepDemands.push_back({true, openJob.minimumVersion, openJob.items, openJob.waiting,
                             steps.reportedAt - openJob.age, openJob.slack});
    }
  }
  std::stable_sort(
      stepDemands.begin(), stepDemands.end(),
      [](const StepDemand& left, const StepDemand& right) { return left.slack < right.slack; });
}

void StepForecast::addExpectedSteps(const StepHistory& steps, std::uint64_t published,
                                    base::TimePoint now,
                                    std::vector<StepDemand>& stepDemands) const {
  const base::Duration interval = medianOf(steps.intervals, base::Duration{0});
  if (now - steps.submittedAt.back() > interval * m_settings.maxIdleIntervals) {
    return;
  }
  // The first steps of a trainer may all have the same minimum version; the upper median ignores
  // them.
  const std::uint64_t increment = medianOf(steps.increments, std::uint64_t{1}, Median::kUpper);
  const std::uint64_t lag = medianOf(steps.lags, std::uint64_t{1});
  const std::uint32_t slots = medianOf(steps.items, 0U);
  const base::TimePoint firstExpectedAt = nextStepTime(steps, interval);
  for (std::uint64_t ahead = 1; ahead <= kMaxExpected; ++ahead) {
    const std::uint64_t version = steps.lastMinVersion + ahead * increment;
    const base::TimePoint due = firstExpectedAt + interval * static_cast<int>(ahead - 1);
    stepDemands.push_back({false, version, slots, slots, due, steps.slack});
    // Later steps depend on a version that is not published yet.
    if (version + lag > published) {
      break;
    }
  }
}

}  // namespace tackpick::directory
