#include "control/weights_rollout.h"

#include <algorithm>

namespace tackpick::control {

std::vector<engine::OutgoingEngineCommand> WeightsRollout::step(
    const std::map<base::EngineId, EngineRecord>& engines,
    const std::map<std::string, WeightsRecord>& weights, std::uint64_t term, base::TimePoint now) {
  std::vector<engine::OutgoingEngineCommand> commands;
  std::erase_if(m_engines, [&](const auto& entry) { return !engines.contains(entry.first); });
  InFlightCounts counts = countInFlight(now);
  for (const auto& [id, record] : engines) {
    const auto published = weights.find(record.model);
    if (published == weights.end() || record.draining || record.removed) {
      continue;
    }
    EngineProgress& engineProgress = m_engines[id];
    if (engineProgress.incarnation != record.incarnation) {
      engineProgress = {};
      engineProgress.incarnation = record.incarnation;
    }
    engineProgress.model = record.model;
    const base::WeightsVersion target = published->second.version;
    if (engineProgress.active == target || !canSendCommand(engineProgress, now)) {
      continue;
    }
    using engine::EngineCommandKind;
    const bool prepared = engineProgress.prepared == target;
    const EngineCommandKind kind =
        prepared ? EngineCommandKind::kActivateWeights : EngineCommandKind::kPrepareWeights;
    ModelCounts& model = counts.models[record.model];
    const bool hasCapacity = prepared ? model.activating < activationLimit(model.engines)
                                      : counts.loading < settings_.concurrentLoads;
    const bool isRetry = engineProgress.commandPending && engineProgress.lastCommand == kind;
    if (!hasCapacity && !isRetry) {
      continue;
    }
    if (!isRetry) {
      (prepared ? model.activating : counts.loading) += 1;
    }
    engineProgress.commandPending = true;
    engineProgress.commandSentAt = now;
    engineProgress.lastCommand = kind;
    engine::EngineCommand command;
    command.fence = {term, ++sequence_};
    command.kind = kind;
    command.model = record.model;
    command.version = target;
    commands.push_back({id, command});
  }
  return commands;
}

void WeightsRollout::onReply(const engine::EngineCommandReply& reply, base::TimePoint /*now*/) {
  const auto found = m_engines.find(reply.state.engine);
  if (found == m_engines.end() || reply.status == engine::EngineCommandStatus::kStaleFence) {
    return;
  }
  EngineProgress& engineProgress = found->second;
  const bool advanced = engineProgress.prepared != reply.state.preparedVersion ||
                        engineProgress.active != reply.state.activeVersion;
  engineProgress.active = reply.state.activeVersion;
  engineProgress.prepared = reply.state.preparedVersion;
  if (advanced) {
    engineProgress.commandPending = false;
  }
}

bool WeightsRollout::canSendCommand(const EngineProgress& engineProgress,
                                    base::TimePoint now) const {
  return !engineProgress.commandPending ||
         now - engineProgress.commandSentAt >= settings_.retryInterval;
}

WeightsRollout::InFlightCounts WeightsRollout::countInFlight(base::TimePoint now) const {
  // Number of retry intervals after which an unanswered command no longer counts as in flight.
  constexpr int kMaxRetryIntervals = 25;
  InFlightCounts counts;
  for (const auto& [id, engineProgress] : m_engines) {
    ModelCounts& model = counts.models[engineProgress.model];
    ++model.engines;
    const bool inFlight =
        engineProgress.commandPending &&
        now - engineProgress.commandSentAt < settings_.retryInterval * kMaxRetryIntervals;
    if (inFlight && engineProgress.lastCommand == engine::EngineCommandKind::kPrepareWeights) {
      ++counts.loading;
    } else if (inFlight &&
               engineProgress.lastCommand == engine::EngineCommandKind::kActivateWeights) {
      ++model.activating;
    }
  }
  return counts;
}

std::size_t WeightsRollout::activationLimit(std::size_t engines) const {
  constexpr std::size_t kHundredPercent = 100;
  return std::max<std::size_t>(
      1, engines * static_cast<std::size_t>(settings_.maxActivatingPercent) / kHundredPercent);
}

std::size_t WeightsRollout::activeCount(const std::string& model,
                                        base::WeightsVersion version) const {
  return static_cast<std::size_t>(
      std::count_if(m_engines.begin(), m_engines.end(), [&](const auto& entry) {
        return entry.second.model == model && entry.second.active == version;
      }));
}

}  // namespace tackpick::control
