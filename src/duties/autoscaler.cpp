#include "duties/autoscaler.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace tackpick::duties {
namespace {

/// Returns a decision with the members that describe the demand of the service.
CapacityDecision decisionWithDemand(const ScaledService& service) {
  CapacityDecision decision;
  if (!service.demand) {
    return decision;
  }
  decision.demandKnown = true;
  decision.demandAge = service.demand->reportAge;
  for (const auto& [model, openJobs] : service.demand->openJobs) {
    for (const jobs::OpenJob& job : openJobs) {
      decision.items += job.items;
      decision.waiting += job.waiting;
    }
  }
  return decision;
}

}  // namespace

void Autoscaler::reset(const CapacityState& state, base::TimePoint callsFrom, base::TimePoint now) {
  m_planners.clear();
  m_pools.clear();
  m_pendingTargets.clear();
  m_summaries.clear();
  m_pendingConfirmations.clear();
  for (const auto& [pool, desired] : state.desired()) {
    // Instances that the previous leader requested may still be starting.
    m_pools[pool].requestedAt = std::max(now, callsFrom);
  }
  m_nextCallAt = callsFrom;
  m_retryDelay = {};
}

PoolCounts Autoscaler::poolCounts(const InstancePool& pool, RegisteredCounts registered,
                                  const CapacityState& state, base::Duration startupDuration,
                                  base::TimePoint now) {
  PoolState& poolState = m_pools[pool];
  poolState.instancesLost = poolState.instancesLost ||
                            registered.active < poolState.lastCounts.active ||
                            registered.draining < poolState.lastCounts.draining;
  poolState.lastCounts = registered;
  const DesiredCapacity committed = state.desired(pool).value_or(DesiredCapacity{});
  if (poolState.proposed == committed.count) {
    poolState.proposed.reset();
  }
  PoolCounts counts;
  counts.active = registered.active;
  counts.desired = poolState.proposed.value_or(committed.count);
  counts.requested = poolState.proposed || state.desired(pool);
  counts.unavailable = now < poolState.availableFrom;
  const bool requestPending = poolState.unanswered || !committed.accepted;
  const bool starting = poolState.requestedAt &&
                        now - *poolState.requestedAt <= startupDuration + m_settings.startupGrace;
  if ((requestPending || starting) && !counts.unavailable) {
    counts.starting = counts.desired - std::min(counts.desired, registered.active);
  }
  return counts;
}

std::vector<ZoneCounts> Autoscaler::countZones(const ScaledService& service,
                                               const CapacityState& state, base::TimePoint now) {
  std::map<std::string, RegisteredInstances> zones = service.zones;
  for (const std::string& zone : state.zones(service.name)) {
    zones.try_emplace(zone);
  }
  std::vector<ZoneCounts> zoneCounts;
  for (const auto& [zone, registered] : zones) {
    const InstancePool onDemand{service.name, zone, InstanceKind::kOnDemand};
    const InstancePool preemptible{service.name, zone, InstanceKind::kPreemptible};
    if (registered.preemptibleDraining > 0) {
      PoolState& preemptiblePool = m_pools[preemptible];
      preemptiblePool.availableFrom =
          std::max(preemptiblePool.availableFrom, now + m_settings.initialBackoff);
    }
    const base::Duration startup = service.scaling.startupDuration;
    ZoneCounts counts;
    counts.zone = zone;
    counts.onDemand = poolCounts(onDemand, {registered.onDemand, registered.onDemandDraining},
                                 state, startup, now);
    counts.preemptible = poolCounts(
        preemptible, {registered.preemptible, registered.preemptibleDraining}, state, startup, now);
    counts.unresponsive = registered.unresponsive;
    counts.draining = registered.onDemandDraining + registered.preemptibleDraining;
    counts.baseline = state.baseline(onDemand);
    counts.preemptibleBaseline = state.baseline(preemptible);
    zoneCounts.push_back(counts);
    for (const auto& [pool, kindCounts, draining] :
         {std::tuple(onDemand, counts.onDemand, registered.onDemandDraining),
          std::tuple(preemptible, counts.preemptible, registered.preemptibleDraining)}) {
      const bool accepted = state.desired(pool).value_or(DesiredCapacity{}).accepted;
      m_summaries.push_back({pool, kindCounts.desired, accepted, kindCounts.active,
                             kindCounts.starting, draining, m_pools[pool].consecutiveFailures});
    }
  }
  return zoneCounts;
}

