/// \file
/// Gateway: samples leased from the ledgers, and their commit.
#include <algorithm>

#include "gateway/gateway.h"

namespace tackpick::gateway {

using control::SettingKey;

std::uint32_t Gateway::wantedSamples(base::TimePoint now) const {
  std::uint32_t waiting = 0;
  std::uint32_t held = 0;
  for (const auto& [id, job] : jobs_) {
    if (job.sample) {
      ++held;
      waiting += job.queued ? 1 : 0;
    }
  }
  std::uint64_t freeSlots = 0;
  for (const auto& [id, entry] : engines_.entries()) {
    if (engines_.isEligible(entry, entry.status.model, {}, now)) {
      const std::uint32_t load = routing::EngineTable::load(entry);
      freeSlots += entry.status.slots - std::min(entry.status.slots, load);
    }
  }
  const auto target = static_cast<std::uint32_t>(freeSlots) + settings_.sampleReserve;
  const std::uint32_t wanted = target - std::min(target, waiting);
  return std::min(wanted, settings_.maximumSamples - std::min(settings_.maximumSamples, held));
}

void Gateway::leaseSamples(base::TimePoint now) {
  const bool mayLease = !draining_ && view_.canServe(now);
  for (LedgerLink& link : ledgers_) {
    if (link.held > 0 && now - link.heardAt >= settings_.heartbeatInterval) {
      link.heardAt = now;
      callGroup(*link.client, transport::CommandKind::kQuery,
                base::encode(ledger::LedgerQuery{
                    ledger::GatewayHeartbeat{settings_.self, settings_.incarnation}}),
                now, [](const base::Bytes*, base::TimePoint) {});
    }
    // A group that had nothing is asked less often.
    const auto interval = link.empty ? settings_.leaseInterval * 3 : settings_.leaseInterval;
    if (!mayLease || link.leaseOutstanding || now - link.leasedAt < interval) {
      continue;
    }
    const std::uint32_t wanted = wantedSamples(now);
    if (wanted == 0) {
      continue;
    }
    link.leaseOutstanding = true;
    link.leasedAt = now;
    link.heardAt = now;
    ledger::LeaseSamples lease;
    lease.gateway = settings_.self;
    lease.incarnation = settings_.incarnation;
    lease.request = ++link.leaseRequest;
    lease.maximum = wanted;
    callGroup(*link.client, transport::CommandKind::kCommand,
              base::encode(ledger::LedgerOperation{lease}), now,
              [this, group = link.client->group()](const base::Bytes* result, base::TimePoint at) {
                onLeaseResult(group, result, at);
              });
  }
}

void Gateway::onLeaseResult(base::GroupId group, const base::Bytes* result, base::TimePoint now) {
  LedgerLink& link = ledgerOf(group);
  link.leaseOutstanding = false;
  const auto decoded =
      result == nullptr ? std::nullopt : base::decode<ledger::LedgerResult>(*result);
  if (!decoded) {
    // The outcome is unknown: asking again under the same number gives the same samples.
    --link.leaseRequest;
    return;
  }
  link.empty = decoded->leased.empty();
  for (const ledger::LeasedSample& sample : decoded->leased) {
    createSampleJob(group, sample, now);
  }
  if (draining_) {
    returnWaitingSamples(now);
  }
  dispatch(now);
}

void Gateway::createSampleJob(base::GroupId group, const ledger::LeasedSample& sample,
                              base::TimePoint now) {
  const control::SettingsTree& tree = view_.settings();
  Job job;
  job.id = {++counter_};
  job.sample = sample;
  job.ledgerGroup = group;
  job.workload = sample.workload;
  job.model = sample.model;
  job.prompt = sample.sample.prompt;
  job.seed = sample.sample.seed;
  job.maximumTokens = sample.sample.maximumTokens;
  job.priority =
      static_cast<std::uint32_t>(tree.integer(sample.workload.value, SettingKey::kPriority));
  job.minimumVersion = sample.minimumVersion;
  job.hedgingAllowed = tree.flag(sample.workload.value, SettingKey::kHedging);
  job.arrivedAt = now;
  ++counters_.samplesLeased;
  ++ledgerOf(group).held;
  Job& stored = jobs_.emplace(job.id, std::move(job)).first->second;
  enqueue(stored, now);
}

void Gateway::commitSample(Job& job, ledger::SampleResult result, base::TimePoint now) {
  ledger::CommitSample commit;
  commit.batch = job.sample->batch;
  commit.fence = job.sample->fence;
  commit.result = std::move(result);
  sendCommit(job.id, base::encode(ledger::LedgerOperation{std::move(commit)}), now);
}

void Gateway::sendCommit(JobId id, const base::Bytes& command, base::TimePoint now) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return;
  }
  consensus::GroupClient& client = *ledgerOf(found->second.ledgerGroup).client;
  callGroup(client, transport::CommandKind::kCommand, command, now,
            [this, id, command](const base::Bytes* answer, base::TimePoint at) {
              const auto decoded =
                  answer == nullptr ? std::nullopt : base::decode<ledger::LedgerResult>(*answer);
              if (!decoded) {
                sendCommit(id, command, at);  // unclear: committing again is harmless
                return;
              }
              if (decoded->status == ledger::LedgerStatus::kOk) {
                ++counters_.samplesCommitted;
              } else if (decoded->status == ledger::LedgerStatus::kTooOld) {
                ++counters_.samplesTooOld;
              }
              removeJob(id);
            });
}

void Gateway::returnWaitingSamples(base::TimePoint now) {
  std::vector<JobId> waiting;
  for (const auto& [id, job] : jobs_) {
    if (job.sample && job.attempts.empty() && !job.finishing) {
      waiting.push_back(id);
    }
  }
  for (const JobId id : waiting) {
    const Job& job = jobs_.at(id);
    const ledger::ReturnSample give{job.sample->batch, job.sample->sample.index, job.sample->fence};
    callGroup(*ledgerOf(job.ledgerGroup).client, transport::CommandKind::kCommand,
              base::encode(ledger::LedgerOperation{give}), now,
              [](const base::Bytes*, base::TimePoint) {});
    removeJob(id);
  }
}

}  // namespace tackpick::gateway
