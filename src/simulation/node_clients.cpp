/// \file
/// NodeHost: what callers, trainers and operators ask of a process.
#include <utility>

#include "simulation/node_host.h"

namespace tackpick::simulation {

using control::SettingKey;

void NodeHost::toClient(EventLoop::Action action) {
  environment_.network.sendOrdered(machine_, kClientMachine, std::move(action));
}

void NodeHost::reply(base::CallerId caller, CallerReply answer) {
  const auto found = callers_.find(caller);
  if (found == callers_.end()) {
    environment_.observations.broken(Promise::kWholeAnswer, "a second answer to one request");
    return;
  }
  const CallerHandler handler = std::move(found->second);
  callers_.erase(found);
  streamed_.erase(caller);
  arrived_at_.erase(caller);
  toClient([handler, answer = std::move(answer)] { handler(answer); });
}

void NodeHost::request(gateway::CallerRequest request, CallerHandler handler) {
  environment_.network.sendOrdered(
      kClientMachine, machine_,
      [this, request = std::move(request), handler = std::move(handler)]() mutable {
        if (!running_) {
          CallerReply lost;
          lost.connectionLost = true;
          toClient([handler, lost] { handler(lost); });
          return;
        }
        request.id = {++next_caller_};
        callers_[request.id] = std::move(handler);
        if (request.stream) {
          arrived_at_[request.id] = environment_.loop.now();
        }
        post(epoch_, [this, request] { gateway_->onCallerRequest(request, localNow()); });
      });
}

void NodeHost::callLedger(const base::BatchId& batch, transport::CommandKind kind,
                          base::Bytes payload, ResultHandler handler) {
  environment_.network.sendOrdered(
      kClientMachine, machine_,
      [this, batch, kind, payload = std::move(payload), handler = std::move(handler)] {
        post(epoch_, [this, batch, kind, payload, handler] {
          gateway_->callLedger(batch, kind, payload, localNow(),
                               [this, handler](const base::Bytes* result, base::TimePoint) {
                                 const bool known = result != nullptr;
                                 toClient([handler, known, copy = known ? *result : base::Bytes{}] {
                                   handler(known ? &copy : nullptr);
                                 });
                               });
        });
      });
}

void NodeHost::callControllers(base::Bytes payload, ResultHandler handler) {
  environment_.network.sendOrdered(
      kClientMachine, machine_, [this, payload = std::move(payload), handler = std::move(handler)] {
        post(epoch_, [this, payload, handler] {
          gateway_->callControllers(
              transport::CommandKind::kCommand, payload, localNow(),
              [this, handler](const base::Bytes* result, base::TimePoint) {
                const bool known = result != nullptr;
                toClient([handler, known, copy = known ? *result : base::Bytes{}] {
                  handler(known ? &copy : nullptr);
                });
              });
        });
      });
}

void NodeHost::submitChange(const control::ControlCommand& command, ChangeHandler handler) {
  environment_.network.sendOrdered(
      kClientMachine, machine_, [this, command, handler = std::move(handler)] {
        post(epoch_, [this, command, handler] {
          const auto completion = [this, handler](const control::ChangeOutcome* outcome) {
            const bool known = outcome != nullptr;
            const auto copy = known ? *outcome : control::ChangeOutcome{};
            toClient([handler, known, copy] { handler(known ? &copy : nullptr); });
          };
          if (!controller_->submit(command, localNow(), completion)) {
            completion(nullptr);
          }
        });
      });
}

void NodeHost::readCounter(ReadHandler handler) {
  environment_.network.sendOrdered(kClientMachine, machine_, [this, handler = std::move(handler)] {
    post(epoch_, [this, handler] {
      std::optional<CounterReading> reading;
      if (controller_->canRead(localNow())) {
        const control::SettingsTree& tree = controller_->state().settings();
        const control::SettingsNode* root = tree.find("");
        reading = CounterReading{root == nullptr ? base::Revision{} : root->revision,
                                 tree.integer("", SettingKey::kTokenLimit)};
      }
      toClient([handler, reading] { handler(reading); });
    });
  });
}

void NodeHost::noteFirstToken(base::CallerId caller) {
  const auto arrived = arrived_at_.find(caller);
  if (arrived != arrived_at_.end()) {
    environment_.observations.figures().firstTokenSeconds.push_back(
        base::toSeconds(environment_.loop.now() - arrived->second));
    arrived_at_.erase(arrived);
  }
}

void NodeHost::noteTokens() {
  if (gateway_) {
    RunFigures& figures = environment_.observations.figures();
    figures.tokensReceived += gateway_->counters().tokensReceived;
    figures.tokensDiscarded += gateway_->counters().tokensDiscarded;
  }
}

std::int64_t NodeHost::counterInView() const {
  return gateway_->view().settings().integer("", SettingKey::kTokenLimit);
}

}  // namespace tackpick::simulation
