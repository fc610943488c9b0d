/// \file
/// The network between simulated machines.
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

/// How badly the network behaves. Applied to every link.
struct NetworkFaults {
  double loss = 0.0;
  double duplication = 0.0;
  base::Duration maxExtraDelay{0};  ///< uniform from zero; above the latency it reorders
  double stragglers = 0.0;          ///< share of messages that come very late
};

/// Delivers with the latency of the two zones, and with the current faults.
class SimulatedNetwork {
 public:
  SimulatedNetwork(EventLoop& loop, base::Random& random) : loop_(loop), random_(random) {}

  void addMachine(MachineId machine, std::string zone) { zones_[machine] = std::move(zone); }
  void setFaults(NetworkFaults faults) { faults_ = faults; }
  /// One direction only.
  void cut(MachineId from, MachineId to) { cuts_.insert({from, to}); }
  void heal(MachineId from, MachineId to) { cuts_.erase({from, to}); }
  void healAll();
  [[nodiscard]] bool isCut(MachineId from, MachineId to) const {
    return cuts_.contains({from, to});
  }

  /// Sends a message that may be lost, doubled and reordered.
  void send(MachineId from, MachineId to, const EventLoop::Action& deliver);
  /// Sends over an ordered connection, such as an engine's stream. Within a cut it is lost.
  void sendOrdered(MachineId from, MachineId to, EventLoop::Action deliver);

 private:
  [[nodiscard]] base::Duration latency(MachineId from, MachineId to);
  [[nodiscard]] base::Duration stragglerDelay();

  EventLoop& loop_;
  base::Random& random_;
  NetworkFaults faults_;
  std::map<MachineId, std::string> zones_;
  std::set<std::pair<MachineId, MachineId>> cuts_;
  std::map<std::pair<MachineId, MachineId>, base::TimePoint> ordered_until_;
};

}  // namespace tackpick::simulation
