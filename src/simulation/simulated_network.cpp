#include "simulation/simulated_network.h"

#include <algorithm>

namespace tackpick::simulation {
namespace {

constexpr base::Duration kWithinZone = base::microseconds(100);
constexpr base::Duration kBetweenZones = base::microseconds(600);
constexpr base::Duration kJitter = base::microseconds(100);

}  // namespace

void SimulatedNetwork::healAll() {
  cuts_.clear();
  faults_ = {};
}

base::Duration SimulatedNetwork::latency(MachineId from, MachineId to) {
  const base::Duration usual = zones_[from] == zones_[to] ? kWithinZone : kBetweenZones;
  const auto spread = static_cast<std::uint64_t>((kJitter + faults_.maxExtraDelay).count());
  return usual + base::Duration(static_cast<base::Duration::rep>(random_.below(spread)));
}

base::Duration SimulatedNetwork::stragglerDelay() {
  constexpr std::uint64_t kMaxMicroseconds = 2'000'000;
  if (!random_.chance(faults_.stragglers)) {
    return base::Duration{0};
  }
  return base::Duration(static_cast<base::Duration::rep>(random_.below(kMaxMicroseconds)));
}

void SimulatedNetwork::send(MachineId from, MachineId to, const EventLoop::Action& deliver) {
  if (isCut(from, to) || random_.chance(faults_.loss)) {
    return;
  }
  loop_.after(latency(from, to) + stragglerDelay(), deliver);
  if (random_.chance(faults_.duplication)) {
    loop_.after(latency(from, to) + stragglerDelay(), deliver);
  }
}

void SimulatedNetwork::sendOrdered(MachineId from, MachineId to, EventLoop::Action deliver) {
  if (isCut(from, to)) {
    return;
  }
  base::TimePoint& until = ordered_until_[{from, to}];
  until = std::max(until, loop_.now() + latency(from, to));
  loop_.at(until, std::move(deliver));
}

}  // namespace tackpick::simulation
