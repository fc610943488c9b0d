#include "simulation/engine_host.h"

#include <utility>

#include "simulation/node_host.h"
#include "simulation/platform.h"

namespace tackpick::simulation {
namespace {

constexpr std::uint64_t kFirstEngineMachine = 100;

}  // namespace

EngineHost::EngineHost(Environment& environment, base::EngineId id, std::string zone,
                       engine::WeightStore& store)
    : environment_(environment),
      id_(id),
      machine_{kFirstEngineMachine + id.value},
      zone_(std::move(zone)),
      store_(store) {
  environment_.network.addMachine(machine_, zone_);
}

void EngineHost::start() {
  ++incarnation_.value;
  model_.emplace(id_, incarnation_, environment_.options.engine, store_, environment_.random,
                 environment_.loop.now());
  model_->enableExecutionRecords();
  cache_sequences_.clear();
  publishEntry();
}

void EngineHost::publishEntry() {
  control::EngineRecord record;
  record.engine = id_;
  record.incarnation = incarnation_;
  record.host = "simulated";
  record.zone = zone_;
  record.model = environment_.options.engine.model;
  environment_.platform->update(record);
}

void EngineHost::reportRuns() {
  if (model_) {
    environment_.observations.onEngineRuns(*model_);
  }
}

void EngineHost::crash() {
  if (!model_) {
    return;
  }
  advance();
  reportRuns();
  model_.reset();
  for (const auto& [attempt, gateway] : std::exchange(streams_, {})) {
    engine::AttemptEnd end;
    end.attempt = attempt;
    end.message = "the engine crashed";
    sendEnd(gateway, end);
  }
}

void EngineHost::startDraining() {
  if (model_) {
    model_->startDraining();
    environment_.observations.onEngineDraining(id_, incarnation_);
  }
}

void EngineHost::failNextSwap() {
  if (model_) {
    model_->failNextSwap();
  }
}

void EngineHost::sendEnd(ProcessRun gateway, const engine::AttemptEnd& end) {
  environment_.network.sendOrdered(machine_, gateway.node->machine(), [gateway, end] {
    gateway.node->post(gateway.epoch, [gateway, end] { gateway.node->onAttemptEnd(end); });
  });
}

void EngineHost::generate(ProcessRun gateway, const engine::GenerateRequest& request) {
  engine::AttemptEnd end;
  end.attempt = request.attempt;
  end.verdict = base::Verdict::kNotRun;
  if (!model_) {
    end.message = "connection refused";
    sendEnd(gateway, end);
    return;
  }
  advance();
  environment_.observations.onWorkGiven(id_, incarnation_);
  if (const auto problem = model_->submit(request, environment_.loop.now())) {
    end.kind = engine::EndKind::kRejected;
    end.message = *problem;
    sendEnd(gateway, end);
    return;
  }
  streams_[request.attempt] = gateway;
  schedule();
}

void EngineHost::cancel(base::AttemptId attempt) {
  if (model_) {
    advance();
    model_->cancel(attempt);
    streams_.erase(attempt);
    schedule();
  }
}

void EngineHost::read(ProcessRun gateway) {
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

void EngineHost::order(ProcessRun controller, const engine::EngineCommand& order) {
  if (!model_) {
    return;
  }
  advance();
  const engine::EngineCommandReply reply = model_->execute(order, environment_.loop.now());
  observeVersion();
  schedule();
  environment_.network.sendOrdered(machine_, controller.node->machine(), [controller, reply] {
    controller.node->post(controller.epoch,
                          [controller, reply] { controller.node->onCommandReply(reply); });
  });
}

void EngineHost::advance() {
  engine::EngineOutput output;
  model_->advance(environment_.loop.now(), output);
  observeVersion();
  for (const engine::Chunk& chunk : output.chunks) {
    const auto found = streams_.find(chunk.attempt);
    if (found == streams_.end()) {
      continue;
    }
    const ProcessRun gateway = found->second;
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
      sendEnd(found->second, end);
      streams_.erase(found);
    }
  }
}

void EngineHost::observeVersion() {
  const base::WeightsVersion active = model_->status().activeVersion;
  if (active.valid()) {
    environment_.observations.onVersionActive(id_, incarnation_, active);
  }
}

void EngineHost::schedule() {
  const auto next = model_->nextStepAt();
  if (!next) {
    return;
  }
  const std::uint64_t wakeup = ++wakeup_;
  environment_.loop.at(*next, [this, wakeup, incarnation = incarnation_] {
    if (model_ && incarnation == incarnation_ && wakeup == wakeup_) {
      advance();
      schedule();
    }
  });
}

}  // namespace tackpick::simulation