void Autoscaler::recordBaselines(const ScaledService& service, const CapacityState& state,
                                 AutoscalerActions& actions) {
  const auto record = [&](const InstancePool& pool, std::uint32_t active) {
    if (!state.desired(pool) && active > state.baseline(pool)) {
      actions.commands.emplace_back(RecordBaseline{pool, active});
    }
  };
  for (const auto& [zone, registered] : service.zones) {
    record({service.name, zone, InstanceKind::kOnDemand}, registered.onDemand);
    record({service.name, zone, InstanceKind::kPreemptible}, registered.preemptible);
  }
}

bool Autoscaler::propose(const InstancePool& pool, std::uint32_t count, base::TimePoint now,
                         AutoscalerActions& actions) {
  PoolState& poolState = m_pools[pool];
  if (poolState.proposed == count && now - poolState.proposedAt < m_settings.proposalTimeout) {
    return false;
  }
  poolState.proposed = count;
  poolState.proposedAt = now;
  actions.commands.emplace_back(SetCapacity{pool, count});
  return true;
}

void Autoscaler::dropUnavailableTargets(const ScaledService& service,
                                        const std::vector<ZoneCounts>& zones, base::TimePoint now,
                                        AutoscalerActions& actions) {
  for (const ZoneCounts& zone : zones) {
    const PoolCounts& counts = zone.preemptible;
    if (counts.unavailable && counts.desired > counts.active) {
      (void)propose({service.name, zone.zone, InstanceKind::kPreemptible}, counts.active, now,
                    actions);
    }
  }
}

void Autoscaler::proposeDecision(CapacityDecision decision, const CapacityState& state,
                                 base::TimePoint now, AutoscalerActions& actions) {
  const auto committed = state.desired(decision.subject);
  if (committed && committed->count == decision.count) {
    return;
  }
  if (propose(decision.subject, decision.count, now, actions)) {
    PoolState& poolState = m_pools[decision.subject];
    poolState.acceptedCount.reset();
    poolState.repeatInterval = {};
    decision.previousCount = committed.value_or(DesiredCapacity{}).count;
    actions.decisions.push_back(std::move(decision));
  }
}

void Autoscaler::planService(const ScaledService& service, const CapacityState& state,
                             const StepInputs& stepInputs, AutoscalerActions& actions) {
  recordBaselines(service, state, actions);
  CapacityInputs inputs;
  inputs.scaling = service.scaling;
  inputs.slots = service.slots;
  inputs.zones = countZones(service, state, stepInputs.now);
  inputs.demand = service.demand;
  inputs.warmedUp = stepInputs.warmedUp;
  inputs.now = stepInputs.now;
  dropUnavailableTargets(service, inputs.zones, stepInputs.now, actions);
  CapacityPlanner& planner = m_planners.try_emplace(service.name, m_settings.plan).first->second;
  const CapacityDecision common = decisionWithDemand(service);
  for (const CapacityTarget& target : planner.step(inputs)) {
    CapacityDecision decision = common;
    decision.subject = {service.name, target.zone, target.kind};
    const RegisteredCounts registered = m_pools[decision.subject].lastCounts;
    m_pendingTargets.insert_or_assign(decision.subject,
                                      PendingTarget{target, service.scaling.startupDuration});
    decision.count = target.count;
    decision.active = registered.active;
    decision.draining = registered.draining;
    decision.targetTotal = planner.targetCount();
    proposeDecision(std::move(decision), state, stepInputs.now, actions);
  }
}

bool Autoscaler::isCallDue(const InstancePool& pool, const PendingTarget& pendingTarget,
                           const CapacityState& state, base::TimePoint now) {
  const PoolState& poolState = m_pools[pool];
  const auto committed = state.desired(pool);
  if (!committed || committed->count != pendingTarget.target.count ||
      now < poolState.availableFrom) {
    return false;
  }
  const bool accepted =
      (committed->accepted || poolState.acceptedCount == committed->count) && !poolState.unanswered;
  if (!accepted || poolState.instancesLost || !poolState.requestedAt) {
    return true;
  }
  const base::Duration repeatAfter =
      std::max(pendingTarget.startupDuration + m_settings.startupGrace, poolState.repeatInterval);
  return now - *poolState.requestedAt > repeatAfter;
}

std::optional<ScaleCall> Autoscaler::reassertionCall(const CapacityState& state,
                                                     const StepInputs& stepInputs) {
  for (auto& [pool, poolState] : m_pools) {
    if (!poolState.minUncertainCount || stepInputs.now < poolState.uncertainUntil) {
      continue;
    }
    const std::uint32_t lowest = *std::exchange(poolState.minUncertainCount, std::nullopt);
    const auto committed = state.desired(pool);
    const bool superseded = committed && lowest < committed->count;
    if (superseded && committed->count >= poolState.lastCounts.active) {
      return ScaleCall{pool, committed->count, stepInputs.fence};
    }
  }
  return std::nullopt;
}

