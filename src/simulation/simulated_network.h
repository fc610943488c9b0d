/// \file
/// Simulated network.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "base/identifiers.h"
#include "base/random.h"
#include "simulation/event_loop.h"

namespace tackpick::simulation {

/// A machine in the simulated network.
using MachineId = base::NumericId<struct MachineTag>;

/// Message faults, applied to every link.
struct NetworkFaults {
  double loss = 0.0;         ///< probability that a message is lost
  double duplication = 0.0;  ///< probability that a message is delivered twice
  /// Maximum of the uniformly distributed additional delay, which reorders messages.
  base::Duration maxExtraDelay{0};
  double stragglers = 0.0;  ///< fraction of messages that are delayed by up to 2 s
};

/// Delivers messages with the latency between their zones and with the current faults.
class SimulatedNetwork {
 public:
  SimulatedNetwork(EventLoop& loop, base::Random& random) : loop_(loop), random_(random) {}

  void addMachine(MachineId machine, std::string zone) { zones_[machine] = std::move(zone); }
  void setFaults(NetworkFaults faults) { faults_ = faults; }
  /// Drops all messages from one machine to another; the other direction is not affected.
  void partition(MachineId from, MachineId to) { m_partitions.insert({from, to}); }
  void heal(MachineId from, MachineId to) { m_partitions.erase({from, to}); }
  void healAll();
  [[nodiscard]] bool isPartitioned(MachineId from, MachineId to) const {
    return m_partitions.contains({from, to});
  }

  /// Sends a message that may be lost, duplicated and reordered.
  void send(MachineId from, MachineId to, const EventLoop::Callback& deliver);
  /// Sends over an ordered connection, such as an engine's stream. Lost only while the machines are
  /// partitioned.
  void sendOrdered(MachineId from, MachineId to, EventLoop::Callback deliver);

 private:
  [[nodiscard]] base::Duration latency(MachineId from, MachineId to);
  [[nodiscard]] base::Duration stragglerDelay();

  EventLoop& loop_;
  base::Random& random_;
  NetworkFaults faults_;
  std::map<MachineId, std::string> zones_;
  std::set<std::pair<MachineId, MachineId>> m_partitions;
  std::map<std::pair<MachineId, MachineId>, base::TimePoint> m_lastOrderedDelivery;
};

}  // namespace tackpick::simulation
