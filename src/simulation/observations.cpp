#include "simulation/observations.h"

#include <algorithm>
#include <utility>

#include "base/serialization.h"

namespace tackpick::simulation {
namespace {

/// "After a few seconds": how long an engine that is draining may still be given work.
constexpr base::Duration kDrainingGrace = base::seconds(5);
constexpr std::size_t kMaxList = 50;

}  // namespace

std::string_view toString(Promise promise) {
  switch (promise) {
    case Promise::kTrueVersions:
      return "true_versions";
    case Promise::kStalenessBound:
      return "staleness_bound";
    case Promise::kExactlyOnce:
      return "exactly_once";
    case Promise::kWholeAnswer:
      return "whole_answer";
    case Promise::kNotRunIsTrue:
      return "not_run_is_true";
    case Promise::kAtMostOnce:
      return "at_most_once";
    case Promise::kLeavingEngine:
      return "leaving_engine";
    case Promise::kPlannedStop:
      return "planned_stop";
    case Promise::kConfiguration:
      return "configuration";
    case Promise::kProgress:
      return "progress";
  }
  return "unknown";
}

void Observations::broken(Promise promise, std::string what) {
  if (violations_.size() < kMaxList) {
    violations_.push_back({promise, clock_.now(), std::move(what)});
  }
}

void Observations::onRequestSent(const SentRequest& request) {
  ++figures_.requestsSent;
  PromptRecord& record = prompts_[request.prompt];
  ++record.arrivals;
  record.notRepeatable = request.notRepeatable;
}

void Observations::onResponse(const SentRequest& request, const checking::ReceivedAnswer& answer) {
  ++figures_.requestsCompleted;
  if (!checking::isWhole(answer, request.prompt, request.seed, request.maximumTokens)) {
    broken(Promise::kWholeAnswer, "answer of another length: " + request.prompt);
  } else if (!checking::hasCorrectVersions(answer, request.prompt, request.seed)) {
    broken(Promise::kTrueVersions,
           "answer with a token its label does not give: " + request.prompt);
  }
}

void Observations::onRefusal(const SentRequest& request, base::Verdict verdict, bool invalid,
                             const std::string& message) {
  if (invalid) {
    broken(Promise::kConfiguration,
           "a request that the accepted configuration allows was refused: " + message);
  }
  if (verdict == base::Verdict::kNotRun) {
    ++figures_.requestsNotRun;
    ++prompts_[request.prompt].notRun;
  } else {
    ++figures_.requestsIndeterminate;
  }
}

void Observations::onConnectionLost(const SentRequest& request, bool byPlannedStop) {
  ++figures_.connectionsLost;
  if (byPlannedStop) {
    broken(Promise::kPlannedStop, "a planned stop cut " + request.prompt);
  }
}

void Observations::onWorkGiven(base::EngineId engine, base::Incarnation incarnation) {
  const auto found = leaving_since_.find({engine, incarnation});
  if (found != leaving_since_.end() && clock_.now() - found->second > kDrainingGrace) {
    broken(Promise::kLeavingEngine,
           "engine " + std::to_string(engine.value) + " got work long after it began to leave");
  }
}

void Observations::onEngineDraining(base::EngineId engine, base::Incarnation incarnation) {
  leaving_since_.try_emplace({engine, incarnation}, clock_.now());
}

void Observations::onEngineRuns(const engine::EngineSimulator& model) {
  for (const auto& [attempt, run] : model.executions()) {
    ++figures_.engineRuns;
    const auto found = prompts_.find(run.prompt);
    if (found != prompts_.end()) {
      ++found->second.runs;
    }
  }
}

void Observations::onVersionActive(base::EngineId engine, base::Incarnation incarnation,
                                   base::WeightsVersion version) {
  base::WeightsVersion& active = active_[{engine, incarnation}];
  if (version < active) {
    broken(Promise::kConfiguration, "engine " + std::to_string(engine.value) +
                                        " went back from weights " + std::to_string(active.value) +
                                        " to " + std::to_string(version.value));
  }
  if (version > active) {
    active = version;
    const bool last = ++engines_at_version_[version] == engine_count_;
    const auto published = published_at_.find(version);
    if (last && published != published_at_.end()) {
      figures_.rolloutSeconds.push_back(base::toSeconds(clock_.now() - published->second));
    }
  }
}

void Observations::onBatchAccepted(const SentBatch& batch) { batches_[batch.batch]; }

void Observations::onSample(const SentBatch& batch, std::uint32_t position,
                            const ledger::SampleResult& sample) {
  BatchRecord& record = batches_[batch.batch];
  const std::string name = batch.batch.value + "#" + std::to_string(sample.index);
  const std::uint64_t content = base::hashBytes(base::encode(sample));
  const auto [known, isNew] = record.contentByPosition.try_emplace(position, content);
  if (!isNew) {
    if (known->second != content) {
      broken(Promise::kExactlyOnce, "a second read gave another sample at the place of " + name);
    }
    return;
  }
  ++figures_.samplesDelivered;
  if (sample.index >= batch.samples.size() || !record.delivered.insert(sample.index).second) {
    broken(Promise::kExactlyOnce, "delivered twice: " + name);
    return;
  }
  const ledger::SampleSpec& asked = batch.samples[sample.index];
  const checking::ReceivedAnswer answer{sample.tokens, sample.spans};
  if (!checking::isWhole(answer, asked.prompt, asked.seed, asked.maximumTokens)) {
    broken(Promise::kWholeAnswer, "sample of another length: " + name);
  } else if (!checking::hasCorrectVersions(answer, asked.prompt, asked.seed)) {
    broken(Promise::kTrueVersions, "sample with a token its label does not give: " + name);
  }
  const base::WeightsVersion oldest = ledger::oldestVersion(sample.spans);
  const bool tightened = position >= record.tightenedFrom && oldest < record.tightenedTo;
  if (oldest < batch.oldestAllowed || tightened) {
    broken(Promise::kStalenessBound,
           name + " was produced under weights " + std::to_string(oldest.value));
  }
}

void Observations::onBatchMissing(const SentBatch& batch) {
  if (batches_.contains(batch.batch)) {
    broken(Promise::kExactlyOnce, "an accepted batch is unknown: " + batch.batch.value);
  }
}

void Observations::onBatchWhole(const SentBatch& batch) {
  ++figures_.batchesDelivered;
  if (batches_[batch.batch].delivered.size() != batch.samples.size()) {
    broken(Promise::kExactlyOnce, "a batch with holes: " + batch.batch.value);
  }
}

void Observations::onBatchTightened(const base::BatchId& batch, std::uint32_t position,
                                    base::WeightsVersion oldest) {
  BatchRecord& record = batches_[batch];
  record.tightenedFrom = position;
  record.tightenedTo = oldest;
}

void Observations::onChangeAccepted(const std::string& requestId, base::Revision revision,
                                    std::int64_t counter) {
  const auto [known, isNew] = accepted_requests_.try_emplace(requestId, revision);
  if (!isNew) {
    if (known->second != revision) {
      broken(Promise::kConfiguration, "a resent change took effect again: " + requestId);
    }
    return;
  }
  ++accepted_changes_;
  ++figures_.changesAccepted;
  accepted_counter_ = std::max(accepted_counter_, counter);
}

void Observations::onCounterRead(std::int64_t counter, std::int64_t acceptedBefore) {
  if (counter < acceptedBefore) {
    broken(Promise::kConfiguration, "an operator read " + std::to_string(counter) + " after " +
                                        std::to_string(acceptedBefore) + " was accepted");
  }
}

void Observations::finish(const std::vector<std::int64_t>& finalCounters) {
  for (const auto& [prompt, record] : prompts_) {
    if (record.notRun == record.arrivals && record.runs > 0) {
      broken(Promise::kNotRunIsTrue, "refused as not run, but it ran: " + prompt);
    }
    if (record.notRepeatable && record.runs > 1) {
      broken(Promise::kAtMostOnce, "ran " + std::to_string(record.runs) + " times: " + prompt);
    }
  }
  const std::int64_t expected = kFirstCounter + static_cast<std::int64_t>(accepted_changes_);
  for (const std::int64_t counter : finalCounters) {
    if (counter != expected) {
      broken(Promise::kConfiguration,
             "after " + std::to_string(accepted_changes_) + " accepted increments of " +
                 std::to_string(kFirstCounter) + " the counter is " + std::to_string(counter));
    }
  }
}

}  // namespace tackpick::simulation
