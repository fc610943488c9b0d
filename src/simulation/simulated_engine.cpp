#include "simulation/simulated_engine.h"

#include <utility>

#include "simulation/simulated_node.h"
#include "simulation/simulated_platform.h"

namespace tackpick::simulation {
namespace {

constexpr std::uint64_t kFirstEngineMachine = 100;

}  // namespace

SimulatedEngine::SimulatedEngine(Environment& environment, base::EngineId id, std::string zone,
                                 engine::WeightStore& store)
    : environment_(environment),
      id_(id),
      machine_{kFirstEngineMachine + id.value},
      zone_(std::move(zone)),
      store_(store) {
  environment_.network.addMachine(machine_, zone_);
}

void SimulatedEngine::start() {
  ++incarnation_.value;
  model_.emplace(id_, incarnation_, environment_.options.engine, store_, environment_.random,
                 environment_.loop.now());
  model_->enableExecutionRecords();
  cache_sequences_.clear();
  publishRecord();
}

void SimulatedEngine::publishRecord() {
  control::EngineRecord record;
  record.engine = id_;
  record.incarnation = incarnation_;
  record.host = "simulated";
  record.zone = zone_;
  record.model = environment_.options.engine.model;
  environment_.platform->update(record);
}

void SimulatedEngine::reportExecutions() {
  if (model_) {
    environment_.checker.onEngineExecutions(*model_);
  }
}

void SimulatedEngine::crash() {
  if (!model_) {
    return;
  }
  advance();
  reportExecutions();
  model_.reset();
  for (const auto& [attempt, gateway] : std::exchange(streams_, {})) {
    engine::AttemptEnd end;
    end.attempt = attempt;
    end.message = "the engine crashed";
    sendAttemptEnd(gateway, end);
  }
}

void SimulatedEngine::startDraining() {
  if (model_) {
    model_->startDraining();
    environment_.checker.onEngineDraining(id_, incarnation_);
  }
}

void SimulatedEngine::failNextSwap() {
  if (model_) {
    model_->failNextSwap();
  }
}

void SimulatedEngine::sendAttemptEnd(ProcessInstance gateway, const engine::AttemptEnd& end) {
  environment_.network.sendOrdered(machine_, gateway.node->machine(), [gateway, end] {
    gateway.node->post(gateway.epoch, [gateway, end] { gateway.node->onAttemptEnd(end); });
  });
}

void SimulatedEngine::generate(ProcessInstance gateway, const engine::GenerateRequest& request) {
  engine::AttemptEnd end;
  end.attempt = request.attempt;
  end.verdict = base::Verdict::kNotRun;
  if (!model_) {
    end.message = "connection refused";
    sendAttemptEnd(gateway, end);
    return;
  }
  advance();
  environment_.checker.onRequestDispatched(id_, incarnation_);
  if (const auto problem = model_->submit(request, environment_.loop.now())) {
    end.kind = engine::EndKind::kRejected;
    end.message = *problem;
    sendAttemptEnd(gateway, end);
    return;
  }
  streams_[request.attempt] = gateway;
  schedule();
}

void SimulatedEngine::cancel(base::AttemptId attempt) {
  if (model_) {
    advance();
    model_->cancel(attempt);
    streams_.erase(attempt);
    schedule();
  }
}

void SimulatedEngine::read(ProcessInstance gateway) {
  if (!model_) {
    return;
  }
  advance();
  const engine::EngineStatus status = model_->loadReport(environment_.loop.now());
  std::uint64_t& sequence = cache_sequences_[gateway.node];
  const auto events = model_->cacheEventsAfter(sequence, environment_.loop.now());
  sequence = events.empty() ? sequence : events.back().sequence;
  environment_.network.sendOrdered(machine_, gateway.node->machine(), [gateway, status, events] {
    gateway.node->post(gateway.epoch,
                       [gateway, status, events] { gateway.node->onReport(status, events); });
  });
}

void SimulatedEngine::handleCommand(ProcessInstance controller,
                                    const engine::EngineCommand& command) {
  if (!model_) {
    return;
  }
  advance();
  const engine::EngineCommandReply reply = model_->execute(command, environment_.loop.now());
  reportActiveVersion();
  schedule();
  environment_.network.sendOrdered(machine_, controller.node->machine(), [controller, reply] {
    controller.node->post(controller.epoch,
                          [controller, reply] { controller.node->onCommandReply(reply); });
  });
}

void SimulatedEngine::advance() {
  engine::EngineOutput output;
  model_->advance(environment_.loop.now(), output);
  reportActiveVersion();
  for (const engine::Chunk& chunk : output.chunks) {
    const auto found = streams_.find(chunk.attempt);
    if (found == streams_.end()) {
      continue;
    }
    const ProcessInstance gateway = found->second;
    const auto deliver = [gateway, chunk] {
      gateway.node->post(gateway.epoch, [gateway, chunk] { gateway.node->onChunk(chunk); });
    };
    if (environment_.options.unorderedStreams) {
      environment_.network.send(machine_, gateway.node->machine(), deliver);
    } else {
      environment_.network.sendOrdered(machine_, gateway.node->machine(), deliver);
    }
  }
  for (const engine::AttemptEnd& end : output.ends) {
    const auto found = streams_.find(end.attempt);
    if (found != streams_.end()) {
      sendAttemptEnd(found->second, end);
      streams_.erase(found);
    }
  }
}

void SimulatedEngine::reportActiveVersion() {
  const base::WeightsVersion active = model_->status().activeVersion;
  if (active.valid()) {
    environment_.checker.onVersionActive(id_, incarnation_, active);
  }
}

void SimulatedEngine::schedule() {
  const auto next = model_->nextStepAt();
  if (!next) {
    return;
  }
  const std::uint64_t generation = ++m_timerGeneration;
  environment_.loop.scheduleAt(*next, [this, generation, incarnation = incarnation_] {
    if (model_ && incarnation == incarnation_ && generation == m_timerGeneration) {
      advance();
      schedule();
    }
  });
}

}  // namespace tackpick::simulation
