#include "ledger/ledger_state.h"

#include <algorithm>
#include <utility>

#include "base/random.h"

namespace tackpick::ledger {
namespace {

LedgerResult makeResult(LedgerStatus status, std::string message = {}) {
  LedgerResult result;
  result.status = status;
  result.message = std::move(message);
  return result;
}

/// Returns why a submission is invalid; empty if it is valid.
std::string validateSubmission(const SubmitBatch& submission) {
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
    return base::encode(makeResult(LedgerStatus::kInvalid, "unreadable command"));
  }
  m_data.wallClockSeconds = std::max(m_data.wallClockSeconds, decoded->wallClockSeconds);
  pruneExpired();
  return base::encode(
      std::visit([this](const auto& typed) { return applyOperation(typed); }, decoded->operation));
}

LedgerResult LedgerState::applyOperation(const SubmitBatch& command) {
  // The hash excludes the minimum version, which may be newer when a submission is resent.
  const std::uint64_t hash = base::hashBytes(base::encode(command.samples));
  if (const Batch* existing = find(command.batch)) {
    const bool same = existing->contentHash() == hash;
    return makeResult(same ? LedgerStatus::kAlreadyApplied : LedgerStatus::kConflict);
  }
  const auto delivered = m_data.delivered.find(command.batch);
  if (delivered != m_data.delivered.end()) {
    const bool same = delivered->second.contentHash == hash;
    return makeResult(same ? LedgerStatus::kAlreadyApplied : LedgerStatus::kConflict);
  }
  if (std::string problem = validateSubmission(command); !problem.empty()) {
    return makeResult(LedgerStatus::kInvalid, std::move(problem));
  }
  m_data.batches.emplace(
      command.batch,
      Batch(command, hash, m_settings.longestFirst ? &m_data.lengthEstimator : nullptr));
  m_data.submissionOrder.push_back(command.batch);
  return makeResult(LedgerStatus::kOk);
}

LedgerResult LedgerState::applyOperation(const RaiseMinimumVersion& command) {
  Batch* batch = find(command.batch);
  if (batch == nullptr) {
    return notFoundResult(command.batch);
  }
  batch->raiseMinimumVersion(command.minimumVersion);
  return makeResult(LedgerStatus::kOk);
}

LedgerResult LedgerState::applyOperation(const LeaseSamples& command) {
  LastLeaseResponse& lastResponse = m_data.lastLeaseResponses[command.gateway];
  if (command.incarnation < lastResponse.incarnation) {
    return makeResult(LedgerStatus::kRejected, "an earlier run of this gateway");
  }
  if (command.incarnation > lastResponse.incarnation) {
    releaseLeasesOf({command.gateway, lastResponse.incarnation});
    lastResponse = {command.incarnation, 0, {}};
  }
  if (command.sequence <= lastResponse.sequence) {
    return resendLease(command, lastResponse);
  }
  LedgerResult result = makeResult(LedgerStatus::kOk);
  lastResponse.sequence = command.sequence;
  lastResponse.leasedSamples.clear();
  const LeaseHolder holder{command.gateway, command.incarnation};
  for (const base::BatchId& id : m_data.submissionOrder) {
    if (result.leased.size() >= command.maximum) {
      break;
    }
    find(id)->lease(holder, command.maximum, result.leased);
  }
  for (const LeasedSample& leased : result.leased) {
    lastResponse.leasedSamples.push_back({leased.batch, leased.sample.index});
  }
  return result;
}

LedgerResult LedgerState::resendLease(const LeaseSamples& command,
                                      const LastLeaseResponse& lastResponse) const {
  if (command.sequence < lastResponse.sequence) {
    return makeResult(LedgerStatus::kAlreadyApplied);
  }
  LedgerResult result = makeResult(LedgerStatus::kOk);
  const LeaseHolder holder{command.gateway, command.incarnation};
  for (const SampleKey& key : lastResponse.leasedSamples) {
    const auto batch = m_data.batches.find(key.batch);
    if (batch != m_data.batches.end() && batch->second.isLeasedTo(key.index, holder)) {
      result.leased.push_back(batch->second.leasedSample(key.index));
    }
  }
  return result;
}

LedgerResult LedgerState::applyOperation(const ReleaseLeases& command) {
  releaseLeasesOf({command.gateway, command.incarnation});
  return makeResult(LedgerStatus::kOk);
}

void LedgerState::releaseLeasesOf(const LeaseHolder& holder) {
  for (auto& [id, batch] : m_data.batches) {
    batch.releaseLeases(holder);
  }
}

LedgerResult LedgerState::applyOperation(const ReturnSample& command) {
  Batch* batch = find(command.batch);
  return batch == nullptr ? notFoundResult(command.batch)
                          : makeResult(batch->returnLease(command.index, command.fence));
}

LedgerResult LedgerState::applyOperation(const CommitSample& command) {
  Batch* batch = find(command.batch);
  if (batch == nullptr) {
    return notFoundResult(command.batch);
  }
  const LedgerStatus status = batch->commit(command, m_settings.batchMutants);
  if (status == LedgerStatus::kOk) {
    const LeasedSample sample = batch->leasedSample(command.result.index);
    m_data.lengthEstimator.observe(sample.workload, sample.sample.prompt,
                                   command.result.tokens.size());
  }
  return makeResult(status);
}

LedgerResult LedgerState::applyOperation(const AcknowledgeSamples& command) {
  Batch* batch = find(command.batch);
  if (batch == nullptr) {
    return notFoundResult(command.batch);
  }
  LedgerResult result = makeResult(batch->acknowledge(command.cursor));
  if (batch->isFullyAcknowledged()) {
    m_data.delivered[command.batch] = {batch->contentHash(), batch->summary().total,
                                       m_data.wallClockSeconds};
    m_data.batches.erase(command.batch);
    std::erase(m_data.submissionOrder, command.batch);
  }
  return result;
}

LedgerResult LedgerState::applyOperation(const ClaimRequest& command) {
  LedgerResult result = m_data.claims.claim(command, m_data.wallClockSeconds);
  if (m_settings.mutants.grantDuplicateClaims && result.status == LedgerStatus::kRejected) {
    return makeResult(LedgerStatus::kOk);
  }
  return result;
}

LedgerResult LedgerState::applyOperation(const RecordOutcome& command) {
  return m_data.claims.record(command, m_data.wallClockSeconds);
}

Batch* LedgerState::find(const base::BatchId& batch) {
  const auto found = m_data.batches.find(batch);
  return found == m_data.batches.end() ? nullptr : &found->second;
}

LedgerResult LedgerState::notFoundResult(const base::BatchId& batch) const {
  return m_data.delivered.contains(batch)
             ? makeResult(LedgerStatus::kExpired, "the batch was delivered")
             : makeResult(LedgerStatus::kNotFound, "no such batch");
}

void LedgerState::pruneExpired() {
  constexpr std::uint64_t kPruneInterval = 60;
  if (m_data.wallClockSeconds < m_data.lastPrunedAt + kPruneInterval ||
      m_data.wallClockSeconds < m_settings.retentionSeconds) {
    return;
  }
  m_data.lastPrunedAt = m_data.wallClockSeconds;
  const std::uint64_t oldest = m_data.wallClockSeconds - m_settings.retentionSeconds;
  m_data.claims.removeOlderThan(oldest);
  std::erase_if(m_data.delivered,
                [&](const auto& entry) { return entry.second.deliveredAt < oldest; });
}

std::set<LeaseHolder> LedgerState::leaseHolders() const {
  std::set<LeaseHolder> all;
  for (const auto& [id, batch] : m_data.batches) {
    all.merge(batch.leaseHolders());
  }
  return all;
}

base::Bytes LedgerState::query(const base::Bytes& query) const {
  const auto decoded = base::decode<LedgerQuery>(query);
  if (!decoded) {
    return {};
  }
  if (const auto* read = std::get_if<ReadSamples>(&*decoded)) {
    const auto found = m_data.batches.find(read->batch);
    if (found != m_data.batches.end()) {
      return base::encode(
          found->second.read(read->cursor, std::min(read->maximum, m_settings.samplesPerRead)));
    }
    ReadResult result;
    const auto delivered = m_data.delivered.find(read->batch);
    if (delivered != m_data.delivered.end()) {
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
  for (const auto& [id, batch] : m_data.batches) {
    list.batches.push_back(batch.summary());
  }
  return base::encode(list);
}

base::Bytes LedgerState::takeSnapshot() const { return base::encode(m_data); }

void LedgerState::loadSnapshot(const base::Bytes& snapshot) {
  m_data = base::decode<ReplicatedData>(snapshot).value_or(ReplicatedData{});
}

}  // namespace tackpick::ledger
