#include "ledger/batch.h"

#include <algorithm>

namespace tackpick::ledger {

base::WeightsVersion oldestVersion(const std::vector<VersionSpan>& spans) {
  base::WeightsVersion oldest;
  for (const VersionSpan& span : spans) {
    if (!oldest.valid() || span.version < oldest) {
      oldest = span.version;
    }
  }
  return oldest;
}

bool spansCoverTokens(const std::vector<VersionSpan>& spans, std::size_t tokenCount) {
  std::size_t next = 0;
  for (const VersionSpan& span : spans) {
    if (span.first != next || span.count == 0 || !span.version.valid()) {
      return false;
    }
    next += span.count;
  }
  return next == tokenCount;
}

Batch::Batch(const SubmitBatch& submission, std::uint64_t contentHash,
             const LengthEstimator* lengthEstimator)
    : id_(submission.batch),
      workload_(submission.workload),
      model_(submission.model),
      m_minimumVersion(submission.minimumVersion),
      content_hash_(contentHash) {
  samples_.resize(submission.samples.size());
  for (const SampleSpec& spec : submission.samples) {
    Sample& sample = samples_.at(spec.index);
    sample.spec = spec;
    if (lengthEstimator != nullptr) {
      sample.expectedTokens = lengthEstimator->estimate(workload_, spec.prompt, spec.maximumTokens);
    }
    pending_.insert(makePending(spec.index));
  }
}

void Batch::lease(const LeaseHolder& holder, std::uint32_t maximum,
                  std::vector<LeasedSample>& leased) {
  while (!pending_.empty() && leased.size() < maximum) {
    const std::uint32_t index = pending_.begin()->index;
    pending_.erase(pending_.begin());
    leases_[index] = holder;
    ++samples_[index].fence;
    leased.push_back(leasedSample(index));
  }
}

LeasedSample Batch::leasedSample(std::uint32_t index) const {
  LeasedSample lease;
  lease.batch = id_;
  lease.workload = workload_;
  lease.model = model_;
  lease.minimumVersion = m_minimumVersion;
  lease.fence = samples_[index].fence;
  lease.remaining = static_cast<std::uint32_t>(samples_.size() - m_commitOrder.size());
  lease.expectedTokens = samples_[index].expectedTokens;
  lease.sample = samples_[index].spec;
  return lease;
}

bool Batch::isLeasedTo(std::uint32_t index, const LeaseHolder& holder) const {
  const auto found = leases_.find(index);
  return found != leases_.end() && found->second == holder;
}

void Batch::releaseLeases(const LeaseHolder& holder) {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second == holder) {
      pending_.insert(makePending(it->first));
      it = leases_.erase(it);
    } else {
      ++it;
    }
  }
}

LedgerStatus Batch::returnLease(std::uint32_t index, std::uint64_t fence) {
  const auto found = leases_.find(index);
  if (found == leases_.end() || samples_[index].fence != fence) {
    return LedgerStatus::kAlreadyApplied;
  }
  leases_.erase(found);
  pending_.insert(makePending(index));
  return LedgerStatus::kOk;
}

LedgerStatus Batch::commit(const CommitSample& commit, const Mutants& mutants) {
  const std::uint32_t index = commit.result.index;
  if (index >= samples_.size() ||
      !spansCoverTokens(commit.result.spans, commit.result.tokens.size())) {
    return LedgerStatus::kInvalid;
  }
  Sample& sample = samples_[index];
  if (sample.committed && !mutants.acceptSecondCommit) {
    return LedgerStatus::kAlreadyApplied;
  }
  if (oldestVersion(commit.result.spans) < m_minimumVersion && !mutants.skipVersionCheck) {
    returnLease(index, commit.fence);
    return LedgerStatus::kStaleVersion;
  }
  sample.committed = true;
  sample.result = commit.result;
  pending_.erase(makePending(index));
  leases_.erase(index);
  m_commitOrder.push_back(index);
  return LedgerStatus::kOk;
}

LedgerStatus Batch::acknowledge(std::uint32_t cursor) {
  if (cursor > m_commitOrder.size()) {
    return LedgerStatus::kInvalid;
  }
  if (cursor <= m_acknowledgedCursor) {
    return LedgerStatus::kAlreadyApplied;
  }
  for (std::uint32_t position = m_acknowledgedCursor; position < cursor; ++position) {
    Sample& sample = samples_[m_commitOrder[position]];
    sample.result = {};
    sample.spec.prompt.clear();
  }
  m_acknowledgedCursor = cursor;
  return LedgerStatus::kOk;
}

void Batch::raiseMinimumVersion(base::WeightsVersion minimumVersion) {
  m_minimumVersion = std::max(m_minimumVersion, minimumVersion);
}

ReadResult Batch::read(std::uint32_t cursor, std::uint32_t maximum) const {
  ReadResult result;
  result.total = static_cast<std::uint32_t>(samples_.size());
  result.committed = static_cast<std::uint32_t>(m_commitOrder.size());
  if (cursor < m_acknowledgedCursor) {
    result.status = LedgerStatus::kExpired;
    result.cursor = m_acknowledgedCursor;
    return result;
  }
  result.status = LedgerStatus::kOk;
  result.cursor = cursor;
  while (result.cursor < m_commitOrder.size() && result.samples.size() < maximum) {
    result.samples.push_back(samples_[m_commitOrder[result.cursor]].result);
    ++result.cursor;
  }
  return result;
}

BatchSummary Batch::summary() const {
  BatchSummary summary;
  summary.batch = id_;
  summary.workload = workload_;
  summary.total = static_cast<std::uint32_t>(samples_.size());
  summary.committed = static_cast<std::uint32_t>(m_commitOrder.size());
  summary.leased = static_cast<std::uint32_t>(leases_.size());
  summary.acknowledged = m_acknowledgedCursor;
  summary.minimumVersion = m_minimumVersion;
  return summary;
}

std::set<LeaseHolder> Batch::leaseHolders() const {
  std::set<LeaseHolder> leaseHolders;
  for (const auto& [index, holder] : leases_) {
    leaseHolders.insert(holder);
  }
  return leaseHolders;
}

}  // namespace tackpick::ledger
