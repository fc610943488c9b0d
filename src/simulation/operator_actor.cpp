#include "simulation/operator_actor.h"

#include <utility>

#include "simulation/simulated_engine.h"

namespace tackpick::simulation {
namespace {

constexpr base::Duration kChangeTimeout = base::seconds(2);
constexpr base::Duration kRetryDelay = base::milliseconds(50);
constexpr base::Duration kReadTimeout = base::milliseconds(500);

}  // namespace

SimulatedNode* OperatorActor::randomController() {
  const auto chosen = environment_.random.below(environment_.options.controllers);
  return environment_.node(1 + static_cast<std::uint32_t>(chosen));
}

void OperatorActor::scheduleNext() {
  const base::Duration interval = environment_.options.load.changeInterval;
  environment_.loop.scheduleAfter(environment_.randomDuration(interval / 2, interval * 3 / 2),
                                  [this] {
                                    if (!stopped_) {
                                      readCounter();
                                    }
                                  });
}

void OperatorActor::readCounter() {
  const std::uint64_t read = ++m_attemptSequence;
  const std::int64_t accepted = environment_.checker.acceptedCounter();
  randomController()->readCounter([this, read, accepted](std::optional<CounterReading> reading) {
    if (read != m_attemptSequence || !reading) {
      return;
    }
    ++m_attemptSequence;
    environment_.checker.onCounterRead(reading->counter, accepted);
    control::NodeChange change;
    change.expectedRevision = reading->revision;
    change.set[control::SettingKey::kTokenLimit] = reading->counter + 1;
    control::ApplyChange apply;
    apply.author = "operator-" + std::to_string(number_);
    apply.changes.push_back(std::move(change));
    PendingChange pending;
    pending.command = {apply.author + "-" + std::to_string(++m_lastRequestNumber),
                       std::move(apply)};
    pending.counter = reading->counter + 1;
    pending.submittedAt = environment_.loop.now();
    m_pendingChange = std::move(pending);
    submit();
  });
  environment_.loop.scheduleAfter(kReadTimeout, [this, read] {
    if (read == m_attemptSequence && !stopped_) {
      readCounter();
    }
  });
}

void OperatorActor::submit() {
  const std::uint64_t request = m_lastRequestNumber;
  const auto isCurrent = [this, request] {
    return m_pendingChange && request == m_lastRequestNumber;
  };
  randomController()->submitChange(
      m_pendingChange->command, [this, isCurrent](const control::ChangeOutcome* outcome) {
        if (!isCurrent()) {
          return;
        }
        if (outcome != nullptr) {
          onOutcome(*outcome);
        } else {
          // The controller is not the leader. Retries at a random controller.
          environment_.loop.scheduleAfter(kRetryDelay, [this, isCurrent] {
            if (isCurrent()) {
              submit();
            }
          });
        }
      });
  // Sometimes resends almost immediately, as if the response had been lost.
  const base::Duration timeout =
      environment_.random.chance(0.2) ? base::milliseconds(5) : kChangeTimeout;
  const std::uint64_t attempt = ++m_attemptSequence;
  environment_.loop.scheduleAfter(timeout, [this, isCurrent, attempt] {
    if (isCurrent() && attempt == m_attemptSequence) {
      submit();
    }
  });
}

void OperatorActor::onOutcome(const control::ChangeOutcome& outcome) {
  if (outcome.status == control::ChangeStatus::kAccepted) {
    environment_.checker.onChangeAccepted(m_pendingChange->command.requestId, outcome.revision,
                                          m_pendingChange->counter);
    environment_.checker.statistics().changeSeconds.push_back(
        base::toSeconds(environment_.loop.now() - m_pendingChange->submittedAt));
  }
  m_pendingChange.reset();
  scheduleNext();
}

void OperatorActor::drain(base::EngineId engine, bool drained) {
  if (!drained) {
    environment_.checker.onDrainEnding(engine, environment_.engine(engine)->incarnation());
  }
  submitDrain(engine, drained, ++m_drainSequences[engine]);
}

void OperatorActor::submitDrain(base::EngineId engine, bool drained, std::uint64_t number) {
  if (m_drainSequences[engine] != number) {
    return;
  }
  control::ControlCommand command;
  command.operation = control::DrainEngine{engine, drained};
  const base::Incarnation incarnation = environment_.engine(engine)->incarnation();
  const auto answered = std::make_shared<bool>(false);
  randomController()->submitChange(command, [this, engine, drained, incarnation, answered,
                                             number](const control::ChangeOutcome* outcome) {
    if (outcome == nullptr || m_drainSequences[engine] != number) {
      return;
    }
    *answered = true;
    if (drained && outcome->status == control::ChangeStatus::kAccepted) {
      environment_.checker.onEngineDraining(engine, incarnation);
    }
  });
  environment_.loop.scheduleAfter(kChangeTimeout, [this, engine, drained, answered, number] {
    if (!*answered) {
      submitDrain(engine, drained, number);
    }
  });
}

}  // namespace tackpick::simulation
