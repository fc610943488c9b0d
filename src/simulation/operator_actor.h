/// \file
/// Simulated operator who changes the settings and drains engines.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "simulation/environment.h"
#include "simulation/simulated_node.h"

namespace tackpick::simulation {

/// Repeatedly reads the counter in the root settings node and submits a change that increments it,
/// expecting the revision that was read. Resends changes that were not answered.
class OperatorActor {
 public:
  OperatorActor(Environment& environment, std::uint32_t number)
      : environment_(environment), number_(number) {}

  void start() { scheduleNext(); }
  void stop() { stopped_ = true; }
  [[nodiscard]] bool isDone() const { return stopped_ && !m_pendingChange; }
  /// Drains an engine or ends its drain. Retries until a controller has answered.
  void drain(base::EngineId engine, bool drained);

 private:
  struct PendingChange {
    control::ControlCommand command;
    std::int64_t counter = 0;
    base::TimePoint submittedAt{};
  };

  void scheduleNext();
  void readCounter();
  void submit();
  void submitDrain(base::EngineId engine, bool drained, std::uint64_t number);
  void onOutcome(const control::ChangeOutcome& outcome);
  [[nodiscard]] SimulatedNode* randomController();

  Environment& environment_;
  const std::uint32_t number_;
  bool stopped_ = false;
  std::uint64_t m_lastRequestNumber = 0;
  /// Number of the latest read or submission; timers of earlier ones are ignored.
  std::uint64_t m_attemptSequence = 0;
  std::optional<PendingChange> m_pendingChange;
  /// Number of the latest drain command by engine; earlier commands are no longer retried.
  std::map<base::EngineId, std::uint64_t> m_drainSequences;
};

}  // namespace tackpick::simulation
