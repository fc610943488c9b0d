#include "simulation/simulated_node.h"

#include <algorithm>
#include <utility>

#include "roles/role_set.h"
#include "simulation/simulated_engine.h"
#include "simulation/simulated_platform.h"

namespace tackpick::simulation {
namespace {

constexpr base::GroupId kControlGroup{1};
constexpr base::GroupId kLedgerGroup{2};
constexpr base::Duration kTickInterval = base::milliseconds(10);
constexpr base::Duration kMachineListInterval = base::milliseconds(200);
constexpr base::Duration kMaxShutdownTime = base::seconds(60);
constexpr base::Duration kMaxLeadershipTransferTime = base::seconds(3);
const std::string kClusterName = "simulated";

std::vector<base::NodeId> consecutiveNodeIds(std::uint32_t first, std::uint32_t count) {
  std::vector<base::NodeId> nodes;
  for (std::uint32_t i = 0; i < count; ++i) {
    nodes.push_back(base::makeNodeId(first + i, 0));
  }
  return nodes;
}

}  // namespace

SimulatedNode::SimulatedNode(Environment& environment, NodeRole role, std::uint32_t number,
                             std::string zone)
    : environment_(environment),
      role_(role),
      number_(number),
      machine_{number},
      zone_(std::move(zone)),
      id_(base::makeNodeId(number, 0)) {
  environment_.network.addMachine(machine_, zone_);
  const double drift = environment_.options.clockDrift;
  clock_rate_ = 1.0 - drift + 2.0 * drift * environment_.random.uniform();
}

base::TimePoint SimulatedNode::localNow() const {
  // Each machine's clock has its own offset and rate.
  constexpr base::Duration kOffsetPerMachine = base::seconds(1000);
  const base::Duration run = environment_.loop.now().time_since_epoch() - m_clockLag;
  const auto elapsed = static_cast<double>(run.count());
  return base::TimePoint{kOffsetPerMachine * number_} +
         base::Duration(static_cast<base::Duration::rep>(elapsed * clock_rate_));
}

base::GroupId SimulatedNode::group() const {
  return role_ == NodeRole::kController ? kControlGroup : kLedgerGroup;
}

consensus::Replica* SimulatedNode::replica() {
  if (controller_) {
    return &controller_->replica();
  }
  return ledger_ ? &ledger_->replica() : nullptr;
}

void SimulatedNode::bootstrap() { startProcess(true); }

void SimulatedNode::restart() {
  if (!running_) {
    startProcess(false);
  }
}

base::NodeId SimulatedNode::replace() {
  kill();
  disk_.wipe();
  constexpr std::uint64_t kMaxInstance = 0xffffffff;
  id_ = base::makeNodeId(number_,
                         static_cast<std::uint32_t>(environment_.random.below(kMaxInstance)) | 1U);
  startProcess(false);
  return id_;
}

void SimulatedNode::startProcess(bool initialMembership) {
  ++epoch_;
  disk_.repair();
  random_ = std::make_unique<base::SeededRandom>(environment_.random.next());
  if (role_ == NodeRole::kGateway) {
    startGateway();
  } else {
    consensus::Membership initial;
    if (initialMembership) {
      const bool isController = role_ == NodeRole::kController;
      const std::uint32_t first = isController ? 1 : 1 + environment_.options.controllers;
      const auto nodes = consecutiveNodeIds(
          first, isController ? environment_.options.controllers : environment_.options.ledgers);
      initial.voters.insert(nodes.begin(), nodes.end());
    }
    log_ = base::recover(
        [&] {
          return storage::SegmentedLog::open(disk_, {kClusterName, id_, group()}, initial);
        },
        [&](const base::Error& error) {
          environment_.writeTraceLine("node " + std::to_string(number_) +
                                      " cannot start: " + error.message);
          return std::unique_ptr<storage::SegmentedLog>();
        });
    if (!log_) {
      return;
    }
  }
  if (role_ == NodeRole::kController) {
    controller_ = std::make_unique<control::Controller>(
        id_, group(), environment_.options.controller, *log_, *random_, localNow());
  } else if (role_ == NodeRole::kLedger) {
    ledger_ = std::make_unique<ledger::Ledger>(id_, group(), environment_.options.ledger, *log_,
                                               *random_, localNow());
  }
  running_ = true;
  environment_.writeTraceLine("node " + std::to_string(number_) + " starts");
  tick();
}

void SimulatedNode::startGateway() {
  const SimulationOptions& options = environment_.options;
  gateway::GatewaySettings settings = options.gateway;
  settings.self = id_;
  settings.incarnation = {epoch_};
  settings.zone = zone_;
  settings.selector.zone = zone_;
  settings.controlGroup = kControlGroup;
  settings.controllers = consecutiveNodeIds(1, options.controllers);
  settings.ledgers = {{kLedgerGroup, consecutiveNodeIds(1 + options.controllers, options.ledgers)}};
  settings.peers = consecutiveNodeIds(1 + options.controllers + options.ledgers, options.gateways);
  gateway_ = std::make_unique<gateway::Gateway>(settings, *random_, localNow());
}

void SimulatedNode::terminate(bool graceful) {
  running_ = false;
  m_suspended = false;
  m_shuttingDown = false;
  m_crashDuringFlush = false;
  ++epoch_;
  backlog_.clear();
  m_streamedResponses.clear();
  arrived_at_.clear();
  recordTokenCounts();
  controller_.reset();
  ledger_.reset();
  gateway_.reset();
  log_.reset();
  for (auto& [caller, handler] : std::exchange(m_callerHandlers, {})) {
    RequestOutcome lost;
    lost.connectionLost = true;
    lost.byGracefulShutdown = graceful;
    sendToClient([handler = handler, lost] { handler(lost); });
  }
}

void SimulatedNode::kill() {
  if (!running_) {
    return;
  }
  environment_.writeTraceLine("node " + std::to_string(number_) + " is killed");
  ++environment_.checker.statistics().kills;
  if (!m_suspended && environment_.random.chance(0.5)) {
    m_crashDuringFlush = true;  // after the sync, before all messages are sent
    flushOutputs();
    return;
  }
  terminate(false);
  disk_.crash(environment_.random);
}

void SimulatedNode::suspend() {
  m_suspended = isRunning();
  m_suspendedAt = environment_.loop.now();
}

void SimulatedNode::resume() {
  if (!m_suspended) {
    return;
  }
  if (environment_.options.suspensionStopsClock) {
    m_clockLag += environment_.loop.now() - m_suspendedAt;
  }
  environment_.writeTraceLine("node " + std::to_string(number_) + " wakes");
  m_suspended = false;
  // Timers and sockets become ready at the same time and may be served in either order.
  const bool timersFirst = environment_.random.chance(0.5);
  const std::uint64_t epoch = epoch_;
  if (timersFirst) {
    tick();
  }
  for (const EventLoop::Callback& action : std::exchange(backlog_, {})) {
    if (epoch_ == epoch) {
      runInProcess(action);
    }
  }
  if (!timersFirst && epoch_ == epoch) {
    tick();
  }
}

void SimulatedNode::post(std::uint64_t epoch, const EventLoop::Callback& action) {
  if (!running_ || epoch != epoch_) {
    return;
  }
  if (m_suspended) {
    backlog_.push_back(action);
  } else {
    runInProcess(action);
  }
}

RoleCost* SimulatedNode::roleCost() {
  return environment_.measureCosts ? &environment_.roleCosts.at(static_cast<std::size_t>(role_))
                                   : nullptr;
}

void SimulatedNode::runInProcess(const EventLoop::Callback& action) {
  const CpuTimer timer(roleCost());
  action();
  flushOutputs();
}

void SimulatedNode::tick() {
  if (!running_) {
    return;
  }
  if (!m_suspended) {
    const CpuTimer timer(roleCost());
    const base::TimePoint now = localNow();
    if (controller_) {
      controller_->tick(now);
      readMachineList();
    } else if (ledger_) {
      constexpr std::uint64_t kWallSecondsAtStart = 1'700'000'000;
      ledger_->tick(now, kWallSecondsAtStart +
                             static_cast<std::uint64_t>(base::toSeconds(now.time_since_epoch())));
    } else {
      gateway_->tick(now);
    }
    flushOutputs();
    if (m_shuttingDown) {
      finishGracefulShutdown();
    }
  }
  const std::uint64_t epoch = epoch_;
  environment_.loop.scheduleAfter(kTickInterval, [this, epoch] {
    if (epoch == epoch_ && !m_suspended) {
      tick();
    }
  });
}

void SimulatedNode::flushOutputs() {
  if (!running_) {
    return;
  }
  transport::Outbox messages;
  std::vector<engine::OutgoingEngineCommand> commands;
  std::vector<gateway::Action> actions;
  if (controller_) {
    control::ControllerActions result = controller_->finish(localNow());
    messages = std::move(result.messages);
    commands = std::move(result.engineCommands);
  } else if (ledger_) {
    messages = ledger_->finish(localNow());
  } else {
    gateway::GatewayActions result = gateway_->takeActions();
    messages = std::move(result.messages);
    actions = std::move(result.actions);
  }
  if (m_crashDuringFlush) {
    messages.resize(environment_.random.below(messages.size() + 1));
    actions.resize(environment_.random.below(actions.size() + 1));
    commands.clear();
  }
  sendMessages(messages);
  for (const engine::OutgoingEngineCommand& command : commands) {
    sendLoadCommand(command);
  }
  for (const gateway::Action& action : actions) {
    execute(action);
  }
  checkLeaderUniqueness();
  const consensus::Replica* ownReplica = replica();
  const bool failed = ownReplica != nullptr && ownReplica->raft().failed();
  if (m_crashDuringFlush || failed) {
    terminate(false);
    disk_.crash(environment_.random);
  }
}

void SimulatedNode::checkLeaderUniqueness() {
  const consensus::Replica* ownReplica = replica();
  if (ownReplica == nullptr || !ownReplica->raft().isLeader()) {
    return;
  }
  const bool holdsLease = ownReplica->canRead(localNow());
  const Invariant invariant = role_ == NodeRole::kController ? Invariant::kConfigurationConsistency
                                                             : Invariant::kExactlyOnce;
  for (const auto& other : environment_.nodes) {
    const consensus::Replica* otherReplica = other->replica();
    const bool isPeer = other.get() != this && other->role_ == role_ && otherReplica != nullptr;
    if (!isPeer || other->m_suspended || !otherReplica->raft().isLeader()) {
      continue;
    }
    if (holdsLease && otherReplica->canRead(other->localNow())) {
      environment_.checker.reportViolation(invariant, "two replicas hold the leader's lease");
    }
    if (otherReplica->raft().currentTerm() == ownReplica->raft().currentTerm()) {
      environment_.checker.reportViolation(invariant, "two replicas lead in one term");
    }
  }
}

void SimulatedNode::sendMessages(const transport::Outbox& outbox) {
  for (const transport::OutgoingMessage& outgoing : outbox) {
    SimulatedNode* to = environment_.node(base::nodeNumber(outgoing.to));
    if (to == nullptr) {
      continue;
    }
    environment_.loop.mixIntoHash(base::mix(outgoing.to.value, outgoing.message.index()));
    const auto message = std::make_shared<transport::InternalMessage>(outgoing.message);
    if (RoleCost* cost = roleCost()) {
      const std::size_t bytes = base::encode(outgoing.message).size();
      const std::size_t kind = outgoing.message.index();
      cost->sent.at(kind).messages += 1;
      cost->sent.at(kind).bytes += bytes;
      to->roleCost()->received.at(kind).messages += 1;
      to->roleCost()->received.at(kind).bytes += bytes;
    }
    environment_.network.send(machine_, to->machine(), [to, from = id_, message] {
      to->post(to->epoch_, [to, from, message] { to->receive(from, *message); });
    });
  }
}

void SimulatedNode::receive(base::NodeId from, const transport::InternalMessage& message) {
  roles::RoleSet roles;
  roles.controller = controller_.get();
  if (ledger_) {
    roles.ledgers.push_back(ledger_.get());
  }
  roles.gateway = gateway_.get();
  roles::deliver(roles, from, message, localNow());
}

void SimulatedNode::execute(const gateway::Action& action) {
  if (const auto* start = std::get_if<gateway::StartAttempt>(&action)) {
    startAttempt(*start);
  } else if (const auto* cancelled = std::get_if<gateway::CancelAttempt>(&action)) {
    SimulatedEngine* engine = environment_.engine(cancelled->engine);
    environment_.network.sendOrdered(
        machine_, engine->machine(),
        [engine, attempt = cancelled->attempt] { engine->cancel(attempt); });
  } else if (const auto* read = std::get_if<gateway::PollEngine>(&action)) {
    SimulatedEngine* engine = environment_.engine(read->engine);
    if (RoleCost* cost = roleCost()) {
      ++cost->engineReads;
    }
    environment_.network.sendOrdered(
        machine_, engine->machine(),
        [engine, instance = ProcessInstance{this, epoch_}] { engine->read(instance); });
  } else if (const auto* stream = std::get_if<gateway::StreamTokens>(&action)) {
    recordFirstToken(stream->caller);
    checking::ReceivedResponse& streamed = m_streamedResponses[stream->caller];
    if (stream->offset != streamed.tokens.size()) {
      environment_.checker.reportViolation(Invariant::kCompleteResponse,
                                           "a stream skipped or repeated tokens");
    }
    streamed.tokens.insert(streamed.tokens.end(), stream->tokens.begin(), stream->tokens.end());
  } else if (const auto* completion = std::get_if<gateway::CompleteRequest>(&action)) {
    RequestOutcome completed;
    completed.response = {completion->answer.tokens, completion->answer.spans};
    const auto streamed = m_streamedResponses.find(completion->caller);
    if (streamed != m_streamedResponses.end() &&
        streamed->second.tokens != completed.response->tokens) {
      environment_.checker.reportViolation(Invariant::kCompleteResponse,
                                           "the streamed tokens differ from the response");
    }
    reply(completion->caller, std::move(completed));
  } else if (const auto* repeat = std::get_if<gateway::ReplayResponse>(&action)) {
    RequestOutcome repeated;
    if (const auto decoded = gateway::decodeResponse(repeat->answer)) {
      repeated.response = {decoded->answer.tokens, decoded->answer.spans};
    } else {
      environment_.checker.reportViolation(Invariant::kCompleteResponse,
                                           "a recorded response cannot be decoded");
    }
    reply(repeat->caller, std::move(repeated));
  } else if (const auto* rejection = std::get_if<gateway::RejectRequest>(&action)) {
    RequestOutcome rejected;
    rejected.rejection = *rejection;
    reply(rejection->caller, std::move(rejected));
  }
}

void SimulatedNode::startAttempt(const gateway::StartAttempt& start) {
  SimulatedEngine* engine = environment_.engine(start.engine);
  const engine::GenerateRequest& request = start.request;
  constexpr base::Duration kConnectTimeout = base::seconds(1);
  const ProcessInstance instance{this, epoch_};
  if (environment_.network.isPartitioned(machine_, engine->machine())) {
    // Either connecting times out, or the request is lost on an existing connection.
    if (environment_.random.chance(0.5)) {
      failAttempt(request.attempt, base::Verdict::kNotRun, kConnectTimeout);
    }
    return;
  }
  environment_.network.sendOrdered(machine_, engine->machine(), [engine, instance, request] {
    engine->generate(instance, request);
  });
  if (environment_.random.chance(environment_.options.streamResets)) {
    failAttempt(request.attempt, base::Verdict::kMayHaveRun, base::milliseconds(2));
  }
}

void SimulatedNode::failAttempt(base::AttemptId attempt, base::Verdict verdict,
                                base::Duration delay) {
  engine::AttemptEnd lost;
  lost.attempt = attempt;
  lost.verdict = verdict;
  lost.message = "connection lost";
  environment_.loop.scheduleAfter(
      delay, [this, epoch = epoch_, lost] { post(epoch, [this, lost] { onAttemptEnd(lost); }); });
}

void SimulatedNode::sendLoadCommand(const engine::OutgoingEngineCommand& addressed) {
  SimulatedEngine* engine = environment_.engine(addressed.engine);
  const auto deliver = [engine, instance = ProcessInstance{this, epoch_},
                        command = addressed.command] { engine->handleCommand(instance, command); };
  const base::Duration maxDelay = environment_.options.maxCommandDelay;
  if (maxDelay.count() == 0) {
    environment_.network.send(machine_, engine->machine(), deliver);
    return;
  }
  constexpr int kCopies = 2;
  for (int copy = 0; copy < kCopies; ++copy) {
    environment_.loop.scheduleAfter(
        environment_.randomDuration(base::Duration{0}, maxDelay), [this, engine, deliver] {
          environment_.network.send(machine_, engine->machine(), deliver);
        });
  }
}

void SimulatedNode::readMachineList() {
  if (localNow() - m_machineListReadAt < kMachineListInterval) {
    return;
  }
  m_machineListReadAt = localNow();
  const std::uint64_t epoch = epoch_;
  environment_.network.send(machine_, kPlatformMachine, [this, epoch] {
    const auto machines = environment_.platform->list();
    environment_.network.send(kPlatformMachine, machine_, [this, epoch, machines] {
      post(epoch, [this, machines] { controller_->onMachineList(machines, localNow()); });
    });
  });
}

void SimulatedNode::onChunk(const engine::Chunk& chunk) { gateway_->onChunk(chunk, localNow()); }

void SimulatedNode::onAttemptEnd(const engine::AttemptEnd& ended) {
  gateway_->onAttemptEnd(ended, localNow());
}

void SimulatedNode::onReport(const engine::EngineStatus& status,
                             const std::vector<engine::SequencedCacheEvent>& events) {
  gateway_->onEngineStatus(status, localNow());
  for (const engine::SequencedCacheEvent& sequenced : events) {
    gateway_->onCacheEvent(status.engine, sequenced.event);
  }
}

void SimulatedNode::onCommandReply(const engine::EngineCommandReply& commandReply) {
  controller_->onCommandReply(commandReply, localNow());
}

void SimulatedNode::beginGracefulShutdown() {
  if (!running_ || m_suspended || m_shuttingDown) {
    return;
  }
  environment_.writeTraceLine("node " + std::to_string(number_) + " begins a graceful shutdown");
  m_shuttingDown = true;
  m_shutdownStartedAt = environment_.loop.now();
  if (gateway_) {
    gateway_->beginDrain(localNow());
  } else {
    replica()->raft().transferLeadership(localNow());
  }
  flushOutputs();
}

void SimulatedNode::finishGracefulShutdown() {
  if (!running_) {
    return;
  }
  const base::Duration spent = environment_.loop.now() - m_shutdownStartedAt;
  bool done = spent > kMaxShutdownTime;
  if (gateway_) {
    done = done || (gateway_->isDrained() && m_callerHandlers.empty());
  } else {
    const consensus::RaftConsensus& raft = replica()->raft();
    done = done || !raft.isLeader() || raft.membership().voters.size() <= 1 ||
           spent > kMaxLeadershipTransferTime;
  }
  if (done) {
    environment_.writeTraceLine("node " + std::to_string(number_) + " has shut down");
    terminate(true);
    disk_.crash(environment_.random);
  }
}

}  // namespace tackpick::simulation
