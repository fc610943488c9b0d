/// \file
/// Gateway: lease and commit of samples.
#include <algorithm>

#include "gateway/gateway.h"

namespace tackpick::gateway {

using control::SettingKey;

std::uint32_t Gateway::samplesToLease(base::TimePoint now) const {
  std::uint32_t waiting = 0;
  std::uint32_t heldSamples = 0;
  for (const auto& [id, task] : m_tasks) {
    if (task.sample) {
      ++heldSamples;
      waiting += task.queued ? 1 : 0;
    }
  }
  std::uint64_t freeSlots = 0;
  for (const auto& [id, entry] : engines_.entries()) {
    if (engines_.isEligible(entry, entry.status.model, {}, now)) {
      const std::uint32_t load = routing::EngineTable::load(entry);
      freeSlots += entry.status.slots - std::min(entry.status.slots, load);
    }
  }
  const auto target = static_cast<std::uint32_t>(freeSlots) + settings_.samplePrefetch;
  const std::uint32_t sampleCount = target - std::min(target, waiting);
  return std::min(sampleCount,
                  settings_.maxLeasedSamples - std::min(settings_.maxLeasedSamples, heldSamples));
}

void Gateway::leaseSamples(base::TimePoint now) {
  const bool mayLease = !draining_ && m_controlView.canServe(now);
  for (LedgerGroupState& groupState : ledgers_) {
    if (groupState.heldSamples > 0 &&
        now - groupState.lastContactAt >= settings_.heartbeatInterval) {
      groupState.lastContactAt = now;
      callGroup(*groupState.client, transport::CommandKind::kQuery,
                base::encode(ledger::LedgerQuery{
                    ledger::GatewayHeartbeat{settings_.self, settings_.incarnation}}),
                now, [](const base::Bytes*, base::TimePoint) {});
    }
    // Request samples less often from a group whose latest response contained no samples.
    const auto interval =
        groupState.lastLeaseEmpty ? settings_.leaseInterval * 3 : settings_.leaseInterval;
    if (!mayLease || groupState.leaseInFlight || now - groupState.lastLeaseSentAt < interval) {
      continue;
    }
    const std::uint32_t sampleCount = samplesToLease(now);
    if (sampleCount == 0) {
      continue;
    }
    groupState.leaseInFlight = true;
    groupState.lastLeaseSentAt = now;
    groupState.lastContactAt = now;
    ledger::LeaseSamples lease;
    lease.gateway = settings_.self;
    lease.incarnation = settings_.incarnation;
    lease.sequence = ++groupState.leaseSequence;
    lease.maximum = sampleCount;
    callGroup(
        *groupState.client, transport::CommandKind::kCommand,
        base::encode(ledger::LedgerOperation{lease}), now,
        [this, group = groupState.client->group()](const base::Bytes* result, base::TimePoint at) {
          onLeaseResult(group, result, at);
        });
  }
}

void Gateway::onLeaseResult(base::GroupId group, const base::Bytes* result, base::TimePoint now) {
  LedgerGroupState& groupState = ledgerByGroup(group);
  groupState.leaseInFlight = false;
  const auto decoded =
      result == nullptr ? std::nullopt : base::decode<ledger::LedgerResult>(*result);
  if (!decoded) {
    // The outcome is unknown. A request with the same sequence number returns the same samples.
    --groupState.leaseSequence;
    return;
  }
  groupState.lastLeaseEmpty = decoded->leased.empty();
  for (const ledger::LeasedSample& sample : decoded->leased) {
    createSampleTask(group, sample, now);
  }
  if (draining_) {
    returnQueuedSamples(now);
  }
  dispatch(now);
}

void Gateway::createSampleTask(base::GroupId group, const ledger::LeasedSample& sample,
                               base::TimePoint now) {
  const control::SettingsTree& tree = m_controlView.settings();
  Task task;
  task.id = {++m_lastId};
  task.sample = sample;
  task.ledgerGroup = group;
  task.workload = sample.workload;
  task.model = sample.model;
  task.prompt = sample.sample.prompt;
  task.seed = sample.sample.seed;
  task.maximumTokens = sample.sample.maximumTokens;
  task.priority =
      static_cast<std::uint32_t>(tree.integer(sample.workload.value, SettingKey::kPriority));
  task.minimumVersion = sample.minimumVersion;
  task.hedgingAllowed = tree.flag(sample.workload.value, SettingKey::kHedging);
  task.arrivedAt = now;
  ++counters_.samplesLeased;
  ++ledgerByGroup(group).heldSamples;
  Task& stored = m_tasks.emplace(task.id, std::move(task)).first->second;
  enqueue(stored, now);
}

void Gateway::commitSample(Task& task, ledger::SampleResult result, base::TimePoint now) {
  ledger::CommitSample commit;
  commit.batch = task.sample->batch;
  commit.fence = task.sample->fence;
  commit.result = std::move(result);
  sendCommit(task.id, base::encode(ledger::LedgerOperation{std::move(commit)}), now);
}

void Gateway::sendCommit(TaskId id, const base::Bytes& command, base::TimePoint now) {
  const auto found = m_tasks.find(id);
  if (found == m_tasks.end()) {
    return;
  }
  consensus::GroupClient& client = *ledgerByGroup(found->second.ledgerGroup).client;
  callGroup(client, transport::CommandKind::kCommand, command, now,
            [this, id, command](const base::Bytes* commandResult, base::TimePoint at) {
              const auto decoded = commandResult == nullptr
                                       ? std::nullopt
                                       : base::decode<ledger::LedgerResult>(*commandResult);
              if (!decoded) {
                sendCommit(id, command, at);  // outcome unknown; a repeated commit has no effect
                return;
              }
              if (decoded->status == ledger::LedgerStatus::kOk) {
                ++counters_.samplesCommitted;
              } else if (decoded->status == ledger::LedgerStatus::kStaleVersion) {
                ++counters_.samplesStale;
              }
              removeTask(id);
            });
}

void Gateway::returnQueuedSamples(base::TimePoint now) {
  std::vector<TaskId> waiting;
  for (const auto& [id, task] : m_tasks) {
    if (task.sample && task.attempts.empty() && !task.outcomeDecided) {
      waiting.push_back(id);
    }
  }
  for (const TaskId id : waiting) {
    const Task& task = m_tasks.at(id);
    const ledger::ReturnSample returnSample{task.sample->batch, task.sample->sample.index,
                                            task.sample->fence};
    callGroup(*ledgerByGroup(task.ledgerGroup).client, transport::CommandKind::kCommand,
              base::encode(ledger::LedgerOperation{returnSample}), now,
              [](const base::Bytes*, base::TimePoint) {});
    removeTask(id);
  }
}

}  // namespace tackpick::gateway
