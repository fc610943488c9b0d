#include "directory/step_forecast.h"

#include <algorithm>
#include <iterator>

namespace tackpick::directory {
namespace {

/// Steps that are forecast ahead of the newest, at most: a trainer has few open at once.
constexpr std::uint64_t kMaxExpected = 2;
/// Steps that the time of the next is taken from: late ones among them are few, and an error of the
/// interval counts no more often.
constexpr std::size_t kSchedule = 4;
/// A job this old when it is first told came before versions that are published by now.
constexpr base::Duration kFreshJob = base::milliseconds(500);

template <class Value>
void remember(std::deque<Value>& values, const Value& value, std::size_t memory) {
  values.push_back(value);
  if (values.size() > memory) {
    values.pop_front();
  }
}

/// The lower or the upper median; `otherwise` where nothing is known.
enum class Median : std::uint8_t { kLower, kUpper };
template <class Value>
Value medianOf(const std::deque<Value>& values, const Value& otherwise,
               Median median = Median::kLower) {
  if (values.empty()) {
    return otherwise;
  }
  std::vector<Value> sorted(values.begin(), values.end());
  const std::size_t index = (sorted.size() - (median == Median::kLower ? 1 : 0)) / 2;
  const auto middle = std::next(sorted.begin(), static_cast<std::ptrdiff_t>(index));
  std::nth_element(sorted.begin(), middle, sorted.end());
  return *middle;
}

}  // namespace

void StepForecast::note(const jobs::OpenJobsByModel& works,
                        const std::map<std::string, std::uint64_t>& published,
                        base::TimePoint reportedAt) {
  for (const auto& [model, open] : works) {
    const auto version = published.find(model);
    noteModel(m_models[model], open, version == published.end() ? 0 : version->second, reportedAt);
  }
  for (auto& [model, steps] : m_models) {
    if (!works.contains(model)) {
      noteModel(steps, {}, 0, reportedAt);
    }
  }
}

void StepForecast::noteModel(ModelSteps& steps, const std::vector<jobs::OpenJob>& works,
                             std::uint64_t published, base::TimePoint reportedAt) {
  std::set<std::string> open;
  for (const jobs::OpenJob& work : works) {
    open.insert(work.job);
    const bool isKnown =
        steps.known.contains(work.job) ||
        std::find(steps.ended.begin(), steps.ended.end(), work.job) != steps.ended.end();
    if (!isKnown) {
      noteSubmission(steps, work, published, reportedAt - work.age);
    }
  }
  for (const std::string& job : steps.known) {
    if (!open.contains(job)) {
      remember(steps.ended, job, m_settings.memory);
    }
  }
  steps.known = std::move(open);
  steps.open = works;
  steps.reportedAt = reportedAt;
}

void StepForecast::noteSubmission(ModelSteps& steps, const jobs::OpenJob& work,
                                  std::uint64_t published, base::TimePoint submittedAt) {
  if (!steps.submittedAt.empty()) {
    const base::TimePoint last = steps.submittedAt.back();
    if (submittedAt < last) {
      return;  // the clock of another leader of the ledgers: its age says nothing
    }
    remember(steps.intervals, submittedAt - last, m_settings.memory);
    const std::uint64_t increment =
        work.minimumVersion - std::min(work.minimumVersion, steps.minimum);
    remember(steps.increments, increment, m_settings.memory);
  }
  if (work.age < kFreshJob && work.minimumVersion <= published) {
    remember(steps.lags, published - work.minimumVersion, m_settings.memory);
  }
  remember(steps.items, work.items, m_settings.memory);
  remember(steps.submittedAt, submittedAt, kSchedule);
  steps.minimum = work.minimumVersion;
  steps.slack = work.slack;
}

base::TimePoint StepForecast::nextDue(const ModelSteps& steps, base::Duration interval) const {
  // A late step does not move the time of the next: the earliest by the last few is taken.
  base::TimePoint due = base::TimePoint::max();
  int distance = static_cast<int>(steps.submittedAt.size());
  for (const base::TimePoint submittedAt : steps.submittedAt) {
    due = std::min(due, submittedAt + interval * distance);
    --distance;
  }
  return due;
}

std::vector<StepNeed> StepForecast::needs(const std::string& model, std::uint64_t published,
                                          base::TimePoint now) const {
  std::vector<StepNeed> needs;
  const auto found = m_models.find(model);
  if (found == m_models.end() || found->second.intervals.empty()) {
    return needs;
  }
  addOpen(found->second, now, needs);
  addExpected(found->second, published, now, needs);
  return needs;
}

void StepForecast::addOpen(const ModelSteps& steps, base::TimePoint now,
                           std::vector<StepNeed>& needs) const {
  if (now - steps.reportedAt > m_settings.staleAfter) {
    return;
  }
  for (const jobs::OpenJob& work : steps.open) {
    if (work.waiting > 0) {
      needs.push_back({true, work.minimumVersion, work.items, work.waiting,
                       steps.reportedAt - work.age, work.slack});
    }
  }
  std::stable_sort(needs.begin(), needs.end(), [](const StepNeed& left, const StepNeed& right) {
    return left.slack < right.slack;
  });
}

void StepForecast::addExpected(const ModelSteps& steps, std::uint64_t published,
                               base::TimePoint now, std::vector<StepNeed>& needs) const {
  const base::Duration interval = medianOf(steps.intervals, base::Duration{0});
  if (now - steps.submittedAt.back() > interval * m_settings.patienceIntervals) {
    return;
  }
  // The first steps of a trainer may all allow the first version: they do not count as the rule.
  const std::uint64_t increment = medianOf(steps.increments, std::uint64_t{1}, Median::kUpper);
  const std::uint64_t lag = medianOf(steps.lags, std::uint64_t{1});
  const std::uint32_t slots = medianOf(steps.items, 0U);
  const base::TimePoint firstDue = nextDue(steps, interval);
  for (std::uint64_t ahead = 1; ahead <= kMaxExpected; ++ahead) {
    const std::uint64_t version = steps.minimum + ahead * increment;
    const base::TimePoint due = firstDue + interval * static_cast<int>(ahead - 1);
    needs.push_back({false, version, slots, slots, due, steps.slack});
    // The one after it comes when a version is published that is not there yet.
    if (version + lag > published) {
      break;
    }
  }
}

}  // namespace tackpick::directory
