#include "ledger/ledger_state.h"

#include <algorithm>
#include <utility>

#include "base/random.h"

namespace tackpick::ledger {
namespace {

LedgerResult withStatus(LedgerStatus status, std::string message = {}) {
  LedgerResult result;
  result.status = status;
  result.message = std::move(message);
  return result;
}

/// What is wrong with a submission; empty when nothing is.
std::string checkSubmission(const SubmitBatch& submission) {
  std::vector<bool> seen(submission.samples.size());
  for (const SampleSpec& sample : submission.samples) {
    if (sample.index >= seen.size() || seen[sample.index]) {
      return "the sample indices must be 0 to n-1, each once";
    }
    seen[sample.index] = true;
  }
  return submission.samples.empty() ? "a batch has at least one sample" : "";
}

}  // namespace

base::Bytes LedgerState::apply(consensus::LogIndex /*index*/, const base::Bytes& command) {
  const auto decoded = base::decode<LedgerCommand>(command);
  if (!decoded) {
    return base::encode(withStatus(LedgerStatus::kInvalid, "unreadable command"));
  }
  content_.wallSeconds = std::max(content_.wallSeconds, decoded->wallSeconds);
  forgetOld();
  return base::encode(
      std::visit([this](const auto& typed) { return applyOperation(typed); }, decoded->operation));
}

LedgerResult LedgerState::applyOperation(const SubmitBatch& command) {
  // The minimum version is left out: a resend may find newer weights published.
  const std::uint64_t hash = base::hashBytes(base::encode(command.samples));
  if (const Batch* known = find(command.batch)) {
    const bool same = known->contentHash() == hash;
    return withStatus(same ? LedgerStatus::kAlreadyDone : LedgerStatus::kConflict);
  }
  const auto delivered = content_.delivered.find(command.batch);
  if (delivered != content_.delivered.end()) {
    const bool same = delivered->second.contentHash == hash;
    return withStatus(same ? LedgerStatus::kAlreadyDone : LedgerStatus::kConflict);
  }
  if (std::string problem = checkSubmission(command); !problem.empty()) {
    return withStatus(LedgerStatus::kInvalid, std::move(problem));
  }
  content_.batches.emplace(
      command.batch, Batch(command, hash, limits_.longestFirst ? &content_.lengths : nullptr));
  content_.arrival.push_back(command.batch);
  return withStatus(LedgerStatus::kOk);
}

LedgerResult LedgerState::applyOperation(const RaiseMinimumVersion& command) {
  Batch* batch = find(command.batch);
  if (batch == nullptr) {
    return missing(command.batch);
  }
  batch->tighten(command.minimumVersion);
  return withStatus(LedgerStatus::kOk);
}

LedgerResult LedgerState::applyOperation(const LeaseSamples& command) {
  LatestLease& latest = content_.latestLeases[command.gateway];
  if (command.incarnation < latest.incarnation) {
    return withStatus(LedgerStatus::kRefused, "an earlier run of this gateway");
  }
  if (command.incarnation > latest.incarnation) {
    releaseHolder({command.gateway, latest.incarnation});
    latest = {command.incarnation, 0, {}};
  }
  if (command.request <= latest.request) {
    return repeatLease(command, latest);
  }
  LedgerResult result = withStatus(LedgerStatus::kOk);
  latest.request = command.request;
  latest.granted.clear();
  const SampleHolder holder{command.gateway, command.incarnation};
  for (const base::BatchId& id : content_.arrival) {
    if (result.leased.size() >= command.maximum) {
      break;
    }
    find(id)->lease(holder, command.maximum, result.leased);
  }
  for (const LeasedSample& leased : result.leased) {
    latest.granted.push_back({leased.batch, leased.sample.index});
  }
  return result;
}

LedgerResult LedgerState::repeatLease(const LeaseSamples& command,
                                      const LatestLease& latest) const {
  if (command.request < latest.request) {
    return withStatus(LedgerStatus::kAlreadyDone);
  }
  LedgerResult result = withStatus(LedgerStatus::kOk);
  const SampleHolder holder{command.gateway, command.incarnation};
  for (const SampleName& name : latest.granted) {
    const auto batch = content_.batches.find(name.batch);
    if (batch != content_.batches.end() && batch->second.isHeldBy(name.index, holder)) {
      result.leased.push_back(batch->second.describe(name.index));
    }
  }
  return result;
}

LedgerResult LedgerState::applyOperation(const ReleaseLeases& command) {
  releaseHolder({command.gateway, command.incarnation});
  return withStatus(LedgerStatus::kOk);
}

void LedgerState::releaseHolder(const SampleHolder& holder) {
  for (auto& [id, batch] : content_.batches) {
    batch.release(holder);
  }
}

LedgerResult LedgerState::applyOperation(const ReturnSample& command) {
  Batch* batch = find(command.batch);
  return batch == nullptr ? missing(command.batch)
                          : withStatus(batch->giveBack(command.index, command.fence));
}

LedgerResult LedgerState::applyOperation(const CommitSample& command) {
  Batch* batch = find(command.batch);
  if (batch == nullptr) {
    return missing(command.batch);
  }
  const LedgerStatus status = batch->commit(command, limits_.batchMutants);
  if (status == LedgerStatus::kOk) {
    const LeasedSample sample = batch->describe(command.result.index);
    content_.lengths.observe(sample.workload, sample.sample.prompt, command.result.tokens.size());
  }
  return withStatus(status);
}

LedgerResult LedgerState::applyOperation(const AcknowledgeSamples& command) {
  Batch* batch = find(command.batch);
  if (batch == nullptr) {
    return missing(command.batch);
  }
  LedgerResult result = withStatus(batch->acknowledge(command.cursor));
  if (batch->isDelivered()) {
    content_.delivered[command.batch] = {batch->contentHash(), batch->summary().total,
                                         content_.wallSeconds};
    content_.batches.erase(command.batch);
    std::erase(content_.arrival, command.batch);
  }
  return result;
}

LedgerResult LedgerState::applyOperation(const ClaimRequest& command) {
  LedgerResult result = content_.claims.claim(command, content_.wallSeconds);
  if (limits_.mutants.grantEveryClaim && result.status == LedgerStatus::kRefused) {
    return withStatus(LedgerStatus::kOk);
  }
  return result;
}

LedgerResult LedgerState::applyOperation(const RecordOutcome& command) {
  return content_.claims.record(command, content_.wallSeconds);
}

Batch* LedgerState::find(const base::BatchId& batch) {
  const auto found = content_.batches.find(batch);
  return found == content_.batches.end() ? nullptr : &found->second;
}

LedgerResult LedgerState::missing(const base::BatchId& batch) const {
  return content_.delivered.contains(batch)
             ? withStatus(LedgerStatus::kExpired, "the batch was delivered")
             : withStatus(LedgerStatus::kNotFound, "no such batch");
}

void LedgerState::forgetOld() {
  constexpr std::uint64_t kPruneInterval = 60;
  if (content_.wallSeconds < content_.prunedAt + kPruneInterval ||
      content_.wallSeconds < limits_.retentionSeconds) {
    return;
  }
  content_.prunedAt = content_.wallSeconds;
  const std::uint64_t oldest = content_.wallSeconds - limits_.retentionSeconds;
  content_.claims.dropOlderThan(oldest);
  std::erase_if(content_.delivered,
                [&](const auto& entry) { return entry.second.deliveredAt < oldest; });
}

std::set<SampleHolder> LedgerState::holders() const {
  std::set<SampleHolder> all;
  for (const auto& [id, batch] : content_.batches) {
    all.merge(batch.holders());
  }
  return all;
}

base::Bytes LedgerState::query(const base::Bytes& query) const {
  const auto decoded = base::decode<LedgerQuery>(query);
  if (!decoded) {
    return {};
  }
  if (const auto* read = std::get_if<ReadSamples>(&*decoded)) {
    const auto found = content_.batches.find(read->batch);
    if (found != content_.batches.end()) {
      return base::encode(
          found->second.read(read->cursor, std::min(read->maximum, limits_.samplesPerRead)));
    }
    ReadResult result;
    const auto delivered = content_.delivered.find(read->batch);
    if (delivered != content_.delivered.end()) {
      result.status = LedgerStatus::kExpired;
      result.total = delivered->second.total;
      result.committed = result.total;
      result.cursor = result.total;
    }
    return base::encode(result);
  }
  if (std::holds_alternative<GatewayHeartbeat>(*decoded)) {
    return {};
  }
  BatchList list;
  for (const auto& [id, batch] : content_.batches) {
    list.batches.push_back(batch.summary());
  }
  return base::encode(list);
}

base::Bytes LedgerState::takeSnapshot() const { return base::encode(content_); }

void LedgerState::loadSnapshot(const base::Bytes& snapshot) {
  content_ = base::decode<Content>(snapshot).value_or(Content{});
}

}  // namespace tackpick::ledger