std::optional<ScaleCall> Autoscaler::nextCall(const CapacityState& state,
                                              const StepInputs& stepInputs) {
  const bool callInFlight =
      m_inFlightCall && stepInputs.now - m_inFlightCall->since < m_settings.callTimeout;
  if (callInFlight || stepInputs.now < m_nextCallAt || stepInputs.fence == m_staleFence) {
    return std::nullopt;
  }
  std::optional<ScaleCall> next;
  std::tuple<bool, base::TimePoint> nextRank;
  for (const auto& [pool, pendingTarget] : m_pendingTargets) {
    if (!isCallDue(pool, pendingTarget, state, stepInputs.now)) {
      continue;
    }
    // Scale-in steps come last; otherwise the pool whose last call is the oldest comes first.
    const std::tuple<bool, base::TimePoint> rank{
        pendingTarget.target.isScaleIn, m_pools[pool].requestedAt.value_or(base::TimePoint{})};
    if (!next || rank < nextRank) {
      next = ScaleCall{pool, pendingTarget.target.count, stepInputs.fence};
      nextRank = rank;
    }
  }
  return next ? next : reassertionCall(state, stepInputs);
}

void Autoscaler::onSent(const ScaleCall& call, base::TimePoint now) {
  m_inFlightCall = InFlightCall{call.fence, now};
  PoolState& poolState = m_pools[call.subject];
  poolState.requestedAt = now;
  poolState.unanswered = true;
  poolState.instancesLost = false;
  poolState.repeatInterval = std::clamp(
      poolState.repeatInterval * 2, m_settings.initialRepeatInterval, m_settings.maxRepeatInterval);
}

AutoscalerActions Autoscaler::step(const CapacityState& state, const StepInputs& stepInputs) {
  AutoscalerActions actions;
  if (!enabled()) {
    return actions;
  }
  m_pendingTargets.clear();
  m_summaries.clear();
  for (const ScaledService& service : stepInputs.services) {
    planService(service, state, stepInputs, actions);
  }
  for (const ConfirmCapacity& confirm : std::exchange(m_pendingConfirmations, {})) {
    actions.commands.emplace_back(confirm);
  }
  actions.call = nextCall(state, stepInputs);
  if (actions.call) {
    onSent(*actions.call, stepInputs.now);
  }
  return actions;
}

void Autoscaler::backOffPool(PoolState& poolState, base::TimePoint now) const {
  poolState.backoff =
      std::clamp(poolState.backoff * 2, m_settings.initialBackoff, m_settings.maxBackoff);
  poolState.availableFrom = now + poolState.backoff;
  poolState.requestedAt.reset();
  poolState.unanswered = false;
  ++poolState.consecutiveFailures;
}

void Autoscaler::backOffCalls(base::TimePoint now) {
  m_retryDelay =
      std::clamp(m_retryDelay * 2, m_settings.initialRetryDelay, m_settings.maxRetryDelay);
  // Random jitter of up to half of the delay keeps callers from synchronizing.
  const auto half = m_retryDelay.count() / 2;
  m_nextCallAt = now + base::Duration(half + static_cast<base::Duration::rep>(m_random.below(
                                                 static_cast<std::uint64_t>(half) + 1)));
}

void Autoscaler::onOutcome(const ScaleCall& call, ScaleOutcome outcome, base::TimePoint now) {
  if (!m_inFlightCall || call.fence != m_inFlightCall->fence) {
    return;  // The call is from an earlier term; its count is requested again.
  }
  m_inFlightCall.reset();
  m_nextCallAt = now + m_settings.minCallInterval;
  PoolState& poolState = m_pools[call.subject];
  switch (outcome) {
    case ScaleOutcome::kAccepted:
      m_retryDelay = {};
      poolState.acceptedCount = call.count;
      poolState.unanswered = false;
      poolState.backoff = {};
      poolState.consecutiveFailures = 0;
      m_pendingConfirmations.push_back({call.subject, call.count});
      return;
    case ScaleOutcome::kStaleFence:
      m_staleFence = call.fence;
      return;
    case ScaleOutcome::kNoCapacity:
      m_retryDelay = {};
      backOffPool(poolState, now);
      return;
    case ScaleOutcome::kUnknown:
      poolState.minUncertainCount =
          std::min(call.count, poolState.minUncertainCount.value_or(call.count));
      poolState.uncertainUntil = now + m_settings.maxEffectDelay;
      backOffCalls(now);
      return;
    case ScaleOutcome::kThrottled:
      backOffCalls(now);
      return;
  }
}

}  // namespace tackpick::duties
