/// \file
/// Gateway: output and end of attempts, retries, deadlines, and the outcome of tasks.
#include <algorithm>

#include "gateway/gateway.h"

namespace tackpick::gateway {

Task* Gateway::findTask(base::AttemptId attempt) {
  const auto found = m_taskByAttempt.find(attempt);
  return found == m_taskByAttempt.end() ? nullptr : &m_tasks.at(found->second);
}

void Gateway::onChunk(const engine::Chunk& chunk, base::TimePoint now) {
  counters_.tokensReceived += chunk.tokens.size();
  Task* task = findTask(chunk.attempt);
  if (task == nullptr) {
    counters_.tokensDiscarded += chunk.tokens.size();
    return;
  }
  const auto attempt = std::find_if(task->attempts.begin(), task->attempts.end(),
                                    [&](const Attempt& a) { return a.id == chunk.attempt; });
  task->verdict = base::combine(task->verdict, base::Verdict::kMayHaveRun);
  const std::size_t expected = attempt->output.tokens.size();
  if (!settings_.mutants.ignoreOffsets) {
    if (chunk.offset + chunk.tokens.size() <= expected) {
      return;  // a duplicate chunk
    }
    if (chunk.offset != expected || !chunk.version.valid() ||
        chunk.version < task->minimumVersion) {
      // Tokens are missing, or their version is unknown or too old: the attempt cannot continue.
      removeAttempt(*task, chunk.attempt, true, now);
      onAttemptFailed(*task, now);
      return;
    }
  }
  attempt->lastProgressAt = now;
  const base::WeightsVersion label = settings_.mutants.labelWithPublishedVersion
                                         ? m_controlView.publishedVersion(task->model)
                                         : chunk.version;
  attempt->output.append(label, chunk.tokens);
  if (task->caller && task->caller->stream) {
    task->streamedTokens = static_cast<std::uint32_t>(attempt->output.tokens.size());
    actions_.actions.emplace_back(
        StreamTokens{task->caller->id, chunk.offset, label, chunk.tokens});
  }
}

void Gateway::onAttemptEnd(const engine::AttemptEnd& end, base::TimePoint now) {
  Task* task = findTask(end.attempt);
  if (task == nullptr) {
    return;
  }
  const auto attempt = std::find_if(task->attempts.begin(), task->attempts.end(),
                                    [&](const Attempt& a) { return a.id == end.attempt; });
  const base::EngineId engine = attempt->engine;
  if (end.kind != engine::EndKind::kRejected) {
    const bool notSent =
        end.kind == engine::EndKind::kLost && end.verdict == base::Verdict::kNotRun;
    const base::Verdict attemptVerdict =
        notSent ? base::Verdict::kNotRun : base::Verdict::kMayHaveRun;
    task->verdict = settings_.mutants.ignoreEarlierVerdicts
                        ? end.verdict
                        : base::combine(task->verdict, attemptVerdict);
  } else if (settings_.mutants.ignoreEarlierVerdicts) {
    task->verdict = base::Verdict::kNotRun;
  }
  const bool complete =
      end.kind == engine::EndKind::kFinished && end.totalTokens == attempt->output.tokens.size();
  if (complete || (settings_.mutants.acceptTruncatedStream && end.kind == engine::EndKind::kLost)) {
    outliers_.onSuccess(engine);
    task->verdict = base::Verdict::kRan;
    VersionedTokens output = attempt->output;
    const std::string reason = complete ? end.finishReason : "stop";
    // Prevents removeAttempt() from counting the tokens as discarded.
    attempt->resumeOffset = static_cast<std::uint32_t>(output.tokens.size());
    task->outcomeDecided = true;
    removeAttempt(*task, end.attempt, false, now);
    completeTask(*task, std::move(output), reason, now);
    dispatch(now);
    return;
  }
  if (end.kind == engine::EndKind::kRejected) {
    task->excludedEngines.insert(engine);
  } else if (end.kind != engine::EndKind::kCancelled) {
    task->excludedEngines.insert(engine);
    outliers_.onFailure(engine, now);
  }
  removeAttempt(*task, end.attempt, false, now);
  onAttemptFailed(*task, now);
  dispatch(now);
}

void Gateway::removeAttempt(Task& task, base::AttemptId id, bool cancel, base::TimePoint /*now*/) {
  const auto attempt = std::find_if(task.attempts.begin(), task.attempts.end(),
                                    [&](const Attempt& a) { return a.id == id; });
  if (attempt == task.attempts.end()) {
    return;
  }
  if (cancel) {
    actions_.actions.emplace_back(CancelAttempt{attempt->engine, id});
  }
  engines_.onAttemptFinished(attempt->engine);
  m_taskByAttempt.erase(id);
  const std::size_t newTokens = attempt->output.tokens.size() - attempt->resumeOffset;
  const bool keep = settings_.resumePartialOutput && !task.outcomeDecided &&
                    attempt->output.tokens.size() > task.partialOutput.tokens.size();
  if (keep) {
    task.partialOutput = std::move(attempt->output);
  } else {
    counters_.tokensDiscarded += newTokens;
  }
  task.attempts.erase(attempt);
}

void Gateway::onAttemptFailed(Task& task, base::TimePoint now) {
  if (task.attempts.empty() && !task.queued && !task.outcomeDecided) {
    retryOrFail(task, now);
  }
}

void Gateway::retryOrFail(Task& task, base::TimePoint now) {
  const bool isRetryable = !task.caller || !task.caller->notRepeatable ||
                           task.verdict == base::Verdict::kNotRun ||
                           settings_.mutants.retryUnknownOutcome;
  if (!isRetryable) {
    failTask(task, RejectionReason::kEngineFailed, "the engine failed and the request may have run",
             now);
    return;
  }
  if (task.caller) {
    const bool retryAllowed =
        task.attemptCount < settings_.maxAttempts && retry_budget_.tryAcquire();
    if (!retryAllowed) {
      failTask(task, RejectionReason::kEngineFailed, "no engine could run the request", now);
      return;
    }
  }
  if (task.partialOutput.tokens.size() < task.streamedTokens || !settings_.resumePartialOutput) {
    task.partialOutput = {};
    if (task.streamedTokens > 0) {
      failTask(task, RejectionReason::kEngineFailed, "the stream was interrupted", now);
      return;
    }
  }
  ++counters_.attemptsRetried;
  constexpr std::uint32_t kMaxBackoffShift = 6;
  const auto factor = base::Duration::rep{1} << std::min(task.attemptCount, kMaxBackoffShift);
  const auto backoff = settings_.retryBackoff * factor / 2;
  const auto jitter = random_.below(static_cast<std::uint64_t>(backoff.count()) + 1);
  task.retryNotBefore =
      now + backoff / 2 + base::Duration(static_cast<base::Duration::rep>(jitter));
  waiting_for_retry_.insert(task.id);
}

void Gateway::completeTask(Task& task, VersionedTokens output, std::string finishReason,
                           base::TimePoint now) {
  task.outcomeDecided = true;
  while (!task.attempts.empty()) {
    removeAttempt(task, task.attempts.front().id, true, now);
  }
  if (task.caller) {
    m_lengthEstimator.observe(task.workload, task.prompt, output.tokens.size());
  }
  if (task.sample) {
    ledger::SampleResult result;
    result.index = task.sample->sample.index;
    result.tokens = std::move(output.tokens);
    result.spans = std::move(output.spans);
    result.finishReason = std::move(finishReason);
    commitSample(task, std::move(result), now);
    return;
  }
  ++counters_.requestsCompleted;
  CompleteRequest completion{task.caller->id, std::move(output), std::move(finishReason)};
  base::Bytes recorded =
      task.claim == ClaimState::kHeld ? encodeResponse(completion) : base::Bytes{};
  recordOutcome(task, ledger::ClaimOutcome::kCompleted, std::move(recorded), now,
                Action{std::move(completion)});
}

void Gateway::failTask(Task& task, RejectionReason reason, std::string message,
                       base::TimePoint now) {
  task.outcomeDecided = true;
  if (task.queued) {
    queue_.remove(task.id);
    task.queued = false;
  }
  waiting_for_retry_.erase(task.id);
  while (!task.attempts.empty()) {
    task.verdict = base::combine(task.verdict, base::Verdict::kMayHaveRun);
    removeAttempt(task, task.attempts.front().id, true, now);
  }
  const bool notRun = task.verdict == base::Verdict::kNotRun;
  RejectRequest rejection{task.caller->id, reason, task.verdict, std::move(message),
                          retryAfter(task.priority, task.model, now)};
  if (notRun) {
    ++counters_.requestsRefusedNotRun;
  } else {
    ++counters_.requestsIndeterminate;
  }
  recordOutcome(task, notRun ? ledger::ClaimOutcome::kNotRun : ledger::ClaimOutcome::kUnknown, {},
                now, Action{std::move(rejection)});
}

void Gateway::recordOutcome(Task& task, ledger::ClaimOutcome outcome, base::Bytes response,
                            base::TimePoint now, Action finalAction) {
  // An unknown outcome is not recorded: it is the initial state of a claim.
  if (task.claim != ClaimState::kHeld || outcome == ledger::ClaimOutcome::kUnknown) {
    actions_.actions.push_back(std::move(finalAction));
    removeTask(task.id);
    return;
  }
  ledger::RecordOutcome record;
  record.tenant = task.caller->tenant;
  record.key = task.caller->key;
  record.claimId = task.claimId;
  record.outcome = outcome;
  record.answer = std::move(response);
  consensus::GroupClient& client = *ledgerByGroup(task.ledgerGroup).client;
  callGroup(client, transport::CommandKind::kCommand,
            base::encode(ledger::LedgerOperation{std::move(record)}), now,
            [this, id = task.id, finalAction = std::move(finalAction)](
                const base::Bytes* /*result*/, base::TimePoint /*at*/) {
              actions_.actions.push_back(finalAction);
              removeTask(id);
            });
}

void Gateway::expireTasks(base::TimePoint now) {
  constexpr base::Duration kCheckInterval = base::milliseconds(20);
  if (now - m_lastExpiryCheckAt < kCheckInterval) {
    return;
  }
  m_lastExpiryCheckAt = now;
  for (auto it = waiting_for_retry_.begin(); it != waiting_for_retry_.end();) {
    Task& task = m_tasks.at(*it);
    if (now >= task.retryNotBefore) {
      it = waiting_for_retry_.erase(it);
      enqueue(task, now);
    } else {
      ++it;
    }
  }
  std::vector<TaskId> ids;
  for (const auto& [id, task] : m_tasks) {
    ids.push_back(id);
  }
  for (const TaskId id : ids) {
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end() || found->second.outcomeDecided) {
      continue;
    }
    Task& task = found->second;
    if (task.caller && now >= task.deadline) {
      failTask(task, RejectionReason::kDeadline, "the deadline passed", now);
      continue;
    }
    if (task.caller && task.queued && task.attemptCount == 0) {
      if (now >= task.queueDeadline) {
        failTask(task, RejectionReason::kOverloaded, "no engine became free in time", now);
        continue;
      }
      if (!m_controlView.canServe(now)) {
        failTask(task, RejectionReason::kNoLease, "this gateway has no serving lease", now);
        continue;
      }
    }
    std::vector<base::AttemptId> stalled;
    for (const Attempt& attempt : task.attempts) {
      if (now - attempt.lastProgressAt >= settings_.stallTimeout) {
        stalled.push_back(attempt.id);
        task.excludedEngines.insert(attempt.engine);
        outliers_.onFailure(attempt.engine, now);
      }
    }
    for (const base::AttemptId attempt : stalled) {
      ++counters_.attemptsStalled;
      task.verdict = base::combine(task.verdict, base::Verdict::kMayHaveRun);
      removeAttempt(task, attempt, true, now);
    }
    if (!stalled.empty()) {
      onAttemptFailed(task, now);
    }
  }
}

void Gateway::removeTask(TaskId id) {
  const auto found = m_tasks.find(id);
  if (found == m_tasks.end()) {
    return;
  }
  const Task& task = found->second;
  if (task.queued) {
    queue_.remove(id);
  }
  waiting_for_retry_.erase(id);
  for (const Attempt& attempt : task.attempts) {
    m_taskByAttempt.erase(attempt.id);
  }
  if (task.caller) {
    m_taskByCaller.erase(task.caller->id);
    const auto state = workloads_.find(task.workload);
    if (state != workloads_.end() && state->second.inFlight > 0) {
      --state->second.inFlight;
    }
  }
  if (task.sample) {
    LedgerGroupState& groupState = ledgerByGroup(task.ledgerGroup);
    if (groupState.heldSamples > 0) {
      --groupState.heldSamples;
    }
  }
  m_tasks.erase(found);
}

}  // namespace tackpick::gateway
