#include "runtime/daemon.h"

#include <algorithm>
#include <utility>

#include "base/random.h"
#include "roles/role_set.h"
#include "runtime/caller_api.h"
#include "runtime/control_api.h"
#include "runtime/event_loop.h"
#include "runtime/metrics.h"
#include "runtime/node_identity.h"
#include "runtime/server_limits.h"
#include "telemetry/log.h"
#include "transport/shared_key.h"

namespace tackpick::runtime {
namespace {

using telemetry::EventId;
using telemetry::logEvent;

constexpr auto kTickInterval = std::chrono::milliseconds(10);
/// Timeout of a planned shutdown, after which the remaining work is aborted.
constexpr base::Duration kMaxStop = base::seconds(60);
std::uint64_t unixSeconds() {
  constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;
  return unixMicroseconds() / kMicrosecondsPerSecond;
}

std::vector<base::NodeId> toNodeIds(const std::vector<std::uint32_t>& numbers) {
  std::vector<base::NodeId> nodes;
  nodes.reserve(numbers.size());
  for (const std::uint32_t number : numbers) {
    nodes.push_back(base::makeNodeId(number, 0));
  }
  return nodes;
}

bool contains(const std::vector<std::uint32_t>& numbers, std::uint32_t number) {
  return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
}

}  // namespace

Daemon::Daemon(config::ProcessSettings settings)
    : settings_(std::move(settings)),
      random_(std::make_unique<base::SeededRandom>(secureRandomUint64())),
      m_tickTimer(context_),
      signals_(context_, SIGINT, SIGTERM) {}

Daemon::~Daemon() = default;

base::Result<std::unique_ptr<Daemon>> Daemon::create(const config::ProcessSettings& settings,
                                                     DirectoryMode mode) {
  std::unique_ptr<Daemon> daemon(new Daemon(settings));
  BOOST_LEAF_CHECK(daemon->open(mode));
  return daemon;
}

base::Result<void> Daemon::open(DirectoryMode mode) {
  BOOST_LEAF_ASSIGN(m_clusterKey, transport::readKeyFile(settings_.keyFile));
  BOOST_LEAF_CHECK(loadIdentity(mode));
  BOOST_LEAF_CHECK(openRoles(mode));
  client_ = std::make_unique<http::Client>(context_);
  m_engineClient = std::make_unique<EngineClient>(*client_, makeEngineEvents());
  if (settings_.roles.contains(config::ProcessRole::kGateway)) {
    openGateway();
  }
  return openNetwork();
}

base::Result<void> Daemon::loadIdentity(DirectoryMode mode) {
  BOOST_LEAF_AUTO(directory, storage::PosixFileSystem::create(settings_.dataDirectory));
  BOOST_LEAF_AUTO(identity, loadNodeIdentity(*directory, settings_, mode));
  self_ = {identity.node};
  incarnation_ = {identity.incarnation};
  return {};
}

base::Result<consensus::LogStore*> Daemon::openLog(const std::string& name,
                                                   const config::GroupSettings& group,
                                                   DirectoryMode mode) {
  BOOST_LEAF_AUTO(directory,
                  storage::PosixFileSystem::create(settings_.dataDirectory + "/" + name));
  m_directories.push_back(std::move(directory));
  consensus::Membership initial;
  if (mode == DirectoryMode::kInitialise) {
    for (const base::NodeId node : toNodeIds(group.nodes)) {
      initial.voters.insert(node);
    }
  }
  const storage::DataDirectoryIdentity identity{settings_.cluster, self_, group.group};
  BOOST_LEAF_AUTO(log, storage::SegmentedLog::open(*m_directories.back(), identity, initial));
  logs_.push_back(std::move(log));
  return logs_.back().get();
}

base::Result<void> Daemon::openRoles(DirectoryMode mode) {
  if (settings_.roles.contains(config::ProcessRole::kController)) {
    BOOST_LEAF_AUTO(log, openLog("control", settings_.controllers, mode));
    control::ControllerSettings controller;
    controller.rollout.concurrentLoads = settings_.concurrentWeightLoads;
    constexpr base::Duration kMachineListTimeout = base::seconds(3);
    controller.machineListTimeout =
        settings_.machineListUrl.empty() ? base::Duration{0} : kMachineListTimeout;
    controller_ = std::make_unique<control::Controller>(self_, settings_.controllers.group,
                                                        controller, *log, *random_, now());
  }
  if (settings_.roles.contains(config::ProcessRole::kLedger)) {
    for (const config::GroupSettings& group : settings_.ledgers) {
      if (!contains(group.nodes, settings_.node)) {
        continue;
      }
      BOOST_LEAF_AUTO(log, openLog("ledger-" + std::to_string(group.group.value), group, mode));
      ledgers_.push_back(std::make_unique<ledger::Ledger>(
          self_, group.group, ledger::LedgerSettings{}, *log, *random_, now()));
    }
  }
  return {};
}

void Daemon::openGateway() {
  gateway::GatewaySettings gateway = settings_.gateway;
  gateway.self = self_;
  gateway.incarnation = incarnation_;
  gateway.zone = settings_.zone;
  gateway.selector.zone = settings_.zone;
  gateway.controlGroup = settings_.controllers.group;
  gateway.controllers = toNodeIds(settings_.controllers.nodes);
  for (const config::GroupSettings& group : settings_.ledgers) {
    gateway.ledgers.push_back({group.group, toNodeIds(group.nodes)});
  }
  gateway_ = std::make_unique<gateway::Gateway>(gateway, *random_, now());
}

base::Result<void> Daemon::openNetwork() {
  transport::PeerNetworkSettings network;
  network.self = self_;
  network.key = m_clusterKey;
  network.listen = settings_.internal;
  network.peers = settings_.peers;
  try {
    network_ = std::make_unique<transport::PeerNetwork>(
        context_, network, [this](base::NodeId from, const transport::InternalMessage& message) {
          onMessage(from, message);
        });
    openHttp();
  } catch (const std::exception& error) {
    return base::fail(base::ErrorCode::kNetwork, std::string("cannot listen: ") + error.what());
  }
  return {};
}

void Daemon::openHttp() {
  if (gateway_) {
    caller_api_ = std::make_unique<CallerApi>(*this);
  }
  if (controller_) {
    control_api_ = std::make_unique<ControlApi>(*this);
  }
  http::ServerSettings server;
  server.host = settings_.http.host;
  server.port = settings_.http.port;
  server.limits = serverLimits({});
  server_ = std::make_unique<http::Server>(
      context_, server,
      [this](const http::Request& request, const std::shared_ptr<http::Responder>& responder) {
        onHttpRequest(request, responder);
      });
}

int Daemon::run() {
  logEvent(EventId::kProcessStarted,
           "node=" + std::to_string(self_.value) + " http_port=" + std::to_string(server_->port()));
  signals_.async_wait([this](const asio::error_code& error, int) {
    if (!error) {
      beginShutdown();
    }
  });
  tick();
  const bool completed = runEventLoop(context_);
  logEvent(EventId::kProcessStopped, "");
  return completed && !m_replicaFailed ? 0 : 1;
}

void Daemon::tick() {
  const base::TimePoint at = now();
  if (controller_) {
    controller_->tick(at);
    fetchMachineList();
  }
  for (const auto& ledger : ledgers_) {
    ledger->tick(at, unixSeconds());
  }
  if (gateway_) {
    gateway_->tick(at);
  }
  runIteration();
  logStateChanges();
  if (m_shuttingDown) {
    finishShutdown();
  }
  telemetry::flushLog();
  m_tickTimer.expires_after(kTickInterval);
  m_tickTimer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      tick();
    }
  });
}

