#include "duties/autoscaler.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace tackpick::duties {
namespace {

/// With the open work that it is decided from.
CapacityDecision decisionFrom(const ScaledService& service) {
  CapacityDecision decision;
  if (!service.demand) {
    return decision;
  }
  decision.demandKnown = true;
  decision.demandAge = service.demand->reportAge;
  for (const auto& [model, works] : service.demand->works) {
    for (const jobs::OpenJob& work : works) {
      decision.items += work.items;
      decision.waiting += work.waiting;
    }
  }
  return decision;
}

}  // namespace

void Autoscaler::reset(const CapacityState& state, base::TimePoint callsFrom, base::TimePoint now) {
  m_plans.clear();
  m_subjects.clear();
  m_wishes.clear();
  m_summaries.clear();
  m_confirm.clear();
  for (const auto& [subject, desired] : state.desired()) {
    // What the predecessor asked for last may be starting.
    m_subjects[subject].askedAt = std::max(now, callsFrom);
  }
  m_callAt = callsFrom;
  m_retry = {};
}

PoolCounts Autoscaler::poolCounts(const InstancePool& subject, RegisteredKind registered,
                                  const CapacityState& state, base::Duration startupDuration,
                                  base::TimePoint now) {
  Subject& known = m_subjects[subject];
  known.lost = known.lost || registered.there < known.seen.there ||
               registered.draining < known.seen.draining;
  known.seen = registered;
  const DesiredCapacity noted = state.desired(subject).value_or(DesiredCapacity{});
  if (known.proposed == noted.count) {
    known.proposed.reset();
  }
  PoolCounts counts;
  counts.there = registered.there;
  counts.desired = known.proposed.value_or(noted.count);
  counts.asked = known.proposed || state.desired(subject);
  counts.unavailable = now < known.availableFrom;
  const bool toBeAsked = known.unanswered || !noted.taken;
  const bool starting =
      known.askedAt && now - *known.askedAt <= startupDuration + m_settings.startMargin;
  if ((toBeAsked || starting) && !counts.unavailable) {
    counts.starting = counts.desired - std::min(counts.desired, registered.there);
  }
  return counts;
}

std::vector<ZoneCounts> Autoscaler::zonesOf(const ScaledService& service,
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
      Subject& withdrawn = m_subjects[preemptible];
      withdrawn.availableFrom = std::max(withdrawn.availableFrom, now + m_settings.firstPause);
    }
    const base::Duration start = service.scaling.startupDuration;
    ZoneCounts counts;
    counts.zone = zone;
    counts.onDemand =
        poolCounts(onDemand, {registered.onDemand, registered.onDemandDraining}, state, start, now);
    counts.preemptible = poolCounts(
        preemptible, {registered.preemptible, registered.preemptibleDraining}, state, start, now);
    counts.unresponsive = registered.unresponsive;
    counts.draining = registered.onDemandDraining + registered.preemptibleDraining;
    counts.baseline = state.baseline(onDemand);
    counts.preemptibleBaseline = state.baseline(preemptible);
    zoneCounts.push_back(counts);
    for (const auto& [subject, kind, draining] :
         {std::tuple(onDemand, counts.onDemand, registered.onDemandDraining),
          std::tuple(preemptible, counts.preemptible, registered.preemptibleDraining)}) {
      const bool taken = state.desired(subject).value_or(DesiredCapacity{}).taken;
      m_summaries.push_back({subject, kind.desired, taken, kind.there, kind.starting, draining,
                             m_subjects[subject].refusals});
    }
  }
  return zoneCounts;
}

void Autoscaler::noteBaselines(const ScaledService& service, const CapacityState& state,
                               AutoscalerActions& work) {
  const auto note = [&](const InstancePool& subject, std::uint32_t there) {
    if (!state.desired(subject) && there > state.baseline(subject)) {
      work.commands.emplace_back(RecordBaseline{subject, there});
    }
  };
  for (const auto& [zone, registered] : service.zones) {
    note({service.name, zone, InstanceKind::kOnDemand}, registered.onDemand);
    note({service.name, zone, InstanceKind::kPreemptible}, registered.preemptible);
  }
}

