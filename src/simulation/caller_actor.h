/// \file
/// Paying front ends: open-loop requests, some of them not repeatable and sent again.
#pragma once

#include <cstdint>

#include "simulation/environment.h"
#include "simulation/node_host.h"

namespace tackpick::simulation {

/// Sends requests until it is stopped, and hands every outcome to the observations.
class CallerActor {
 public:
  explicit CallerActor(Environment& environment) : environment_(environment) {}

  void start();
  void stop() { stopped_ = true; }
  [[nodiscard]] bool isDone() const { return stopped_ && outstanding_ == 0; }
  [[nodiscard]] std::uint64_t outstanding() const { return outstanding_; }

 private:
  struct Plan {
    SentRequest sent;
    gateway::CallerRequest request;
    std::uint32_t resendsLeft = 0;
  };

  void scheduleNext();
  [[nodiscard]] Plan makePlan();
  [[nodiscard]] Plan planFor(std::uint32_t tokens, bool notRepeatable);
  void send(const Plan& plan);
  void onReply(const Plan& plan, const CallerReply& reply);

  Environment& environment_;
  bool stopped_ = false;
  std::uint64_t number_ = 0;
  std::uint64_t outstanding_ = 0;
};

}  // namespace tackpick::simulation