void Daemon::scheduleIteration() {
  if (m_iterationScheduled) {
    return;
  }
  m_iterationScheduled = true;
  asio::post(context_, [this] { runIteration(); });
}

void Daemon::runIteration() {
  m_iterationScheduled = false;
  if (controller_) {
    control::ControllerActions actions = controller_->finish(now());
    for (const engine::OutgoingEngineCommand& outgoingCommand : actions.engineCommands) {
      const control::EngineRecord& record =
          controller_->state().engines().at(outgoingCommand.engine);
      m_engineClient->setAddress(outgoingCommand.engine, record.host, record.port);
      m_engineClient->sendLoadCommand(outgoingCommand.engine, outgoingCommand.command);
    }
    sendAll(std::move(actions.messages));
  }
  for (const auto& ledger : ledgers_) {
    sendAll(ledger->finish(now()));
  }
  if (!gateway_) {
    return;
  }
  if (m_addressesRevision != gateway_->view().revision()) {
    m_addressesRevision = gateway_->view().revision();
    for (const auto& [id, entry] : gateway_->engines().entries()) {
      m_engineClient->setAddress(id, entry.record.host, entry.record.port);
    }
  }
  gateway::GatewayActions actions = gateway_->takeActions();
  for (const gateway::Action& action : actions.actions) {
    execute(action);
  }
  sendAll(std::move(actions.messages));
}

