/// \file
/// Gateway: the queue, the choice of engines, hedges, and reading engines.
#include <algorithm>

#include "engine/content.h"
#include "gateway/gateway.h"

namespace tackpick::gateway {
namespace {

/// Urgent classes may preempt lower ones on a full engine.
constexpr std::uint32_t kUrgentPriorityLimit = 3;

}  // namespace

void Gateway::enqueue(Job& job, base::TimePoint now) {
  routing::DispatchQueue::Entry entry;
  entry.job = job.id;
  entry.priority = job.priority;
  entry.workload = job.workload;
  const std::uint32_t predicted =
      job.sample ? job.sample->expectedTokens
                 : length_estimates_.expected(job.workload, job.prompt, job.maximumTokens);
  const auto done = static_cast<std::uint32_t>(job.partial.tokens.size());
  entry.expectedTokens = std::max<std::uint32_t>(predicted > done ? predicted - done : 1, 1);
  entry.longestFirst = job.sample.has_value() && settings_.longestFirst;
  entry.enqueuedAt = now;
  queue_.push(entry);
  job.queued = true;
}

void Gateway::dispatch(base::TimePoint now) {
  if (!view_.canServe(now)) {
    return;
  }
  bool progressed = true;
  while (progressed && queue_.size() > 0) {
    progressed = false;
    for (const routing::DispatchQueue::Entry& entry : queue_.candidates(now)) {
      Job& job = jobs_.at(entry.job);
      if (tryDispatch(job, false, now)) {
        queue_.dispatched(entry.job, now);
        job.queued = false;
        progressed = true;
        break;
      }
    }
  }
}

bool Gateway::tryDispatch(Job& job, bool isHedge, base::TimePoint now) {
  routing::EngineDemand demand;
  demand.model = job.model;
  demand.minimumVersion = job.minimumVersion;
  demand.excluded = job.refusedBy;
  demand.urgent = job.caller.has_value() && job.priority < kUrgentPriorityLimit;
  if (job.caller) {
    demand.prefixBlocks = engine::prefixBlocks(job.prompt);
  }
  for (const Attempt& running : job.attempts) {
    demand.excluded.insert(running.engine);
  }
  auto engine = selector_.select(engines_, outliers_, demand, now);
  if (!engine && !job.refusedBy.empty() && !isHedge) {
    // Every other engine is unfit: those that failed before are better than none.
    job.refusedBy.clear();
    demand.excluded.clear();
    engine = selector_.select(engines_, outliers_, demand, now);
  }
  if (!engine) {
    return false;
  }
  Attempt attempt;
  attempt.id = {uniqueNumber()};
  attempt.engine = *engine;
  attempt.startedAt = now;
  attempt.progressAt = now;
  attempt.isHedge = isHedge;
  attempt.output = isHedge ? job.attempts.front().output : job.partial;
  attempt.resumedFrom = static_cast<std::uint32_t>(attempt.output.tokens.size());

  StartAttempt start;
  start.engine = *engine;
  start.request.attempt = attempt.id;
  start.request.model = job.model;
  start.request.prompt = job.prompt;
  start.request.seed = job.seed;
  start.request.maximumTokens = job.maximumTokens;
  start.request.resumeFrom = attempt.resumedFrom;
  start.request.priority = job.priority;
  start.request.minimumVersion = job.minimumVersion;
  start.request.notRepeatable = job.caller && job.caller->notRepeatable;

  if (job.attemptCount == 0) {
    retry_budget_.onFirstAttempt();
  }
  ++job.attemptCount;
  ++counters_.attemptsStarted;
  engines_.onDispatch(*engine);
  job_by_attempt_[attempt.id] = job.id;
  job.attempts.push_back(std::move(attempt));
  actions_.actions.emplace_back(std::move(start));
  return true;
}

void Gateway::hedgeSlowSamples(base::TimePoint now) {
  if (!settings_.hedgeTail || queue_.size() > 0 || !view_.canServe(now)) {
    return;
  }
  for (auto& [id, job] : jobs_) {
    if (!job.sample || !job.hedgingAllowed || job.finishing || job.attempts.size() != 1 ||
        now - job.attempts.front().startedAt < settings_.hedgeAfter) {
      continue;
    }
    const auto capacity = engines_.capacity(job.model, now);
    const auto busy = static_cast<double>(capacity.load);
    if (busy > settings_.hedgeIdleShare * static_cast<double>(capacity.slots)) {
      return;
    }
    // Engines differ little in speed, so a second run of a sample that makes progress only wastes
    // tokens: see docs/BENCHMARKS.md.
    const bool unresponsive = now - job.attempts.front().progressAt > settings_.hedgeAfter;
    if (unresponsive && tryDispatch(job, true, now)) {
      ++counters_.attemptsHedged;
    }
  }
}

bool Gateway::isReaderOf(base::EngineId engine) const {
  if (settings_.readersPerEngine == 0 || settings_.peers.size() <= settings_.readersPerEngine) {
    return true;
  }
  const std::uint64_t own = base::mix(engine.value, settings_.self.value);
  const auto stronger =
      std::count_if(settings_.peers.begin(), settings_.peers.end(),
                    [&](base::NodeId peer) { return base::mix(engine.value, peer.value) > own; });
  return static_cast<std::uint32_t>(stronger) < settings_.readersPerEngine;
}

control::ControlDelta Gateway::withOwnEngines(const control::ControlDelta& delta) const {
  control::ControlDelta own;
  own.from = delta.from;
  own.to = delta.to;
  own.full = delta.full;
  for (const control::EngineRecord& record : delta.engines) {
    if (isReaderOf(record.engine)) {
      own.engines.push_back(record);
    }
  }
  return own;
}

void Gateway::pollEngines(base::TimePoint now) {
  std::erase_if(read_at_, [&](const auto& entry) { return engines_.find(entry.first) == nullptr; });
  for (const auto& [id, entry] : engines_.entries()) {
    base::TimePoint& readAt = read_at_[id];
    if (now - readAt < settings_.readInterval) {
      continue;
    }
    readAt = now;
    engines_.onReadSent(id, now);
    actions_.actions.emplace_back(PollEngine{id});
  }
}

void Gateway::onEngineStatus(const engine::EngineStatus& status, base::TimePoint now) {
  engines_.onStatus(status, now);
  dispatch(now);
}

}  // namespace tackpick::gateway
