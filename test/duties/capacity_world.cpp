#include "duties/capacity_world.h"

#include <algorithm>

namespace tackpick::test {

using duties::InstanceKind;

void FakePlatform::set(const duties::ScaleCall& call, base::TimePoint now) {
  RunningKind& kind = zones[{call.subject.zone, call.subject.kind}];
  const auto present = [&] {
    return kind.there + static_cast<std::uint32_t>(kind.starting.size());
  };
  while (present() < call.count) {
    kind.starting.push_back(now + m_startTime);
  }
  while (present() > call.count && !kind.starting.empty()) {
    kind.starting.pop_back();
  }
  while (kind.there > call.count) {
    --kind.there;
    ++kind.draining;
    ++emptied;
  }
}

void FakePlatform::advance(base::TimePoint now) {
  for (auto& [place, kind] : zones) {
    const auto served = std::erase_if(kind.starting, [&](base::TimePoint at) { return at <= now; });
    kind.there += static_cast<std::uint32_t>(served);
  }
}

void FakePlatform::withdraw(const std::string& zone, InstanceKind kind, std::uint32_t count) {
  RunningKind& running = zones[{zone, kind}];
  const std::uint32_t taken = std::min(count, running.there);
  running.there -= taken;
  running.draining += taken;
}

void FakePlatform::removeDraining() {
  for (auto& [place, kind] : zones) {
    kind.draining = 0;
  }
}

std::map<std::string, duties::RegisteredInstances> FakePlatform::registered() const {
  std::map<std::string, duties::RegisteredInstances> told;
  for (const auto& [place, kind] : zones) {
    duties::RegisteredInstances& zone = told[place.first];
    const bool onDemand = place.second == InstanceKind::kOnDemand;
    (onDemand ? zone.onDemand : zone.preemptible) = kind.there;
    (onDemand ? zone.onDemandDraining : zone.preemptibleDraining) = kind.draining;
  }
  return told;
}

std::uint32_t FakePlatform::total() const {
  std::uint32_t total = 0;
  for (const auto& [place, kind] : zones) {
    total += kind.there;
  }
  return total;
}

CapacityWorld::CapacityWorld(duties::CapacityMode mode) {
  scaling = {1, 30, base::seconds(4), 0.2, {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}}};
  for (const char* zone : {"a", "b", "c"}) {
    platform.zones[{zone, InstanceKind::kOnDemand}].there = 15;
  }
  settings.plan.mode = mode;
  demand.emplace();
  elect();
}

void CapacityWorld::elect(base::Duration wait) {
  duty = std::make_unique<duties::Autoscaler>(settings, random);
  duty->reset(state, now + wait, now);
  ++fence;
}

void CapacityWorld::step() {
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
  const duties::AutoscalerActions work = duty->step(state, {{service}, settled, fence, now});
  for (const auto& command : work.commands) {
    std::visit([this](const auto& typed) { state.apply(typed); }, command);
  }
  if (!work.call) {
    return;
  }
  sent.push_back(*work.call);
  std::optional<duties::ScaleOutcome> outcome = duties::ScaleOutcome::kAccepted;
  if (answer) {
    outcome = answer(*work.call);
  }
  if (outcome == duties::ScaleOutcome::kAccepted) {
    platform.set(*work.call, now);
  }
  if (outcome) {
    duty->onOutcome(*work.call, *outcome, now);
  }
}

void CapacityWorld::run(base::Duration time) {
  constexpr base::Duration kStep = base::milliseconds(50);
  for (const base::TimePoint end = now + time; now < end; now += kStep) {
    step();
  }
}

void CapacityWorld::offer(std::uint32_t items, base::Duration age) {
  demand.emplace();
  demand->works["m"] = {{"j", 1, items, items, age, base::seconds(1)}};
}

std::vector<std::uint32_t> CapacityWorld::sentCounts(const std::string& zone,
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
