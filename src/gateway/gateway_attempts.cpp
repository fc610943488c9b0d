/// \file
/// Gateway: what engines send back, retries, deadlines and the end of each job.
#include <algorithm>

#include "gateway/gateway.h"

namespace tackpick::gateway {

Job* Gateway::jobOf(base::AttemptId attempt) {
  const auto found = job_by_attempt_.find(attempt);
  return found == job_by_attempt_.end() ? nullptr : &jobs_.at(found->second);
}

void Gateway::onChunk(const engine::Chunk& chunk, base::TimePoint now) {
  counters_.tokensReceived += chunk.tokens.size();
  Job* job = jobOf(chunk.attempt);
  if (job == nullptr) {
    counters_.tokensDiscarded += chunk.tokens.size();
    return;
  }
  const auto attempt = std::find_if(job->attempts.begin(), job->attempts.end(),
                                    [&](const Attempt& a) { return a.id == chunk.attempt; });
  job->verdict = base::combine(job->verdict, base::Verdict::kMayHaveRun);
  const std::size_t expected = attempt->output.tokens.size();
  if (!settings_.mutants.ignoreOffsets) {
    if (chunk.offset + chunk.tokens.size() <= expected) {
      return;  // a duplicate
    }
    if (chunk.offset != expected || !chunk.version.valid() || chunk.version < job->minimumVersion) {
      // A gap, no label, or weights under the bound: nothing more of this attempt can be used.
      dropAttempt(*job, chunk.attempt, true, now);
      onAttemptFailed(*job, now);
      return;
    }
  }
  attempt->progressAt = now;
  const base::WeightsVersion label =
      settings_.mutants.labelByOrder ? view_.publishedVersion(job->model) : chunk.version;
  attempt->output.append(label, chunk.tokens);
  if (job->caller && job->caller->stream) {
    job->streamedTokens = static_cast<std::uint32_t>(attempt->output.tokens.size());
    actions_.actions.emplace_back(StreamTokens{job->caller->id, chunk.offset, label, chunk.tokens});
  }
}

void Gateway::onAttemptEnd(const engine::AttemptEnd& end, base::TimePoint now) {
  Job* job = jobOf(end.attempt);
  if (job == nullptr) {
    return;
  }
  const auto attempt = std::find_if(job->attempts.begin(), job->attempts.end(),
                                    [&](const Attempt& a) { return a.id == end.attempt; });
  const base::EngineId engine = attempt->engine;
  if (end.kind != engine::EndKind::kRefused) {
    const bool clear = end.kind == engine::EndKind::kLost && end.verdict == base::Verdict::kNotRun;
    const base::Verdict least = clear ? base::Verdict::kNotRun : base::Verdict::kMayHaveRun;
    job->verdict =
        settings_.mutants.forgetVerdict ? end.verdict : base::combine(job->verdict, least);
  } else if (settings_.mutants.forgetVerdict) {
    job->verdict = base::Verdict::kNotRun;
  }
  const bool whole =
      end.kind == engine::EndKind::kFinished && end.totalTokens == attempt->output.tokens.size();
  if (whole || (settings_.mutants.finishEarly && end.kind == engine::EndKind::kLost)) {
    outliers_.onSuccess(engine);
    job->verdict = base::Verdict::kRan;
    VersionedTokens output = attempt->output;
    const std::string reason = whole ? end.finishReason : "stop";
    attempt->resumedFrom = static_cast<std::uint32_t>(output.tokens.size());  // none is wasted
    job->finishing = true;
    dropAttempt(*job, end.attempt, false, now);
    finishWhole(*job, std::move(output), reason, now);
    dispatch(now);
    return;
  }
  if (end.kind == engine::EndKind::kRefused) {
    job->refusedBy.insert(engine);
  } else if (end.kind != engine::EndKind::kCancelled) {
    job->refusedBy.insert(engine);
    outliers_.onFailure(engine, now);
  }
  dropAttempt(*job, end.attempt, false, now);
  onAttemptFailed(*job, now);
  dispatch(now);
}

void Gateway::dropAttempt(Job& job, base::AttemptId id, bool cancel, base::TimePoint /*now*/) {
  const auto attempt = std::find_if(job.attempts.begin(), job.attempts.end(),
                                    [&](const Attempt& a) { return a.id == id; });
  if (attempt == job.attempts.end()) {
    return;
  }
  if (cancel) {
    actions_.actions.emplace_back(CancelAttempt{attempt->engine, id});
  }
  engines_.onEnd(attempt->engine);
  job_by_attempt_.erase(id);
  const std::size_t gained = attempt->output.tokens.size() - attempt->resumedFrom;
  const bool keep = settings_.resumePartial && !job.finishing &&
                    attempt->output.tokens.size() > job.partial.tokens.size();
  if (keep) {
    job.partial = std::move(attempt->output);
  } else {
    counters_.tokensDiscarded += gained;
  }
  job.attempts.erase(attempt);
}

void Gateway::onAttemptFailed(Job& job, base::TimePoint now) {
  if (job.attempts.empty() && !job.queued && !job.finishing) {
    retryOrGiveUp(job, now);
  }
}

void Gateway::retryOrGiveUp(Job& job, base::TimePoint now) {
  const bool mayRunAgain = !job.caller || !job.caller->notRepeatable ||
                           job.verdict == base::Verdict::kNotRun || settings_.mutants.retryUnclear;
  if (!mayRunAgain) {
    giveUp(job, RejectionReason::kEngineFailed, "the engine failed and the request may have run",
           now);
    return;
  }
  if (job.caller) {
    const bool budgeted = job.attemptCount < settings_.maximumAttempts && retry_budget_.spend();
    if (!budgeted) {
      giveUp(job, RejectionReason::kEngineFailed, "no engine could run the request", now);
      return;
    }
  }
  if (job.partial.tokens.size() < job.streamedTokens || !settings_.resumePartial) {
    job.partial = {};
    if (job.streamedTokens > 0) {
      giveUp(job, RejectionReason::kEngineFailed, "the stream broke", now);
      return;
    }
  }
  ++counters_.attemptsRetried;
  constexpr std::uint32_t kLargestShift = 6;
  const auto factor = base::Duration::rep{1} << std::min(job.attemptCount, kLargestShift);
  const auto backoff = settings_.retryBackoff * factor / 2;
  const auto jitter = random_.below(static_cast<std::uint64_t>(backoff.count()) + 1);
  job.retryAt = now + backoff / 2 + base::Duration(static_cast<base::Duration::rep>(jitter));
  waiting_for_retry_.insert(job.id);
}

void Gateway::finishWhole(Job& job, VersionedTokens output, std::string finishReason,
                          base::TimePoint now) {
  job.finishing = true;
  while (!job.attempts.empty()) {
    dropAttempt(job, job.attempts.front().id, true, now);
  }
  if (job.caller) {
    length_estimates_.observe(job.workload, job.prompt, output.tokens.size());
  }
  if (job.sample) {
    ledger::SampleResult result;
    result.index = job.sample->sample.index;
    result.tokens = std::move(output.tokens);
    result.spans = std::move(output.spans);
    result.finishReason = std::move(finishReason);
    commitSample(job, std::move(result), now);
    return;
  }
  ++counters_.requestsCompleted;
  CompleteRequest answer{job.caller->id, std::move(output), std::move(finishReason)};
  base::Bytes recorded = job.claim == ClaimState::kHeld ? encodeAnswer(answer) : base::Bytes{};
  recordOutcome(job, ledger::ClaimOutcome::kCompleted, std::move(recorded), now,
                Action{std::move(answer)});
}

void Gateway::giveUp(Job& job, RejectionReason reason, std::string message, base::TimePoint now) {
  job.finishing = true;
  if (job.queued) {
    queue_.remove(job.id);
    job.queued = false;
  }
  waiting_for_retry_.erase(job.id);
  while (!job.attempts.empty()) {
    job.verdict = base::combine(job.verdict, base::Verdict::kMayHaveRun);
    dropAttempt(job, job.attempts.front().id, true, now);
  }
  const bool notRun = job.verdict == base::Verdict::kNotRun;
  RejectRequest refusal{job.caller->id, reason, job.verdict, std::move(message),
                        retryAfter(job.priority, job.model, now)};
  if (notRun) {
    ++counters_.requestsRefusedNotRun;
  } else {
    ++counters_.requestsIndeterminate;
  }
  recordOutcome(job, notRun ? ledger::ClaimOutcome::kNotRun : ledger::ClaimOutcome::kUnknown, {},
                now, Action{std::move(refusal)});
}

void Gateway::recordOutcome(Job& job, ledger::ClaimOutcome outcome, base::Bytes answer,
                            base::TimePoint now, Action last) {
  // An unknown outcome needs no record: it is what a claim says from the start.
  if (job.claim != ClaimState::kHeld || outcome == ledger::ClaimOutcome::kUnknown) {
    actions_.actions.push_back(std::move(last));
    removeJob(job.id);
    return;
  }
  ledger::RecordOutcome record;
  record.tenant = job.caller->tenant;
  record.key = job.caller->key;
  record.claimant = job.claimant;
  record.outcome = outcome;
  record.answer = std::move(answer);
  consensus::GroupClient& client = *ledgerOf(job.ledgerGroup).client;
  callGroup(client, transport::CommandKind::kCommand,
            base::encode(ledger::LedgerOperation{std::move(record)}), now,
            [this, id = job.id, last = std::move(last)](const base::Bytes* /*result*/,
                                                        base::TimePoint /*at*/) {
              actions_.actions.push_back(last);
              removeJob(id);
            });
}

void Gateway::expireJobs(base::TimePoint now) {
  constexpr base::Duration kCheckInterval = base::milliseconds(20);
  if (now - expired_at_ < kCheckInterval) {
    return;
  }
  expired_at_ = now;
  for (auto it = waiting_for_retry_.begin(); it != waiting_for_retry_.end();) {
    Job& job = jobs_.at(*it);
    if (now >= job.retryAt) {
      it = waiting_for_retry_.erase(it);
      enqueue(job, now);
    } else {
      ++it;
    }
  }
  std::vector<JobId> ids;
  for (const auto& [id, job] : jobs_) {
    ids.push_back(id);
  }
  for (const JobId id : ids) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.finishing) {
      continue;
    }
    Job& job = found->second;
    if (job.caller && now >= job.deadline) {
      giveUp(job, RejectionReason::kDeadline, "the deadline passed", now);
      continue;
    }
    if (job.caller && job.queued && job.attemptCount == 0) {
      if (now >= job.queueDeadline) {
        giveUp(job, RejectionReason::kOverloaded, "no engine became free in time", now);
        continue;
      }
      if (!view_.canServe(now)) {
        giveUp(job, RejectionReason::kNoLease, "this gateway has no serving lease", now);
        continue;
      }
    }
    std::vector<base::AttemptId> stalled;
    for (const Attempt& attempt : job.attempts) {
      if (now - attempt.progressAt >= settings_.stallTimeout) {
        stalled.push_back(attempt.id);
        job.refusedBy.insert(attempt.engine);
        outliers_.onFailure(attempt.engine, now);
      }
    }
    for (const base::AttemptId attempt : stalled) {
      ++counters_.attemptsStalled;
      job.verdict = base::combine(job.verdict, base::Verdict::kMayHaveRun);
      dropAttempt(job, attempt, true, now);
    }
    if (!stalled.empty()) {
      onAttemptFailed(job, now);
    }
  }
}

void Gateway::removeJob(JobId id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  const Job& job = found->second;
  if (job.queued) {
    queue_.remove(id);
  }
  waiting_for_retry_.erase(id);
  for (const Attempt& attempt : job.attempts) {
    job_by_attempt_.erase(attempt.id);
  }
  if (job.caller) {
    job_by_caller_.erase(job.caller->id);
    const auto state = workloads_.find(job.workload);
    if (state != workloads_.end() && state->second.inFlight > 0) {
      --state->second.inFlight;
    }
  }
  if (job.sample) {
    LedgerLink& link = ledgerOf(job.ledgerGroup);
    if (link.held > 0) {
      --link.held;
    }
  }
  jobs_.erase(found);
}

}  // namespace tackpick::gateway
