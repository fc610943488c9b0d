#include "simulation/simulated_network.h"

#include <algorithm>

namespace tackpick::simulation {
namespace {

constexpr base::Duration kIntraZoneLatency = base::microseconds(100);
constexpr base::Duration kInterZoneLatency = base::microseconds(600);
constexpr base::Duration kJitter = base::microseconds(100);

}  // namespace

void SimulatedNetwork::healAll() {
  m_partitions.clear();
  faults_ = {};
}

base::Duration SimulatedNetwork::latency(MachineId from, MachineId to) {
  const base::Duration baseLatency =
      zones_[from] == zones_[to] ? kIntraZoneLatency : kInterZoneLatency;
  const auto range = static_cast<std::uint64_t>((kJitter + faults_.maxExtraDelay).count());
  return baseLatency + base::Duration(static_cast<base::Duration::rep>(random_.below(range)));
}

base::Duration SimulatedNetwork::stragglerDelay() {
  constexpr std::uint64_t kMaxMicroseconds = 2'000'000;
  if (!random_.chance(faults_.stragglers)) {
    return base::Duration{0};
  }
  return base::Duration(static_cast<base::Duration::rep>(random_.below(kMaxMicroseconds)));
}

void SimulatedNetwork::send(MachineId from, MachineId to, const EventLoop::Callback& deliver) {
  if (isPartitioned(from, to) || random_.chance(faults_.loss)) {
    return;
  }
  loop_.scheduleAfter(latency(from, to) + stragglerDelay(), deliver);
  if (random_.chance(faults_.duplication)) {
    loop_.scheduleAfter(latency(from, to) + stragglerDelay(), deliver);
  }
}

void SimulatedNetwork::sendOrdered(MachineId from, MachineId to, EventLoop::Callback deliver) {
  if (isPartitioned(from, to)) {
    return;
  }
  base::TimePoint& lastDelivery = m_lastOrderedDelivery[{from, to}];
  lastDelivery = std::max(lastDelivery, loop_.now() + latency(from, to));
  loop_.scheduleAt(lastDelivery, std::move(deliver));
}

}  // namespace tackpick::simulation