void Daemon::execute(const gateway::Action& action) {
  if (const auto* start = std::get_if<gateway::StartAttempt>(&action)) {
    m_engineClient->startAttempt(start->engine, start->request);
  } else if (const auto* cancel = std::get_if<gateway::CancelAttempt>(&action)) {
    m_engineClient->cancelAttempt(cancel->engine, cancel->attempt);
  } else if (const auto* read = std::get_if<gateway::PollEngine>(&action)) {
    m_engineClient->pollLoad(read->engine);
  } else {
    caller_api_->execute(action);
  }
}

EngineEvents Daemon::makeEngineEvents() {
  EngineEvents events;
  events.onChunk = [this](const engine::Chunk& chunk) {
    gateway_->onChunk(chunk, now());
    scheduleIteration();
  };
  events.onEnd = [this](const engine::AttemptEnd& end) {
    gateway_->onAttemptEnd(end, now());
    scheduleIteration();
  };
  events.onReport = [this](base::EngineId engine, const EngineLoadReport& report) {
    gateway_->onEngineStatus(report.status, now());
    for (const engine::SequencedCacheEvent& cacheEvent : report.cacheEvents) {
      gateway_->onCacheEvent(engine, cacheEvent.event);
    }
    scheduleIteration();
  };
  events.onCommandReply = [this](base::EngineId engine, const engine::EngineCommandReply& reply) {
    if (reply.status == engine::EngineCommandStatus::kStaleFence) {
      logEvent(EventId::kEngineOrderFailed,
               "engine=" + std::to_string(engine.value) + " reason=stale_fence");
    }
    controller_->onCommandReply(reply, now());
    scheduleIteration();
  };
  events.onCommandFailed = [](base::EngineId engine) {
    logEvent(EventId::kEngineOrderFailed,
             "engine=" + std::to_string(engine.value) + " reason=unreachable");
  };
  return events;
}

void Daemon::sendAll(transport::Outbox outbox) {
  for (transport::OutgoingMessage& outgoing : outbox) {
    network_->send(outgoing.to, std::move(outgoing.message));
  }
}

void Daemon::onMessage(base::NodeId from, const transport::InternalMessage& message) {
  roles::RoleSet roles;
  roles.controller = controller_.get();
  for (const auto& ledger : ledgers_) {
    roles.ledgers.push_back(ledger.get());
  }
  roles.gateway = gateway_.get();
  roles::deliver(roles, from, message, now());
  scheduleIteration();
}

void Daemon::onHttpRequest(const http::Request& request,
                           const std::shared_ptr<http::Responder>& responder) {
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  const http::Headers json = {{"Content-Type", "application/json"}};
  if (request.path == "/healthz") {
    responder->respond(kOk, json, R"({"status":"ok"})");
  } else if (request.path == "/readyz") {
    const bool ready = isReady();
    responder->respond(ready ? kOk : kUnavailable, json,
                       ready ? R"({"ready":true})" : R"({"ready":false})");
  } else if (request.path == "/metrics") {
    responder->respond(kOk, {{"Content-Type", "text/plain; version=0.0.4"}}, renderMetrics(*this));
  } else if (control_api_ && request.path.starts_with("/v1/control")) {
    control_api_->handle(request, responder);
  } else if (caller_api_) {
    caller_api_->handle(request, responder);
  } else {
    responder->respond(kNotFound, json, R"({"error":{"message":"no such path"}})");
  }
  scheduleIteration();
}

