/// \file
/// SimulatedNode: requests of callers, trainers and operators.
#include <utility>

#include "simulation/simulated_node.h"

namespace tackpick::simulation {

using control::SettingKey;

void SimulatedNode::sendToClient(EventLoop::Callback action) {
  environment_.network.sendOrdered(machine_, kClientMachine, std::move(action));
}

void SimulatedNode::reply(base::CallerId caller, RequestOutcome outcome) {
  const auto found = m_callerHandlers.find(caller);
  if (found == m_callerHandlers.end()) {
    environment_.checker.reportViolation(Invariant::kCompleteResponse,
                                         "a request was answered twice");
    return;
  }
  const CallerHandler handler = std::move(found->second);
  m_callerHandlers.erase(found);
  m_streamedResponses.erase(caller);
  arrived_at_.erase(caller);
  sendToClient([handler, outcome = std::move(outcome)] { handler(outcome); });
}

void SimulatedNode::request(gateway::CallerRequest request, CallerHandler handler) {
  environment_.network.sendOrdered(
      kClientMachine, machine_,
      [this, request = std::move(request), handler = std::move(handler)]() mutable {
        if (!running_) {
          RequestOutcome lost;
          lost.connectionLost = true;
          sendToClient([handler, lost] { handler(lost); });
          return;
        }
        request.id = {++next_caller_};
        m_callerHandlers[request.id] = std::move(handler);
        if (request.stream) {
          arrived_at_[request.id] = environment_.loop.now();
        }
        post(epoch_, [this, request] { gateway_->onCallerRequest(request, localNow()); });
      });
}

void SimulatedNode::callLedger(const base::BatchId& batch, transport::CommandKind kind,
                               base::Bytes payload, ResultHandler handler) {
  environment_.network.sendOrdered(
      kClientMachine, machine_,
      [this, batch, kind, payload = std::move(payload), handler = std::move(handler)] {
        post(epoch_, [this, batch, kind, payload, handler] {
          gateway_->callLedger(
              batch, kind, payload, localNow(),
              [this, handler](const base::Bytes* result, base::TimePoint) {
                const bool hasResult = result != nullptr;
                sendToClient([handler, hasResult, copy = hasResult ? *result : base::Bytes{}] {
                  handler(hasResult ? &copy : nullptr);
                });
              });
        });
      });
}

void SimulatedNode::callControllers(base::Bytes payload, ResultHandler handler) {
  environment_.network.sendOrdered(
      kClientMachine, machine_, [this, payload = std::move(payload), handler = std::move(handler)] {
        post(epoch_, [this, payload, handler] {
          gateway_->callControllers(
              transport::CommandKind::kCommand, payload, localNow(),
              [this, handler](const base::Bytes* result, base::TimePoint) {
                const bool hasResult = result != nullptr;
                sendToClient([handler, hasResult, copy = hasResult ? *result : base::Bytes{}] {
                  handler(hasResult ? &copy : nullptr);
                });
              });
        });
      });
}

void SimulatedNode::submitChange(const control::ControlCommand& command, ChangeHandler handler) {
  environment_.network.sendOrdered(
      kClientMachine, machine_, [this, command, handler = std::move(handler)] {
        post(epoch_, [this, command, handler] {
          const auto completion = [this, handler](const control::ChangeOutcome* outcome) {
            const bool hasResult = outcome != nullptr;
            const auto copy = hasResult ? *outcome : control::ChangeOutcome{};
            sendToClient([handler, hasResult, copy] { handler(hasResult ? &copy : nullptr); });
          };
          if (!controller_->submit(command, localNow(), completion)) {
            completion(nullptr);
          }
        });
      });
}

void SimulatedNode::readCounter(ReadHandler handler) {
  environment_.network.sendOrdered(kClientMachine, machine_, [this, handler = std::move(handler)] {
    post(epoch_, [this, handler] {
      std::optional<CounterReading> reading;
      if (controller_->canRead(localNow())) {
        const control::SettingsTree& tree = controller_->state().settings();
        const control::SettingsNode* root = tree.find("");
        reading = CounterReading{root == nullptr ? base::Revision{} : root->revision,
                                 tree.integer("", SettingKey::kTokenLimit)};
      }
      sendToClient([handler, reading] { handler(reading); });
    });
  });
}

void SimulatedNode::recordFirstToken(base::CallerId caller) {
  const auto arrived = arrived_at_.find(caller);
  if (arrived != arrived_at_.end()) {
    environment_.checker.statistics().firstTokenSeconds.push_back(
        base::toSeconds(environment_.loop.now() - arrived->second));
    arrived_at_.erase(arrived);
  }
}

void SimulatedNode::recordTokenCounts() {
  if (gateway_) {
    RunStatistics& statistics = environment_.checker.statistics();
    statistics.tokensReceived += gateway_->counters().tokensReceived;
    statistics.tokensDiscarded += gateway_->counters().tokensDiscarded;
  }
}

std::int64_t SimulatedNode::viewedCounter() const {
  return gateway_->view().settings().integer("", SettingKey::kTokenLimit);
}

}  // namespace tackpick::simulation
