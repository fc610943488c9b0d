#include "jobs/progress_saver.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace tackpick::jobs {

namespace {

/// No unfinished text has so many events.
constexpr std::uint64_t kNoUnfinished = std::numeric_limits<std::uint64_t>::max();

}  // namespace

bool ProgressSaver::anyWaitsForScore(base::TimePoint now) const {
  const Runs runs = m_runs();
  return std::any_of(runs.begin(), runs.end(), [&](const auto& entry) {
    return entry.second->waitsUnkept(m_settings.scoreWait, now);
  });
}

void ProgressSaver::tick(base::TimePoint now) {
  if (m_saving) {
    return;
  }
  const bool due = now - m_savedAt >= m_settings.interval;
  if (!due && !anyWaitsForScore(now)) {
    return;
  }
  m_savedAt = due ? now : m_savedAt;
  SaveProgress request = collect(due ? m_settings.minEvents : kNoUnfinished);
  if (!request.jobs.empty()) {
    send(std::move(request), now, {});
  }
}

void ProgressSaver::saveAll(base::TimePoint now, std::function<void()> done) {
  send(collect(1), now, std::move(done));
}

SaveProgress ProgressSaver::collect(std::uint64_t minEvents) const {
  SaveProgress request;
  for (const auto& [key, run] : m_runs()) {
    std::optional<ItemProgress> progress =
        run->isFinished() ? std::nullopt : run->offerProgress(minEvents);
    if (!progress) {
      continue;
    }
    // Runs are in order of their jobs.
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

void ProgressSaver::onReply(const SaveProgress& request, bool known) {
  const Runs runs = m_runs();
  for (const JobProgress& job : request.jobs) {
    for (const ItemProgress& progress : job.items) {
      m_savedTexts += known ? 1 : 0;
      const auto run = runs.find({job.job, progress.item});
      if (run != runs.end() && run->second->leased().lease == progress.added.point.lease) {
        run->second->onProgressSaved(known);
      }
    }
  }
}

}  // namespace tackpick::jobs