bool Daemon::isReady() const {
  if (m_shuttingDown) {
    return false;
  }
  if (gateway_ && !gateway_->view().canServe(now())) {
    return false;
  }
  return !m_replicaFailed;
}

void Daemon::fetchMachineList() {
  constexpr base::Duration kInterval = base::milliseconds(500);
  if (settings_.machineListUrl.empty() || m_machineListFetchPending ||
      !controller_->canRead(now()) || now() - m_machineListFetchedAt < kInterval) {
    return;
  }
  m_machineListFetchedAt = now();
  m_machineListFetchPending = true;
  http::ClientRequest request;
  request.url = settings_.machineListUrl;
  request.timeout = base::seconds(1);
  client_->start(request, nullptr, [this](const http::ClientResult& result) {
    m_machineListFetchPending = false;
    const auto machines = result.complete ? parseMachineList(result.body) : std::nullopt;
    if (machines) {
      controller_->onMachineList(*machines, now());
      scheduleIteration();
    } else {
      logEvent(EventId::kMachineListUnreadable, result.error);
    }
  });
}

void Daemon::logStateChanges() {
  if (controller_) {
    const bool leads = controller_->replica().raft().isLeader();
    if (leads != m_loggedLeader) {
      m_loggedLeader = leads;
      logEvent(leads ? EventId::kBecameLeader : EventId::kLostLeadership,
               "group=" + std::to_string(controller_->replica().group().value) +
                   " term=" + std::to_string(controller_->replica().raft().currentTerm()));
    }
  }
  bool failed = controller_ && controller_->replica().raft().failed();
  for (const auto& ledger : ledgers_) {
    failed = failed || ledger->replica().raft().failed();
  }
  if (failed && !m_replicaFailed) {
    m_replicaFailed = true;
    logEvent(EventId::kReplicaFailed, "the process stops");
    context_.stop();
  }
  if (!gateway_) {
    return;
  }
  const bool hasLease = gateway_->view().canServe(now());
  if (hasLease != m_loggedLease) {
    m_loggedLease = hasLease;
    logEvent(hasLease ? EventId::kLeaseGained : EventId::kLeaseLost, "");
  }
  if (m_loggedRevision != gateway_->view().revision()) {
    m_loggedRevision = gateway_->view().revision();
    logEvent(EventId::kConfigurationInForce, "revision=" + std::to_string(m_loggedRevision.value));
  }
}

void Daemon::beginShutdown() {
  if (m_shuttingDown) {
    return;
  }
  m_shuttingDown = true;
  m_shutdownDeadline = now() + kMaxStop;
  logEvent(EventId::kProcessStopping, "");
  if (gateway_) {
    logEvent(EventId::kDrainBegun, "jobs=" + std::to_string(gateway_->taskCount()));
    gateway_->beginDrain(now());
  }
  if (controller_) {
    controller_->replica().raft().transferLeadership(now());
  }
  for (const auto& ledger : ledgers_) {
    ledger->replica().raft().transferLeadership(now());
  }
  scheduleIteration();
}

void Daemon::finishShutdown() {
  const bool drained = !gateway_ || (gateway_->isDrained() && caller_api_->openRequestCount() == 0);
  // A leader waits until another replica has taken over, unless it is the only voter.
  const auto mustTransferLeadership = [](const consensus::Replica& replica) {
    return replica.raft().isLeader() && replica.raft().membership().voters.size() > 1;
  };
  bool leading = controller_ && mustTransferLeadership(controller_->replica());
  for (const auto& ledger : ledgers_) {
    leading = leading || mustTransferLeadership(ledger->replica());
  }
  constexpr base::Duration kMaxHandOver = base::seconds(3);
  const bool leadershipTransferTimedOut = now() >= m_shutdownDeadline - kMaxStop + kMaxHandOver;
  if ((drained && (!leading || leadershipTransferTimedOut)) || now() >= m_shutdownDeadline) {
    if (gateway_) {
      logEvent(EventId::kDrainComplete, drained ? "" : "cut=true");
    }
    // Runs the event loop once more so that the last messages are sent.
    m_tickTimer.cancel();
    asio::post(context_, [this] { context_.stop(); });
  }
}

}  // namespace tackpick::runtime