bool Autoscaler::propose(const InstancePool& subject, std::uint32_t count, base::TimePoint now,
                         AutoscalerActions& work) {
  Subject& known = m_subjects[subject];
  if (known.proposed == count && now - known.proposedAt < m_settings.noteTime) {
    return false;
  }
  known.proposed = count;
  known.proposedAt = now;
  work.commands.emplace_back(SetCapacity{subject, count});
  return true;
}

void Autoscaler::noteWithdrawn(const ScaledService& service, const std::vector<ZoneCounts>& zones,
                               base::TimePoint now, AutoscalerActions& work) {
  for (const ZoneCounts& zone : zones) {
    const PoolCounts& kind = zone.preemptible;
    if (kind.unavailable && kind.desired > kind.there) {
      (void)propose({service.name, zone.zone, InstanceKind::kPreemptible}, kind.there, now, work);
    }
  }
}

void Autoscaler::decide(CapacityDecision decision, const CapacityState& state, base::TimePoint now,
                        AutoscalerActions& work) {
  const auto noted = state.desired(decision.subject);
  if (noted && noted->count == decision.count) {
    return;
  }
  if (propose(decision.subject, decision.count, now, work)) {
    Subject& known = m_subjects[decision.subject];
    known.taken.reset();
    known.repeat = {};
    decision.before = noted.value_or(DesiredCapacity{}).count;
    work.decisions.push_back(std::move(decision));
  }
}

void Autoscaler::plan(const ScaledService& service, const CapacityState& state,
                      const Present& present, AutoscalerActions& work) {
  noteBaselines(service, state, work);
  CapacityInputs inputs;
  inputs.scaling = service.scaling;
  inputs.slots = service.slots;
  inputs.zones = zonesOf(service, state, present.now);
  inputs.demand = service.demand;
  inputs.settled = present.settled;
  inputs.now = present.now;
  noteWithdrawn(service, inputs.zones, present.now, work);
  CapacityPlanner& plan = m_plans.try_emplace(service.name, m_settings.plan).first->second;
  const CapacityDecision common = decisionFrom(service);
  for (const CapacityTarget& target : plan.step(inputs)) {
    CapacityDecision decision = common;
    decision.subject = {service.name, target.zone, target.kind};
    const RegisteredKind seen = m_subjects[decision.subject].seen;
    m_wishes.insert_or_assign(decision.subject, Wish{target, service.scaling.startupDuration});
    decision.count = target.count;
    decision.there = seen.there;
    decision.draining = seen.draining;
    decision.wanted = plan.wanted();
    decide(std::move(decision), state, present.now, work);
  }
}

bool Autoscaler::isDue(const InstancePool& subject, const Wish& wish, const CapacityState& state,
                       base::TimePoint now) {
  const Subject& known = m_subjects[subject];
  const auto noted = state.desired(subject);
  if (!noted || noted->count != wish.target.count || now < known.availableFrom) {
    return false;
  }
  const bool taken = (noted->taken || known.taken == noted->count) && !known.unanswered;
  if (!taken || known.lost || !known.askedAt) {
    return true;
  }
  const base::Duration patience =
      std::max(wish.startupDuration + m_settings.startMargin, known.repeat);
  return now - *known.askedAt > patience;
}

/// A call without an answer may have been carried out after a newer one.
std::optional<ScaleCall> Autoscaler::assertedCall(const CapacityState& state,
                                                  const Present& present) {
  for (auto& [subject, known] : m_subjects) {
    if (!known.uncertain || present.now < known.uncertainUntil) {
      continue;
    }
    const std::uint32_t lowest = *std::exchange(known.uncertain, std::nullopt);
    const auto noted = state.desired(subject);
    const bool superseded = noted && lowest < noted->count;
    if (superseded && noted->count >= known.seen.there) {
      return ScaleCall{subject, noted->count, present.fence};
    }
  }
  return std::nullopt;
}

