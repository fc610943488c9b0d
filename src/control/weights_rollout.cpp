#include "control/weights_rollout.h"

#include <algorithm>

namespace tackpick::control {

std::vector<engine::OutgoingEngineCommand> WeightsRollout::step(
    const std::map<base::EngineId, EngineRecord>& engines,
    const std::map<std::string, WeightsRecord>& weights, std::uint64_t term, base::TimePoint now) {
  std::vector<engine::OutgoingEngineCommand> orders;
  std::erase_if(observed_, [&](const auto& entry) { return !engines.contains(entry.first); });
  Progress progress = countOrdered(now);
  for (const auto& [id, record] : engines) {
    const auto wanted = weights.find(record.model);
    if (wanted == weights.end() || record.draining || record.removed) {
      continue;
    }
    Observed& observed = observed_[id];
    if (observed.incarnation != record.incarnation) {
      observed = {};
      observed.incarnation = record.incarnation;
    }
    observed.model = record.model;
    const base::WeightsVersion target = wanted->second.version;
    if (observed.active == target || !mayOrder(observed, now)) {
      continue;
    }
    using engine::EngineCommandKind;
    const bool prepared = observed.prepared == target;
    const EngineCommandKind kind =
        prepared ? EngineCommandKind::kActivateWeights : EngineCommandKind::kPrepareWeights;
    ModelProgress& model = progress.models[record.model];
    const bool room = prepared ? model.swapping < swapLimit(model.engines)
                               : progress.loading < settings_.concurrentLoads;
    const bool repeats = observed.ordered && observed.lastOrder == kind;
    if (!room && !repeats) {
      continue;
    }
    if (!repeats) {
      (prepared ? model.swapping : progress.loading) += 1;
    }
    observed.ordered = true;
    observed.orderedAt = now;
    observed.lastOrder = kind;
    engine::EngineCommand order;
    order.fence = {term, ++sequence_};
    order.kind = kind;
    order.model = record.model;
    order.version = target;
    orders.push_back({id, order});
  }
  return orders;
}

void WeightsRollout::onReply(const engine::EngineCommandReply& reply, base::TimePoint /*now*/) {
  const auto found = observed_.find(reply.state.engine);
  if (found == observed_.end() || reply.status == engine::EngineCommandStatus::kStaleFence) {
    return;
  }
  Observed& observed = found->second;
  const bool advanced = observed.prepared != reply.state.preparedVersion ||
                        observed.active != reply.state.activeVersion;
  observed.active = reply.state.activeVersion;
  observed.prepared = reply.state.preparedVersion;
  if (advanced) {
    observed.ordered = false;
  }
}

bool WeightsRollout::mayOrder(const Observed& observed, base::TimePoint now) const {
  return !observed.ordered || now - observed.orderedAt >= settings_.retryInterval;
}

WeightsRollout::Progress WeightsRollout::countOrdered(base::TimePoint now) const {
  // An engine that does not answer must not hold its place for ever.
  constexpr int kIntervalsBeforeGivingUp = 25;
  Progress progress;
  for (const auto& [id, observed] : observed_) {
    ModelProgress& model = progress.models[observed.model];
    ++model.engines;
    const bool underWay =
        observed.ordered &&
        now - observed.orderedAt < settings_.retryInterval * kIntervalsBeforeGivingUp;
    if (underWay && observed.lastOrder == engine::EngineCommandKind::kPrepareWeights) {
      ++progress.loading;
    } else if (underWay && observed.lastOrder == engine::EngineCommandKind::kActivateWeights) {
      ++model.swapping;
    }
  }
  return progress;
}

std::size_t WeightsRollout::swapLimit(std::size_t engines) const {
  constexpr std::size_t kWholePercent = 100;
  return std::max<std::size_t>(
      1, engines * static_cast<std::size_t>(settings_.swappingPercent) / kWholePercent);
}

std::size_t WeightsRollout::activeCount(const std::string& model,
                                        base::WeightsVersion version) const {
  return static_cast<std::size_t>(
      std::count_if(observed_.begin(), observed_.end(), [&](const auto& entry) {
        return entry.second.model == model && entry.second.active == version;
      }));
}

}  // namespace tackpick::control
