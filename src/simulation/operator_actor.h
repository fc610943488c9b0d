/// \file
/// An operator who races others on one settings node and resends what went unanswered.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "simulation/environment.h"
#include "simulation/node_host.h"

namespace tackpick::simulation {

/// Reads the counter at the root and asks to raise it by one, based on the revision it read.
class OperatorActor {
 public:
  OperatorActor(Environment& environment, std::uint32_t number)
      : environment_(environment), number_(number) {}

  void start() { scheduleNext(); }
  void stop() { stopped_ = true; }
  [[nodiscard]] bool isDone() const { return stopped_ && !pending_; }
  /// Drains an engine or ends its drain, repeated until that is accepted.
  void drain(base::EngineId engine, bool drained);

 private:
  struct Pending {
    control::ControlCommand command;
    std::int64_t counter = 0;
    base::TimePoint submittedAt{};
  };

  void scheduleNext();
  void readCounter();
  void submit();
  void repeatDrain(base::EngineId engine, bool drained, std::uint64_t number);
  void onOutcome(const control::ChangeOutcome& outcome);
  [[nodiscard]] NodeHost* someController();

  Environment& environment_;
  const std::uint32_t number_;
  bool stopped_ = false;
  std::uint64_t requests_ = 0;
  std::uint64_t tries_ = 0;
  std::optional<Pending> pending_;
  /// Number of the latest drain or its end, per engine; earlier ones are given up.
  std::map<base::EngineId, std::uint64_t> drains_;
};

}  // namespace tackpick::simulation
