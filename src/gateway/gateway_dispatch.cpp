/// \file
/// Gateway: queueing, engine selection, hedging, and polling of engines.
#include <algorithm>

#include "engine/content.h"
#include "gateway/gateway.h"

namespace tackpick::gateway {
namespace {

/// Requests with a priority number below this may preempt others on a full engine.
constexpr std::uint32_t kPreemptingPriorityLimit = 3;

}  // namespace

void Gateway::enqueue(Task& task, base::TimePoint now) {
  routing::DispatchQueue::Entry entry;
  entry.task = task.id;
  entry.priority = task.priority;
  entry.workload = task.workload;
  const std::uint32_t predicted =
      task.sample ? task.sample->expectedTokens
                  : m_lengthEstimator.estimate(task.workload, task.prompt, task.maximumTokens);
  const auto generatedTokens = static_cast<std::uint32_t>(task.partialOutput.tokens.size());
  entry.expectedTokens =
      std::max<std::uint32_t>(predicted > generatedTokens ? predicted - generatedTokens : 1, 1);
  entry.longestFirst = task.sample.has_value() && settings_.longestFirst;
  entry.enqueuedAt = now;
  queue_.push(entry);
  task.queued = true;
}

void Gateway::dispatch(base::TimePoint now) {
  if (!m_controlView.canServe(now)) {
    return;
  }
  bool progressed = true;
  while (progressed && queue_.size() > 0) {
    progressed = false;
    for (const routing::DispatchQueue::Entry& entry : queue_.candidates(now)) {
      Task& task = m_tasks.at(entry.task);
      if (tryDispatch(task, false, now)) {
        queue_.removeDispatched(entry.task, now);
        task.queued = false;
        progressed = true;
        break;
      }
    }
  }
}

bool Gateway::tryDispatch(Task& task, bool isHedge, base::TimePoint now) {
  routing::SelectionCriteria criteria;
  criteria.model = task.model;
  criteria.minimumVersion = task.minimumVersion;
  criteria.excluded = task.excludedEngines;
  criteria.mayPreempt = task.caller.has_value() && task.priority < kPreemptingPriorityLimit;
  if (task.caller) {
    criteria.prefixBlockHashes = engine::prefixBlockHashes(task.prompt);
  }
  for (const Attempt& running : task.attempts) {
    criteria.excluded.insert(running.engine);
  }
  auto engine = selector_.select(engines_, outliers_, criteria, now);
  if (!engine && !task.excludedEngines.empty() && !isHedge) {
    // No other engine is available: retry the engines that rejected or failed the task.
    task.excludedEngines.clear();
    criteria.excluded.clear();
    engine = selector_.select(engines_, outliers_, criteria, now);
  }
  if (!engine) {
    return false;
  }
  Attempt attempt;
  attempt.id = {nextUniqueId()};
  attempt.engine = *engine;
  attempt.startedAt = now;
  attempt.lastProgressAt = now;
  attempt.isHedge = isHedge;
  attempt.output = isHedge ? task.attempts.front().output : task.partialOutput;
  attempt.resumeOffset = static_cast<std::uint32_t>(attempt.output.tokens.size());

  StartAttempt start;
  start.engine = *engine;
  start.request.attempt = attempt.id;
  start.request.model = task.model;
  start.request.prompt = task.prompt;
  start.request.seed = task.seed;
  start.request.maximumTokens = task.maximumTokens;
  start.request.resumeFrom = attempt.resumeOffset;
  start.request.priority = task.priority;
  start.request.minimumVersion = task.minimumVersion;
  start.request.notRepeatable = task.caller && task.caller->notRepeatable;

  if (task.attemptCount == 0) {
    retry_budget_.onFirstAttempt();
  }
  ++task.attemptCount;
  ++counters_.attemptsStarted;
  engines_.onDispatch(*engine);
  m_taskByAttempt[attempt.id] = task.id;
  task.attempts.push_back(std::move(attempt));
  actions_.actions.emplace_back(std::move(start));
  return true;
}

void Gateway::hedgeSlowSamples(base::TimePoint now) {
  if (!settings_.hedgeSlowSamplesEnabled || queue_.size() > 0 || !m_controlView.canServe(now)) {
    return;
  }
  for (auto& [id, task] : m_tasks) {
    if (!task.sample || !task.hedgingAllowed || task.outcomeDecided || task.attempts.size() != 1 ||
        now - task.attempts.front().startedAt < settings_.hedgeDelay) {
      continue;
    }
    const auto capacity = engines_.capacity(task.model, now);
    const auto busy = static_cast<double>(capacity.load);
    if (busy > settings_.maxHedgeUtilization * static_cast<double>(capacity.slots)) {
      return;
    }
    // Hedge only samples without progress: engines differ little in speed, so a second attempt of a
    // sample that makes progress only wastes tokens.
    const bool unresponsive = now - task.attempts.front().lastProgressAt > settings_.hedgeDelay;
    if (unresponsive && tryDispatch(task, true, now)) {
      ++counters_.attemptsHedged;
    }
  }
}

bool Gateway::usesEngine(base::EngineId engine) const {
  if (settings_.gatewaysPerEngine == 0 || settings_.peers.size() <= settings_.gatewaysPerEngine) {
    return true;
  }
  const std::uint64_t ownWeight = base::mix(engine.value, settings_.self.value);
  const auto higherRanked = std::count_if(
      settings_.peers.begin(), settings_.peers.end(),
      [&](base::NodeId peer) { return base::mix(engine.value, peer.value) > ownWeight; });
  return static_cast<std::uint32_t>(higherRanked) < settings_.gatewaysPerEngine;
}

control::ControlDelta Gateway::filterEngines(const control::ControlDelta& delta) const {
  control::ControlDelta filtered;
  filtered.from = delta.from;
  filtered.to = delta.to;
  filtered.full = delta.full;
  for (const control::EngineRecord& record : delta.engines) {
    if (usesEngine(record.engine)) {
      filtered.engines.push_back(record);
    }
  }
  return filtered;
}

void Gateway::pollEngines(base::TimePoint now) {
  std::erase_if(m_lastPolledAt,
                [&](const auto& entry) { return engines_.find(entry.first) == nullptr; });
  for (const auto& [id, entry] : engines_.entries()) {
    base::TimePoint& lastPolledAt = m_lastPolledAt[id];
    if (now - lastPolledAt < settings_.pollInterval) {
      continue;
    }
    lastPolledAt = now;
    engines_.onPollSent(id, now);
    actions_.actions.emplace_back(PollEngine{id});
  }
}

void Gateway::onEngineStatus(const engine::EngineStatus& status, base::TimePoint now) {
  engines_.onStatus(status, now);
  dispatch(now);
}

}  // namespace tackpick::gateway
