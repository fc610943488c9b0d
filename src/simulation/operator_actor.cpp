#include "simulation/operator_actor.h"

#include <utility>

#include "simulation/engine_host.h"

namespace tackpick::simulation {
namespace {

constexpr base::Duration kPatience = base::seconds(2);
constexpr base::Duration kRetryPause = base::milliseconds(50);
constexpr base::Duration kReadTimeout = base::milliseconds(500);

}  // namespace

NodeHost* OperatorActor::someController() {
  const auto chosen = environment_.random.below(environment_.options.controllers);
  return environment_.node(1 + static_cast<std::uint32_t>(chosen));
}

void OperatorActor::scheduleNext() {
  const base::Duration interval = environment_.options.load.changeInterval;
  environment_.loop.after(environment_.drawBetween(interval / 2, interval * 3 / 2), [this] {
    if (!stopped_) {
      readCounter();
    }
  });
}

void OperatorActor::readCounter() {
  const std::uint64_t read = ++tries_;
  const std::int64_t accepted = environment_.observations.acceptedCounter();
  someController()->readCounter([this, read, accepted](std::optional<CounterReading> reading) {
    if (read != tries_ || !reading) {
      return;
    }
    ++tries_;
    environment_.observations.onCounterRead(reading->counter, accepted);
    control::NodeChange change;
    change.expectedRevision = reading->revision;
    change.set[control::SettingKey::kTokenLimit] = reading->counter + 1;
    control::ApplyChange apply;
    apply.author = "operator-" + std::to_string(number_);
    apply.changes.push_back(std::move(change));
    Pending pending;
    pending.command = {apply.author + "-" + std::to_string(++requests_), std::move(apply)};
    pending.counter = reading->counter + 1;
    pending.submittedAt = environment_.loop.now();
    pending_ = std::move(pending);
    submit();
  });
  environment_.loop.after(kReadTimeout, [this, read] {
    if (read == tries_ && !stopped_) {
      readCounter();
    }
  });
}

void OperatorActor::submit() {
  const std::uint64_t request = requests_;
  const auto isCurrent = [this, request] { return pending_ && request == requests_; };
  someController()->submitChange(pending_->command,
                                 [this, isCurrent](const control::ChangeOutcome* outcome) {
                                   if (!isCurrent()) {
                                     return;
                                   }
                                   if (outcome != nullptr) {
                                     onOutcome(*outcome);
                                   } else {
                                     // Not the leader, or no longer: another one may know.
                                     environment_.loop.after(kRetryPause, [this, isCurrent] {
                                       if (isCurrent()) {
                                         submit();
                                       }
                                     });
                                   }
                                 });
  // Sometimes the operator resends at once, as if the first answer had been lost.
  const base::Duration patience =
      environment_.random.chance(0.2) ? base::milliseconds(5) : kPatience;
  const std::uint64_t attempt = ++tries_;
  environment_.loop.after(patience, [this, isCurrent, attempt] {
    if (isCurrent() && attempt == tries_) {
      submit();
    }
  });
}

void OperatorActor::onOutcome(const control::ChangeOutcome& outcome) {
  if (outcome.status == control::ChangeStatus::kAccepted) {
    environment_.observations.onChangeAccepted(pending_->command.requestId, outcome.revision,
                                               pending_->counter);
    environment_.observations.figures().changeSeconds.push_back(
        base::toSeconds(environment_.loop.now() - pending_->submittedAt));
  }
  pending_.reset();
  scheduleNext();
}

void OperatorActor::drain(base::EngineId engine, bool drained) {
  if (!drained) {
    environment_.observations.onEngineBack(engine, environment_.engine(engine)->incarnation());
  }
  repeatDrain(engine, drained, ++drains_[engine]);
}

void OperatorActor::repeatDrain(base::EngineId engine, bool drained, std::uint64_t number) {
  if (drains_[engine] != number) {
    return;
  }
  control::ControlCommand command;
  command.operation = control::DrainEngine{engine, drained};
  const base::Incarnation incarnation = environment_.engine(engine)->incarnation();
  const auto answered = std::make_shared<bool>(false);
  someController()->submitChange(command, [this, engine, drained, incarnation, answered,
                                           number](const control::ChangeOutcome* outcome) {
    if (outcome == nullptr || drains_[engine] != number) {
      return;
    }
    *answered = true;
    if (drained && outcome->status == control::ChangeStatus::kAccepted) {
      environment_.observations.onEngineDraining(engine, incarnation);
    }
  });
  environment_.loop.after(kPatience, [this, engine, drained, answered, number] {
    if (!*answered) {
      repeatDrain(engine, drained, number);
    }
  });
}

}  // namespace tackpick::simulation
