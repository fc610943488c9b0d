#include "simulation/invariant_checker.h"

#include <algorithm>
#include <utility>

#include "base/serialization.h"

namespace tackpick::simulation {
namespace {

/// Time after which a draining engine must not receive new work.
constexpr base::Duration kDrainGracePeriod = base::seconds(5);
constexpr std::size_t kMaxViolations = 50;

}  // namespace

std::string_view toString(Invariant invariant) {
  switch (invariant) {
    case Invariant::kCorrectVersions:
      return "true_versions";
    case Invariant::kStalenessBound:
      return "staleness_bound";
    case Invariant::kExactlyOnce:
      return "exactly_once";
    case Invariant::kCompleteResponse:
      return "whole_answer";
    case Invariant::kNotRunVerdict:
      return "not_run_is_true";
    case Invariant::kAtMostOnce:
      return "at_most_once";
    case Invariant::kDrainingEngine:
      return "leaving_engine";
    case Invariant::kGracefulShutdown:
      return "planned_stop";
    case Invariant::kConfigurationConsistency:
      return "configuration";
    case Invariant::kLiveness:
      return "progress";
  }
  return "unknown";
}

void InvariantChecker::reportViolation(Invariant invariant, std::string description) {
  if (violations_.size() < kMaxViolations) {
    violations_.push_back({invariant, clock_.now(), std::move(description)});
  }
}

void InvariantChecker::onRequestSent(const SentRequest& request) {
  ++m_statistics.requestsSent;
  PromptRecord& record = prompts_[request.prompt];
  ++record.arrivals;
  record.notRepeatable = request.notRepeatable;
}

void InvariantChecker::onResponse(const SentRequest& request,
                                  const checking::ReceivedResponse& response) {
  ++m_statistics.requestsCompleted;
  if (!checking::hasExpectedLength(response, request.prompt, request.seed, request.maximumTokens)) {
    reportViolation(Invariant::kCompleteResponse,
                    "response of unexpected length: " + request.prompt);
  } else if (!checking::hasCorrectVersions(response, request.prompt, request.seed)) {
    reportViolation(
        Invariant::kCorrectVersions,
        "response with a token that does not match its weights version: " + request.prompt);
  }
}

void InvariantChecker::onRejection(const SentRequest& request, base::Verdict verdict, bool invalid,
                                   const std::string& message) {
  if (invalid) {
    reportViolation(Invariant::kConfigurationConsistency,
                    "a request that the accepted settings allow was rejected: " + message);
  }
  if (verdict == base::Verdict::kNotRun) {
    ++m_statistics.requestsNotRun;
    ++prompts_[request.prompt].notRun;
  } else {
    ++m_statistics.requestsIndeterminate;
  }
}

void InvariantChecker::onConnectionLost(const SentRequest& request, bool byGracefulShutdown) {
  ++m_statistics.connectionsLost;
  if (byGracefulShutdown) {
    reportViolation(Invariant::kGracefulShutdown,
                    "a graceful shutdown interrupted " + request.prompt);
  }
}

void InvariantChecker::onRequestDispatched(base::EngineId engine, base::Incarnation incarnation) {
  const auto found = m_drainingSince.find({engine, incarnation});
  if (found != m_drainingSince.end() && clock_.now() - found->second > kDrainGracePeriod) {
    reportViolation(Invariant::kDrainingEngine,
                    "engine " + std::to_string(engine.value) +
                        " received work after the grace period of its drain");
  }
}

void InvariantChecker::onEngineDraining(base::EngineId engine, base::Incarnation incarnation) {
  m_drainingSince.try_emplace({engine, incarnation}, clock_.now());
}

void InvariantChecker::onEngineExecutions(const engine::EngineSimulator& model) {
  for (const auto& [attempt, execution] : model.executions()) {
    ++m_statistics.engineExecutions;
    const auto found = prompts_.find(execution.prompt);
    if (found != prompts_.end()) {
      ++found->second.executions;
    }
  }
}

void InvariantChecker::onVersionActive(base::EngineId engine, base::Incarnation incarnation,
                                       base::WeightsVersion version) {
  base::WeightsVersion& active = active_[{engine, incarnation}];
  if (version < active) {
    reportViolation(Invariant::kConfigurationConsistency,
                    "engine " + std::to_string(engine.value) + " returned from weights version " +
                        std::to_string(active.value) + " to " + std::to_string(version.value));
  }
  if (version > active) {
    active = version;
    const bool last = ++engines_at_version_[version] == engine_count_;
    const auto published = published_at_.find(version);
    if (last && published != published_at_.end()) {
      m_statistics.rolloutSeconds.push_back(base::toSeconds(clock_.now() - published->second));
    }
  }
}

void InvariantChecker::onBatchAccepted(const SentBatch& batch) { batches_[batch.batch]; }

void InvariantChecker::onSample(const SentBatch& batch, std::uint32_t position,
                                const ledger::SampleResult& sample) {
  BatchRecord& record = batches_[batch.batch];
  const std::string name = batch.batch.value + "#" + std::to_string(sample.index);
  const std::uint64_t contentHash = base::hashBytes(base::encode(sample));
  const auto [known, isNew] = record.hashByPosition.try_emplace(position, contentHash);
  if (!isNew) {
    if (known->second != contentHash) {
      reportViolation(Invariant::kExactlyOnce,
                      "a repeated read returned a different sample at the position of " + name);
    }
    return;
  }
  ++m_statistics.samplesDelivered;
  if (sample.index >= batch.samples.size() || !record.delivered.insert(sample.index).second) {
    reportViolation(Invariant::kExactlyOnce, "sample unknown or delivered twice: " + name);
    return;
  }
  const ledger::SampleSpec& specification = batch.samples[sample.index];
  const checking::ReceivedResponse response{sample.tokens, sample.spans};
  if (!checking::hasExpectedLength(response, specification.prompt, specification.seed,
                                   specification.maximumTokens)) {
    reportViolation(Invariant::kCompleteResponse, "sample of unexpected length: " + name);
  } else if (!checking::hasCorrectVersions(response, specification.prompt, specification.seed)) {
    reportViolation(Invariant::kCorrectVersions,
                    "sample with a token that does not match its weights version: " + name);
  }
  const base::WeightsVersion oldest = ledger::oldestVersion(sample.spans);
  const bool belowRaisedVersion =
      position >= record.minVersionFrom && oldest < record.raisedMinVersion;
  if (oldest < batch.minVersion || belowRaisedVersion) {
    reportViolation(Invariant::kStalenessBound,
                    name + " is too stale: it was produced with weights version " +
                        std::to_string(oldest.value));
  }
}

void InvariantChecker::onBatchMissing(const SentBatch& batch) {
  if (batches_.contains(batch.batch)) {
    reportViolation(Invariant::kExactlyOnce,
                    "an accepted batch is unknown to the ledger: " + batch.batch.value);
  }
}

void InvariantChecker::onBatchComplete(const SentBatch& batch) {
  ++m_statistics.batchesDelivered;
  if (batches_[batch.batch].delivered.size() != batch.samples.size()) {
    reportViolation(Invariant::kExactlyOnce,
                    "a delivered batch lacks samples: " + batch.batch.value);
  }
}

void InvariantChecker::onMinVersionRaised(const base::BatchId& batch, std::uint32_t position,
                                          base::WeightsVersion minVersion) {
  BatchRecord& record = batches_[batch];
  record.minVersionFrom = position;
  record.raisedMinVersion = minVersion;
}

void InvariantChecker::onChangeAccepted(const std::string& requestId, base::Revision revision,
                                        std::int64_t counter) {
  const auto [known, isNew] = accepted_requests_.try_emplace(requestId, revision);
  if (!isNew) {
    if (known->second != revision) {
      reportViolation(Invariant::kConfigurationConsistency,
                      "a resent change was applied again: " + requestId);
    }
    return;
  }
  ++accepted_changes_;
  ++m_statistics.changesAccepted;
  accepted_counter_ = std::max(accepted_counter_, counter);
}

void InvariantChecker::onCounterRead(std::int64_t counter, std::int64_t acceptedBefore) {
  if (counter < acceptedBefore) {
    reportViolation(Invariant::kConfigurationConsistency,
                    "an operator read " + std::to_string(counter) + " after " +
                        std::to_string(acceptedBefore) + " was accepted");
  }
}

void InvariantChecker::checkFinalState(const std::vector<std::int64_t>& finalCounters) {
  for (const auto& [prompt, record] : prompts_) {
    if (record.notRun == record.arrivals && record.executions > 0) {
      reportViolation(Invariant::kNotRunVerdict, "rejected as not run but executed: " + prompt);
    }
    if (record.notRepeatable && record.executions > 1) {
      reportViolation(Invariant::kAtMostOnce,
                      "ran " + std::to_string(record.executions) + " times: " + prompt);
    }
  }
  const std::int64_t expected = kInitialCounter + static_cast<std::int64_t>(accepted_changes_);
  for (const std::int64_t counter : finalCounters) {
    if (counter != expected) {
      reportViolation(Invariant::kConfigurationConsistency,
                      "after " + std::to_string(accepted_changes_) + " accepted increments of " +
                          std::to_string(kInitialCounter) + " the counter is " +
                          std::to_string(counter));
    }
  }
}

}  // namespace tackpick::simulation
