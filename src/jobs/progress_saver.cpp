#include "jobs/progress_saver.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace tackpick::jobs {

namespace {

/// Minimum number of events that selects complete texts only.
constexpr std::uint64_t kCompleteOnly = std::numeric_limits<std::uint64_t>::max();

}  // namespace

bool ProgressSaver::hasUnsavedComplete(base::TimePoint now) const {
  const Runs runs = m_runs();
  return std::any_of(runs.begin(), runs.end(), [&](const auto& entry) {
    return entry.second->isUnsavedFor(m_settings.scoreTimeout, now);
  });
}

void ProgressSaver::tick(base::TimePoint now) {
  if (m_saving) {
    return;
  }
  const bool intervalElapsed = now - m_savedAt >= m_settings.interval;
  if (!intervalElapsed && !hasUnsavedComplete(now)) {
    return;
  }
  m_savedAt = intervalElapsed ? now : m_savedAt;
  SaveProgress request = collect(intervalElapsed ? m_settings.minEvents : kCompleteOnly);
  if (!request.jobs.empty()) {
    send(std::move(request), now, {});
  }
}

void ProgressSaver::flush(base::TimePoint now, std::function<void()> done) {
  send(collect(1), now, std::move(done));
}

SaveProgress ProgressSaver::collect(std::uint64_t minEvents) const {
  SaveProgress request;
  for (const auto& [key, run] : m_runs()) {
    std::optional<ItemProgress> progress =
        run->isFinished() ? std::nullopt : run->takeProgress(minEvents);
    if (!progress) {
      continue;
    }
    // Runs are ordered by job.
    if (request.jobs.empty() || request.jobs.back().job != key.job) {
      request.jobs.push_back({key.job, {}});
    }
    request.jobs.back().items.push_back(std::move(*progress));
  }
  return request;
}

void ProgressSaver::send(SaveProgress request, base::TimePoint now, std::function<void()> done) {
  m_saving = true;
  m_ledgers.call(JobRequest{request}, m_settings.callDeadline, now,
                 [this, request, done = std::move(done)](const JobReply* reply) {
                   m_saving = false;
                   onReply(request, reply != nullptr);
                   if (done) {
                     done();
                   }
                 });
}

void ProgressSaver::onReply(const SaveProgress& request, bool acknowledged) {
  const Runs runs = m_runs();
  for (const JobProgress& job : request.jobs) {
    for (const ItemProgress& progress : job.items) {
      m_savedTexts += acknowledged ? 1 : 0;
      const auto run = runs.find({job.job, progress.item});
      if (run != runs.end() && run->second->leased().lease == progress.delta.point.lease) {
        run->second->onProgressSaved(acknowledged);
      }
    }
  }
}

}  // namespace tackpick::jobs