std::optional<ScaleCall> Autoscaler::nextCall(const CapacityState& state, const Present& present) {
  const bool calling = m_calling && present.now - m_calling->since < m_settings.callLimit;
  if (calling || present.now < m_callAt || present.fence == m_refusedFence) {
    return std::nullopt;
  }
  std::optional<ScaleCall> next;
  std::tuple<bool, base::TimePoint> nextRank;
  for (const auto& [subject, wish] : m_wishes) {
    if (!isDue(subject, wish, state, present.now)) {
      continue;
    }
    // More before less, and of these what waits longest.
    const std::tuple<bool, base::TimePoint> rank{
        wish.target.givesBack, m_subjects[subject].askedAt.value_or(base::TimePoint{})};
    if (!next || rank < nextRank) {
      next = ScaleCall{subject, wish.target.count, present.fence};
      nextRank = rank;
    }
  }
  return next ? next : assertedCall(state, present);
}

void Autoscaler::onSent(const ScaleCall& call, base::TimePoint now) {
  m_calling = CallUnderWay{call.fence, now};
  Subject& known = m_subjects[call.subject];
  known.askedAt = now;
  known.unanswered = true;
  known.lost = false;
  known.repeat = std::clamp(known.repeat * 2, m_settings.firstRepeat, m_settings.maxRepeat);
}

AutoscalerActions Autoscaler::step(const CapacityState& state, const Present& present) {
  AutoscalerActions work;
  if (!enabled()) {
    return work;
  }
  m_wishes.clear();
  m_summaries.clear();
  for (const ScaledService& service : present.services) {
    plan(service, state, present, work);
  }
  for (const ConfirmCapacity& confirm : std::exchange(m_confirm, {})) {
    work.commands.emplace_back(confirm);
  }
  work.call = nextCall(state, present);
  if (work.call) {
    onSent(*work.call, present.now);
  }
  return work;
}

void Autoscaler::noteUnavailable(Subject& subject, base::TimePoint now) const {
  subject.pause = std::clamp(subject.pause * 2, m_settings.firstPause, m_settings.maxPause);
  subject.availableFrom = now + subject.pause;
  subject.askedAt.reset();
  subject.unanswered = false;
  ++subject.refusals;
}

void Autoscaler::pauseCalls(base::TimePoint now) {
  m_retry = std::clamp(m_retry * 2, m_settings.firstRetry, m_settings.maxRetry);
  // Half of the pause is drawn, so that calls do not meet others in step.
  const auto half = m_retry.count() / 2;
  m_callAt = now + base::Duration(half + static_cast<base::Duration::rep>(
                                             m_random.below(static_cast<std::uint64_t>(half) + 1)));
}

void Autoscaler::onOutcome(const ScaleCall& call, ScaleOutcome outcome, base::TimePoint now) {
  if (!m_calling || call.fence != m_calling->fence) {
    return;  // of a former term: what it asked for is asked for anew
  }
  m_calling.reset();
  m_callAt = now + m_settings.minCallInterval;
  Subject& known = m_subjects[call.subject];
  switch (outcome) {
    case ScaleOutcome::kAccepted:
      m_retry = {};
      known.taken = call.count;
      known.unanswered = false;
      known.pause = {};
      known.refusals = 0;
      m_confirm.push_back({call.subject, call.count});
      return;
    case ScaleOutcome::kRefused:
      m_refusedFence = call.fence;
      return;
    case ScaleOutcome::kNoneAvailable:
      m_retry = {};
      noteUnavailable(known, now);
      return;
    case ScaleOutcome::kUnknown:
      known.uncertain = std::min(call.count, known.uncertain.value_or(call.count));
      known.uncertainUntil = now + m_settings.latestEffect;
      pauseCalls(now);
      return;
    case ScaleOutcome::kBusy:
      pauseCalls(now);
      return;
  }
}

}  // namespace tackpick::duties
