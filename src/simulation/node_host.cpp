#include "simulation/node_host.h"

#include <algorithm>
#include <utility>

#include "roles/role_set.h"
#include "simulation/engine_host.h"
#include "simulation/platform.h"

namespace tackpick::simulation {
namespace {

constexpr base::GroupId kControlGroup{1};
constexpr base::GroupId kLedgerGroup{2};
constexpr base::Duration kTickInterval = base::milliseconds(10);
constexpr base::Duration kListInterval = base::milliseconds(200);
constexpr base::Duration kMaxStop = base::seconds(60);
constexpr base::Duration kMaxHandOver = base::seconds(3);
const std::string kCluster = "simulated";

std::vector<base::NodeId> numbered(std::uint32_t first, std::uint32_t count) {
  std::vector<base::NodeId> nodes;
  for (std::uint32_t i = 0; i < count; ++i) {
    nodes.push_back(base::makeNodeId(first + i, 0));
  }
  return nodes;
}

}  // namespace

NodeHost::NodeHost(Environment& environment, NodeRole role, std::uint32_t number, std::string zone)
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

base::TimePoint NodeHost::localNow() const {
  // Every machine's clock starts elsewhere and runs at its own rate.
  constexpr base::Duration kOffsetPerMachine = base::seconds(1000);
  const base::Duration run = environment_.loop.now().time_since_epoch() - m_clockLag;
  const auto elapsed = static_cast<double>(run.count());
  return base::TimePoint{kOffsetPerMachine * number_} +
         base::Duration(static_cast<base::Duration::rep>(elapsed * clock_rate_));
}

base::GroupId NodeHost::group() const {
  return role_ == NodeRole::kController ? kControlGroup : kLedgerGroup;
}

consensus::Replica* NodeHost::replica() {
  if (controller_) {
    return &controller_->replica();
  }
  return ledger_ ? &ledger_->replica() : nullptr;
}

void NodeHost::initialise() { open(true); }

void NodeHost::restart() {
  if (!running_) {
    open(false);
  }
}

base::NodeId NodeHost::replace() {
  kill();
  disk_.wipe();
  constexpr std::uint64_t kInstances = 0xffffffff;
  id_ = base::makeNodeId(number_,
                         static_cast<std::uint32_t>(environment_.random.below(kInstances)) | 1U);
  open(false);
  return id_;
}

void NodeHost::open(bool initialMembership) {
  ++epoch_;
  disk_.repair();
  random_ = std::make_unique<base::SeededRandom>(environment_.random.next());
  if (role_ == NodeRole::kGateway) {
    openGateway();
  } else {
    consensus::Membership initial;
    if (initialMembership) {
      const bool controls = role_ == NodeRole::kController;
      const std::uint32_t first = controls ? 1 : 1 + environment_.options.controllers;
      const auto nodes = numbered(
          first, controls ? environment_.options.controllers : environment_.options.ledgers);
      initial.voters.insert(nodes.begin(), nodes.end());
    }
    log_ = base::recover(
        [&] {
          return storage::SegmentedLog::open(disk_, {kCluster, id_, group()}, initial);
        },
        [&](const base::Error& error) {
          environment_.say("node " + std::to_string(number_) + " is refused: " + error.message);
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
  environment_.say("node " + std::to_string(number_) + " starts");
  tick();
}

void NodeHost::openGateway() {
  const SimulationOptions& options = environment_.options;
  gateway::GatewaySettings settings = options.gateway;
  settings.self = id_;
  settings.incarnation = {epoch_};
  settings.zone = zone_;
  settings.selector.zone = zone_;
  settings.controlGroup = kControlGroup;
  settings.controllers = numbered(1, options.controllers);
  settings.ledgers = {{kLedgerGroup, numbered(1 + options.controllers, options.ledgers)}};
  settings.peers = numbered(1 + options.controllers + options.ledgers, options.gateways);
  gateway_ = std::make_unique<gateway::Gateway>(settings, *random_, localNow());
}

void NodeHost::end(bool planned) {
  running_ = false;
  frozen_ = false;
  stopping_ = false;
  dies_in_turn_ = false;
  ++epoch_;
  backlog_.clear();
  streamed_.clear();
  arrived_at_.clear();
  noteTokens();
  controller_.reset();
  ledger_.reset();
  gateway_.reset();
  log_.reset();
  for (auto& [caller, handler] : std::exchange(callers_, {})) {
    CallerReply lost;
    lost.connectionLost = true;
    lost.byPlannedStop = planned;
    toClient([handler = handler, lost] { handler(lost); });
  }
}

void NodeHost::kill() {
  if (!running_) {
    return;
  }
  environment_.say("node " + std::to_string(number_) + " is killed");
  ++environment_.observations.figures().kills;
  if (!frozen_ && environment_.random.chance(0.5)) {
    dies_in_turn_ = true;  // between the sync and the sending
    turn();
    return;
  }
  end(false);
  disk_.crash(environment_.random);
}

void NodeHost::freeze() {
  frozen_ = isRunning();
  m_frozenAt = environment_.loop.now();
}

void NodeHost::thaw() {
  if (!frozen_) {
    return;
  }
  if (environment_.options.suspensionStopsClock) {
    m_clockLag += environment_.loop.now() - m_frozenAt;
  }
  environment_.say("node " + std::to_string(number_) + " wakes");
  frozen_ = false;
  // Timers and sockets are ready together: either may be served first.
  const bool timersFirst = environment_.random.chance(0.5);
  const std::uint64_t epoch = epoch_;
  if (timersFirst) {
    tick();
  }
  for (const EventLoop::Action& action : std::exchange(backlog_, {})) {
    if (epoch_ == epoch) {
      deliver(action);
    }
  }
  if (!timersFirst && epoch_ == epoch) {
    tick();
  }
}

void NodeHost::post(std::uint64_t epoch, const EventLoop::Action& action) {
  if (!running_ || epoch != epoch_) {
    return;
  }
  if (frozen_) {
    backlog_.push_back(action);
  } else {
    deliver(action);
  }
}

RoleCost* NodeHost::meter() {
  return environment_.metering ? &environment_.meters.at(static_cast<std::size_t>(role_)) : nullptr;
}

void NodeHost::deliver(const EventLoop::Action& action) {
  const CpuTimer timer(meter());
  action();
  turn();
}

void NodeHost::tick() {
  if (!running_) {
    return;
  }
  if (!frozen_) {
    const CpuTimer timer(meter());
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
    turn();
    if (stopping_) {
      finishPlannedStop();
    }
  }
  const std::uint64_t epoch = epoch_;
  environment_.loop.after(kTickInterval, [this, epoch] {
    if (epoch == epoch_ && !frozen_) {
      tick();
    }
  });
}

void NodeHost::turn() {
  if (!running_) {
    return;
  }
  transport::Outbox messages;
  std::vector<engine::OutgoingEngineCommand> orders;
  std::vector<gateway::Action> actions;
  if (controller_) {
    control::ControllerActions result = controller_->finish(localNow());
    messages = std::move(result.messages);
    orders = std::move(result.engineCommands);
  } else if (ledger_) {
    messages = ledger_->finish(localNow());
  } else {
    gateway::GatewayActions result = gateway_->takeActions();
    messages = std::move(result.messages);
    actions = std::move(result.actions);
  }
  if (dies_in_turn_) {
    messages.resize(environment_.random.below(messages.size() + 1));
    actions.resize(environment_.random.below(actions.size() + 1));
    orders.clear();
  }
  sendAll(messages);
  for (const engine::OutgoingEngineCommand& order : orders) {
    sendLoadCommand(order);
  }
  for (const gateway::Action& action : actions) {
    execute(action);
  }
  checkLease();
  const consensus::Replica* own = replica();
  const bool failed = own != nullptr && own->raft().failed();
  if (dies_in_turn_ || failed) {
    end(false);
    disk_.crash(environment_.random);
  }
}

void NodeHost::checkLease() {
  const consensus::Replica* own = replica();
  if (own == nullptr || !own->raft().isLeader()) {
    return;
  }
  const bool reads = own->canRead(localNow());
  const Promise promise =
      role_ == NodeRole::kController ? Promise::kConfiguration : Promise::kExactlyOnce;
  for (const auto& other : environment_.nodes) {
    const consensus::Replica* theirs = other->replica();
    const bool peer = other.get() != this && other->role_ == role_ && theirs != nullptr;
    if (!peer || other->frozen_ || !theirs->raft().isLeader()) {
      continue;
    }
    if (reads && theirs->canRead(other->localNow())) {
      environment_.observations.broken(promise, "two replicas hold the leader's lease");
    }
    if (theirs->raft().currentTerm() == own->raft().currentTerm()) {
      environment_.observations.broken(promise, "two replicas lead in one term");
    }
  }
}

void NodeHost::sendAll(const transport::Outbox& outbox) {
  for (const transport::OutgoingMessage& outgoing : outbox) {
    NodeHost* to = environment_.node(base::nodeNumber(outgoing.to));
    if (to == nullptr) {
      continue;
    }
    environment_.loop.note(base::mix(outgoing.to.value, outgoing.message.index()));
    const auto message = std::make_shared<transport::InternalMessage>(outgoing.message);
    if (RoleCost* own = meter()) {
      const std::size_t bytes = base::encode(outgoing.message).size();
      const std::size_t kind = outgoing.message.index();
      own->sent.at(kind).messages += 1;
      own->sent.at(kind).bytes += bytes;
      to->meter()->received.at(kind).messages += 1;
      to->meter()->received.at(kind).bytes += bytes;
    }
    environment_.network.send(machine_, to->machine(), [to, from = id_, message] {
      to->post(to->epoch_, [to, from, message] { to->receive(from, *message); });
    });
  }
}

void NodeHost::receive(base::NodeId from, const transport::InternalMessage& message) {
  roles::RoleSet roles;
  roles.controller = controller_.get();
  if (ledger_) {
    roles.ledgers.push_back(ledger_.get());
  }
  roles.gateway = gateway_.get();
  roles::deliver(roles, from, message, localNow());
}

void NodeHost::execute(const gateway::Action& action) {
  if (const auto* start = std::get_if<gateway::StartAttempt>(&action)) {
    startAttempt(*start);
  } else if (const auto* cancelled = std::get_if<gateway::CancelAttempt>(&action)) {
    EngineHost* engine = environment_.engine(cancelled->engine);
    environment_.network.sendOrdered(
        machine_, engine->machine(),
        [engine, attempt = cancelled->attempt] { engine->cancel(attempt); });
  } else if (const auto* read = std::get_if<gateway::PollEngine>(&action)) {
    EngineHost* engine = environment_.engine(read->engine);
    if (RoleCost* own = meter()) {
      ++own->engineReads;
    }
    environment_.network.sendOrdered(
        machine_, engine->machine(),
        [engine, run = ProcessRun{this, epoch_}] { engine->read(run); });
  } else if (const auto* stream = std::get_if<gateway::StreamTokens>(&action)) {
    noteFirstToken(stream->caller);
    checking::ReceivedAnswer& streamed = streamed_[stream->caller];
    if (stream->offset != streamed.tokens.size()) {
      environment_.observations.broken(Promise::kWholeAnswer,
                                       "a stream skipped or repeated tokens");
    }
    streamed.tokens.insert(streamed.tokens.end(), stream->tokens.begin(), stream->tokens.end());
  } else if (const auto* answer = std::get_if<gateway::CompleteRequest>(&action)) {
    CallerReply whole;
    whole.answer = {answer->answer.tokens, answer->answer.spans};
    const auto streamed = streamed_.find(answer->caller);
    if (streamed != streamed_.end() && streamed->second.tokens != whole.answer->tokens) {
      environment_.observations.broken(Promise::kWholeAnswer, "a stream differs from its answer");
    }
    reply(answer->caller, std::move(whole));
  } else if (const auto* repeat = std::get_if<gateway::ReplayResponse>(&action)) {
    CallerReply repeated;
    if (const auto decoded = gateway::decodeResponse(repeat->answer)) {
      repeated.answer = {decoded->answer.tokens, decoded->answer.spans};
    } else {
      environment_.observations.broken(Promise::kWholeAnswer, "an unreadable recorded answer");
    }
    reply(repeat->caller, std::move(repeated));
  } else if (const auto* refusal = std::get_if<gateway::RejectRequest>(&action)) {
    CallerReply refused;
    refused.refusal = *refusal;
    reply(refusal->caller, std::move(refused));
  }
}

void NodeHost::startAttempt(const gateway::StartAttempt& start) {
  EngineHost* engine = environment_.engine(start.engine);
  const engine::GenerateRequest& request = start.request;
  constexpr base::Duration kConnectTimeout = base::seconds(1);
  const ProcessRun run{this, epoch_};
  if (environment_.network.isCut(machine_, engine->machine())) {
    // Either no connection comes about, or one that existed swallows the request.
    if (environment_.random.chance(0.5)) {
      loseAttempt(request.attempt, base::Verdict::kNotRun, kConnectTimeout);
    }
    return;
  }
  environment_.network.sendOrdered(machine_, engine->machine(),
                                   [engine, run, request] { engine->generate(run, request); });
  if (environment_.random.chance(environment_.options.streamResets)) {
    loseAttempt(request.attempt, base::Verdict::kMayHaveRun, base::milliseconds(2));
  }
}

void NodeHost::loseAttempt(base::AttemptId attempt, base::Verdict verdict, base::Duration delay) {
  engine::AttemptEnd lost;
  lost.attempt = attempt;
  lost.verdict = verdict;
  lost.message = "connection lost";
  environment_.loop.after(
      delay, [this, epoch = epoch_, lost] { post(epoch, [this, lost] { onAttemptEnd(lost); }); });
}

void NodeHost::sendLoadCommand(const engine::OutgoingEngineCommand& addressed) {
  EngineHost* engine = environment_.engine(addressed.engine);
  const auto deliver = [engine, run = ProcessRun{this, epoch_}, order = addressed.command] {
    engine->order(run, order);
  };
  const base::Duration longest = environment_.options.maxOrderDelay;
  if (longest.count() == 0) {
    environment_.network.send(machine_, engine->machine(), deliver);
    return;
  }
  constexpr int kCopies = 2;
  for (int copy = 0; copy < kCopies; ++copy) {
    environment_.loop.after(environment_.drawBetween(base::Duration{0}, longest),
                            [this, engine, deliver] {
                              environment_.network.send(machine_, engine->machine(), deliver);
                            });
  }
}

void NodeHost::readMachineList() {
  if (localNow() - list_read_at_ < kListInterval) {
    return;
  }
  list_read_at_ = localNow();
  const std::uint64_t epoch = epoch_;
  environment_.network.send(machine_, kPlatformMachine, [this, epoch] {
    const auto machines = environment_.platform->list();
    environment_.network.send(kPlatformMachine, machine_, [this, epoch, machines] {
      post(epoch, [this, machines] { controller_->onMachineList(machines, localNow()); });
    });
  });
}

void NodeHost::onChunk(const engine::Chunk& chunk) { gateway_->onChunk(chunk, localNow()); }

void NodeHost::onAttemptEnd(const engine::AttemptEnd& ended) {
  gateway_->onAttemptEnd(ended, localNow());
}

void NodeHost::onReport(const engine::EngineStatus& status,
                        const std::vector<engine::SequencedCacheEvent>& events) {
  gateway_->onEngineStatus(status, localNow());
  for (const engine::SequencedCacheEvent& numbered : events) {
    gateway_->onCacheEvent(status.engine, numbered.event);
  }
}

void NodeHost::onCommandReply(const engine::EngineCommandReply& answer) {
  controller_->onCommandReply(answer, localNow());
}

void NodeHost::beginPlannedStop() {
  if (!running_ || frozen_ || stopping_) {
    return;
  }
  environment_.say("node " + std::to_string(number_) + " is asked to stop");
  stopping_ = true;
  stop_began_at_ = environment_.loop.now();
  if (gateway_) {
    gateway_->beginDrain(localNow());
  } else {
    replica()->raft().transferLeadership(localNow());
  }
  turn();
}

void NodeHost::finishPlannedStop() {
  if (!running_) {
    return;
  }
  const base::Duration spent = environment_.loop.now() - stop_began_at_;
  bool done = spent > kMaxStop;
  if (gateway_) {
    done = done || (gateway_->isDrained() && callers_.empty());
  } else {
    const consensus::RaftConsensus& raft = replica()->raft();
    done = done || !raft.isLeader() || raft.membership().voters.size() <= 1 || spent > kMaxHandOver;
  }
  if (done) {
    environment_.say("node " + std::to_string(number_) + " has stopped");
    end(true);
    disk_.crash(environment_.random);
  }
}

}  // namespace tackpick::simulation
