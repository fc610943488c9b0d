#include "duties/autoscaler_fixture.h"

#include <algorithm>

namespace tackpick::test {

using duties::InstanceKind;

void FakePlatform::set(const duties::ScaleCall& call, base::TimePoint now) {
  PoolInstances& kind = zones[{call.subject.zone, call.subject.kind}];
  const auto activeOrStarting = [&] {
    return kind.active + static_cast<std::uint32_t>(kind.starting.size());
  };
  while (activeOrStarting() < call.count) {
    kind.starting.push_back(now + m_startupDuration);
  }
  while (activeOrStarting() > call.count && !kind.starting.empty()) {
    kind.starting.pop_back();
  }
  while (kind.active > call.count) {
    --kind.active;
    ++kind.draining;
    ++scaledInCount;
  }
}

void FakePlatform::advance(base::TimePoint now) {
  for (auto& [pool, kind] : zones) {
    const auto started =
        std::erase_if(kind.starting, [&](base::TimePoint at) { return at <= now; });
    kind.active += static_cast<std::uint32_t>(started);
  }
}

void FakePlatform::preempt(const std::string& zone, InstanceKind kind, std::uint32_t count) {
  PoolInstances& running = zones[{zone, kind}];
  const std::uint32_t preempted = std::min(count, running.active);
  running.active -= preempted;
  running.draining += preempted;
}

void FakePlatform::removeDraining() {
  for (auto& [pool, kind] : zones) {
    kind.draining = 0;
  }
}

std::map<std::string, duties::RegisteredInstances> FakePlatform::registered() const {
  std::map<std::string, duties::RegisteredInstances> registeredZones;
  for (const auto& [pool, kind] : zones) {
    duties::RegisteredInstances& zone = registeredZones[pool.first];
    const bool onDemand = pool.second == InstanceKind::kOnDemand;
    (onDemand ? zone.onDemand : zone.preemptible) = kind.active;
    (onDemand ? zone.onDemandDraining : zone.preemptibleDraining) = kind.draining;
  }
  return registeredZones;
}

std::uint32_t FakePlatform::total() const {
  std::uint32_t total = 0;
  for (const auto& [pool, kind] : zones) {
    total += kind.active;
  }
  return total;
}

AutoscalerFixture::AutoscalerFixture(duties::CapacityMode mode) {
  scaling = {1, 30, base::seconds(4), 0.2, {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}}};
  for (const char* zone : {"a", "b", "c"}) {
    platform.zones[{zone, InstanceKind::kOnDemand}].active = 15;
  }
  settings.plan.mode = mode;
  demand.emplace();
  changeLeader();
}

void AutoscalerFixture::changeLeader(base::Duration wait) {
  autoscaler = std::make_unique<duties::Autoscaler>(settings, random);
  autoscaler->reset(state, now + wait, now);
  ++fence;
}

void AutoscalerFixture::step() {
  platform.advance(now);
  duties::ScaledService service;
  service.name = "e";
  service.scaling = scaling;
  service.slots = 8;
  service.zones = platform.registered();
  for (const auto& [zone, count] : unresponsive) {
    service.zones[zone].unresponsive = count;
  }
  service.demand = demand;
  if (service.demand) {
    service.demand->activeSlots = platform.total() * service.slots;
  }
  const duties::AutoscalerActions actions =
      autoscaler->step(state, {{service}, warmedUp, fence, now});
  for (const auto& command : actions.commands) {
    std::visit([this](const auto& typed) { state.apply(typed); }, command);
  }
  if (!actions.call) {
    return;
  }
  sent.push_back(*actions.call);
  std::optional<duties::ScaleOutcome> outcome = duties::ScaleOutcome::kAccepted;
  if (answer) {
    outcome = answer(*actions.call);
  }
  if (outcome == duties::ScaleOutcome::kAccepted) {
    platform.set(*actions.call, now);
  }
  if (outcome) {
    autoscaler->onOutcome(*actions.call, *outcome, now);
  }
}

void AutoscalerFixture::run(base::Duration time) {
  constexpr base::Duration kStep = base::milliseconds(50);
  for (const base::TimePoint end = now + time; now < end; now += kStep) {
    step();
  }
}

void AutoscalerFixture::setDemand(std::uint32_t items, base::Duration age) {
  demand.emplace();
  demand->openJobs["m"] = {{"j", 1, items, items, age, base::seconds(1)}};
}

std::vector<std::uint32_t> AutoscalerFixture::sentPoolCounts(const std::string& zone,
                                                             InstanceKind kind) const {
  std::vector<std::uint32_t> counts;
  for (const duties::ScaleCall& call : sent) {
    if (call.subject.zone == zone && call.subject.kind == kind) {
      counts.push_back(call.count);
    }
  }
  return counts;
}

}  // namespace tackpick::test
