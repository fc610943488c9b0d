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
             const LengthEstimates* estimates)
    : id_(submission.batch),
      workload_(submission.workload),
      model_(submission.model),
      minimum_version_(submission.minimumVersion),
      content_hash_(contentHash) {
  samples_.resize(submission.samples.size());
  for (const SampleSpec& specification : submission.samples) {
    Sample& sample = samples_.at(specification.index);
    sample.specification = specification;
    if (estimates != nullptr) {
      sample.expectedTokens =
          estimates->expected(workload_, specification.prompt, specification.maximumTokens);
    }
    pending_.insert(pendingAt(specification.index));
  }
}

void Batch::lease(const SampleHolder& holder, std::uint32_t maximum,
                  std::vector<LeasedSample>& leased) {
  while (!pending_.empty() && leased.size() < maximum) {
    const std::uint32_t index = pending_.begin()->index;
    pending_.erase(pending_.begin());
    leases_[index] = holder;
    ++samples_[index].fence;
    leased.push_back(describe(index));
  }
}

LeasedSample Batch::describe(std::uint32_t index) const {
  LeasedSample lease;
  lease.batch = id_;
  lease.workload = workload_;
  lease.model = model_;
  lease.minimumVersion = minimum_version_;
  lease.fence = samples_[index].fence;
  lease.remaining = static_cast<std::uint32_t>(samples_.size() - order_.size());
  lease.expectedTokens = samples_[index].expectedTokens;
  lease.sample = samples_[index].specification;
  return lease;
}

bool Batch::isHeldBy(std::uint32_t index, const SampleHolder& holder) const {
  const auto held = leases_.find(index);
  return held != leases_.end() && held->second == holder;
}

void Batch::release(const SampleHolder& holder) {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second == holder) {
      pending_.insert(pendingAt(it->first));
      it = leases_.erase(it);
    } else {
      ++it;
    }
  }
}

LedgerStatus Batch::giveBack(std::uint32_t index, std::uint64_t fence) {
  const auto held = leases_.find(index);
  if (held == leases_.end() || samples_[index].fence != fence) {
    return LedgerStatus::kAlreadyDone;
  }
  leases_.erase(held);
  pending_.insert(pendingAt(index));
  return LedgerStatus::kOk;
}

LedgerStatus Batch::commit(const CommitSample& commit, const Mutants& mutants) {
  const std::uint32_t index = commit.result.index;
  if (index >= samples_.size() ||
      !spansCoverTokens(commit.result.spans, commit.result.tokens.size())) {
    return LedgerStatus::kInvalid;
  }
  Sample& sample = samples_[index];
  if (sample.committed && !mutants.commitTwice) {
    return LedgerStatus::kAlreadyDone;
  }
  if (oldestVersion(commit.result.spans) < minimum_version_ && !mutants.skipVersionCheck) {
    giveBack(index, commit.fence);
    return LedgerStatus::kTooOld;
  }
  sample.committed = true;
  sample.result = commit.result;
  pending_.erase(pendingAt(index));
  leases_.erase(index);
  order_.push_back(index);
  return LedgerStatus::kOk;
}

LedgerStatus Batch::acknowledge(std::uint32_t cursor) {
  if (cursor > order_.size()) {
    return LedgerStatus::kInvalid;
  }
  if (cursor <= acknowledged_) {
    return LedgerStatus::kAlreadyDone;
  }
  for (std::uint32_t position = acknowledged_; position < cursor; ++position) {
    Sample& sample = samples_[order_[position]];
    sample.result = {};
    sample.specification.prompt.clear();
  }
  acknowledged_ = cursor;
  return LedgerStatus::kOk;
}

void Batch::tighten(base::WeightsVersion minimumVersion) {
  minimum_version_ = std::max(minimum_version_, minimumVersion);
}

ReadResult Batch::read(std::uint32_t cursor, std::uint32_t maximum) const {
  ReadResult result;
  result.total = static_cast<std::uint32_t>(samples_.size());
  result.committed = static_cast<std::uint32_t>(order_.size());
  if (cursor < acknowledged_) {
    result.status = LedgerStatus::kExpired;
    result.cursor = acknowledged_;
    return result;
  }
  result.status = LedgerStatus::kOk;
  result.cursor = cursor;
  while (result.cursor < order_.size() && result.samples.size() < maximum) {
    result.samples.push_back(samples_[order_[result.cursor]].result);
    ++result.cursor;
  }
  return result;
}

BatchSummary Batch::summary() const {
  BatchSummary summary;
  summary.batch = id_;
  summary.workload = workload_;
  summary.total = static_cast<std::uint32_t>(samples_.size());
  summary.committed = static_cast<std::uint32_t>(order_.size());
  summary.leased = static_cast<std::uint32_t>(leases_.size());
  summary.acknowledged = acknowledged_;
  summary.minimumVersion = minimum_version_;
  return summary;
}

std::set<SampleHolder> Batch::holders() const {
  std::set<SampleHolder> holders;
  for (const auto& [index, holder] : leases_) {
    holders.insert(holder);
  }
  return holders;
}

}  // namespace tackpick::ledger
