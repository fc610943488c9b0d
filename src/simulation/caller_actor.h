/// \file
/// Simulated callers with an open-loop load.
#pragma once

#include <cstdint>

#include "simulation/environment.h"
#include "simulation/simulated_node.h"

namespace tackpick::simulation {

/// Sends requests at random times or from a trace, some of them again under the same key, and
/// reports every outcome to the invariant checker.
class CallerActor {
 public:
  explicit CallerActor(Environment& environment) : environment_(environment) {}

  void start();
  void stop() { stopped_ = true; }
  [[nodiscard]] bool isDone() const { return stopped_ && outstanding_ == 0; }
  [[nodiscard]] std::uint64_t outstanding() const { return outstanding_; }

 private:
  struct PlannedRequest {
    SentRequest sent;
    gateway::CallerRequest request;
    std::uint32_t resendsLeft = 0;
  };

  void scheduleNext();
  [[nodiscard]] PlannedRequest makeRandomRequest();
  [[nodiscard]] PlannedRequest makeRequest(std::uint32_t tokens, bool notRepeatable);
  void send(const PlannedRequest& planned);
  void onOutcome(const PlannedRequest& planned, const RequestOutcome& outcome);

  Environment& environment_;
  bool stopped_ = false;
  std::uint64_t m_lastRequestNumber = 0;
  std::uint64_t outstanding_ = 0;
};

}  // namespace tackpick::simulation
