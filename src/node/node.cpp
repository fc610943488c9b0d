#include "node/node.h"

#include <algorithm>
#include <utility>

#include "base/random.h"
#include "directory/incarnation.h"
#include "node/control_server.h"
#include "node/gateway_server.h"
#include "node/leader_calls.h"
#include "node/metrics_server.h"
#include "node/open_jobs_sender.h"
#include "node/platform_client.h"
#include "node/tick_interval.h"
#include "runtime/event_loop.h"
#include "runtime/node_identity.h"
#include "runtime/server_limits.h"
#include "storage/posix_file_system.h"
#include "telemetry/log.h"
#include "transport/shared_key.h"

namespace tackpick::node {
namespace {

using telemetry::EventFields;
using telemetry::EventId;
using telemetry::logEvent;

constexpr const char* kIdentityFile = "node";
constexpr const char* kDirectoryFolder = "directory";
constexpr const char* kLedgerFolder = "ledger";

/// Duration above which an iteration of the event loop is logged as slow, for example because of a
/// slow disk.
constexpr base::Duration kSlowIteration = base::milliseconds(200);

/// Time after which a controller's connection fails if sent bytes are not acknowledged.
constexpr base::Duration kUnacknowledgedTimeout = base::milliseconds(500);
/// Time from a send until it arrives if no packet is lost, and inaccuracy of timeouts.
constexpr base::Duration kTransitMargin = base::milliseconds(200);

/// Time for which a replica keeps running after a stop request, so that another can become leader.
constexpr base::Duration kReplicaStopDelay = base::milliseconds(300);

/// Difference between the heartbeat timeout and the heartbeat interval. Allows for late heartbeats
/// and retries at a second controller.
constexpr base::Duration kHeartbeatSlack = base::milliseconds(2800);

std::vector<jobs::EngineInfo> placementEngines(
    const std::vector<directory::InstanceView>& instances) {
  std::vector<jobs::EngineInfo> engines;
  for (const directory::InstanceView& instance : instances) {
    const bool acceptsItems = !instance.record.draining && !instance.loading &&
                              !instance.unresponsive && instance.record.slots > 0 &&
                              !instance.versions.empty();
    engines.push_back({instance.record.id, instance.record.slots, instance.versions,
                       instance.record.zone, acceptsItems, instance.standby,
                       directory::instanceName(instance.record.id)});
  }
  return engines;
}

std::uint32_t randomIncarnation() {
  constexpr std::uint32_t kIncarnationMask = 0xffffffffU;
  return static_cast<std::uint32_t>(runtime::secureRandomUint64() & kIncarnationMask) | 1U;
}

}  // namespace

Node::Node(config::ClusterSettings settings, const edge::ApiAdapter& apiAdapter)
    : settings_(std::move(settings)),
      m_apiAdapter(apiAdapter),
      random_(std::make_unique<base::SeededRandom>(runtime::secureRandomUint64())),
      m_tickTimer(context_),
      signals_(context_, SIGINT, SIGTERM, SIGHUP) {}

Node::~Node() = default;

base::Result<std::unique_ptr<Node>> Node::create(const config::ClusterSettings& settings,
                                                 const edge::ApiAdapter& apiAdapter) {
  std::unique_ptr<Node> node(new Node(settings, apiAdapter));
  BOOST_LEAF_CHECK(node->open());
  return node;
}

base::Result<void> Node::open() {
  BOOST_LEAF_ASSIGN(self_, openIdentity());
  http::UpstreamClientSettings upstream;
  upstream.maxConnections = runtime::maxUpstreamConnections(settings_.limits);
  if (settings_.role == directory::NodeRole::kController) {
    upstream.unacknowledgedTimeout = kUnacknowledgedTimeout;
  }
  upstream_ = std::make_unique<http::UpstreamClient>(context_, upstream);
  createClusterMember();
  if (settings_.role == directory::NodeRole::kController) {
    BOOST_LEAF_CHECK(openDirectory());
  } else if (settings_.role == directory::NodeRole::kLedger) {
    BOOST_LEAF_CHECK(reopenLedger());
  }
  return openNetwork();
}

bool Node::isSeed() const {
  return std::any_of(
      settings_.seeds.begin(), settings_.seeds.end(),
      [&](const transport::Endpoint& seed) { return seed.host == settings_.address; });
}

base::Result<base::NodeId> Node::openIdentity() {
  BOOST_LEAF_AUTO(number, config::parseNodeNumber(settings_.address));
  if (settings_.dataDirectory.empty()) {
    return base::makeNodeId(number, randomIncarnation());
  }
  BOOST_LEAF_AUTO(folder, storage::PosixFileSystem::create(settings_.dataDirectory));
  BOOST_LEAF_AUTO(names, folder->list());
  if (std::find(names.begin(), names.end(), kIdentityFile) != names.end()) {
    BOOST_LEAF_AUTO(bytes, folder->read(kIdentityFile));
    const auto stored = base::decode<runtime::NodeIdentity>(bytes);
    if (!stored || stored->cluster != settings_.cluster ||
        base::nodeNumber({stored->node}) != number) {
      return base::fail(base::ErrorCode::kWrongIdentity,
                        settings_.dataDirectory + ": belongs to another node or cluster");
    }
    return base::NodeId{stored->node};
  }
  // The initial controllers have incarnation 0, so that their ids can be derived from the
  // settings. Any other node with an empty folder is new and must not vote under the id of an
  // earlier node.
  const bool isInitialVoter =
      settings_.role == directory::NodeRole::kController && settings_.bootstrap && isSeed();
  const base::NodeId self = base::makeNodeId(number, isInitialVoter ? 0 : randomIncarnation());
  const runtime::NodeIdentity identity{settings_.cluster, self.value, 0};
  BOOST_LEAF_CHECK(storage::writeFileAtomically(*folder, kIdentityFile, base::encode(identity)));
  return self;
}

std::vector<base::NodeId> Node::seedNodes() const {
  std::vector<base::NodeId> seeds;
  for (const transport::Endpoint& seed : settings_.seeds) {
    base::recover(
        [&]() -> base::Result<int> {
          BOOST_LEAF_AUTO(number, config::parseNodeNumber(seed.host));
          seeds.push_back(base::makeNodeId(number, 0));
          return 0;
        },
        [](const base::Error&) { return 0; });
  }
  return seeds;
}

directory::NodeRecord Node::ownRecord() const {
  directory::NodeRecord record;
  record.node = self_;
  record.role = settings_.role;
  record.name = settings_.name;
  record.zone = settings_.zone;
  if (settings_.role == directory::NodeRole::kController) {
    record.controlAddress = settings_.control.host + ":" + std::to_string(settings_.control.port);
  }
  return record;
}

void Node::createClusterMember() {
  cluster::ClusterMemberSettings memberSettings;
  memberSettings.directoryGroup = directory::kDirectoryGroup;
  memberSettings.ledgerGroup = directory::kLedgerGroup;
  memberSettings.seeds = seedNodes();
  m_clusterMember = std::make_unique<cluster::ClusterMember>(
      ownRecord(), memberSettings, base::CallId{runtime::secureRandomUint64()});
  m_clusterMember->setClock(wall_clock_);
  m_clusterMember->onView([this](const directory::DirectoryView& view) { onView(view); });
  m_clusterMember->onConfiguration([this](const directory::Configuration& newest) {
    if (m_gatewayServer) {
      m_gatewayServer->onConfiguration(newest);
    }
    if (ledger_) {
      ledger_->setTenantPriorities(jobs::TenantPriorities(newest.tenants));
    }
  });
  m_clusterMember->setOpenJobsSource([this]() -> std::optional<jobs::OpenJobsByModel> {
    return ledger_ ? ledger_->openJobs(now()) : std::nullopt;
  });
  m_clusterMember->setLedgerMembershipSource([this]() -> std::optional<consensus::Membership> {
    return ledger_ ? ledger_->stableMembership(now()) : std::nullopt;
  });
}

base::Result<void> Node::openLog(const std::string& name, base::GroupId group,
                                 const std::set<base::NodeId>& initialVoters) {
  BOOST_LEAF_AUTO(folder, storage::PosixFileSystem::create(settings_.dataDirectory + "/" + name));
  folders_.push_back(std::move(folder));
  consensus::Membership initial;
  if (initialVoters.contains(self_)) {
    initial.voters = initialVoters;
  }
  const storage::DataDirectoryIdentity identity{settings_.cluster, self_, group};
  disk_thread_ = std::make_unique<storage::DiskThread>(
      [this] { asio::post(context_, [this] { scheduleIteration(); }); });
  BOOST_LEAF_ASSIGN(
      log_, storage::SegmentedLog::open(*folders_.back(), identity, initial, disk_thread_.get()));
  return {};
}

base::Result<void> Node::openDirectory() {
  const std::vector<base::NodeId> seeds = seedNodes();
  BOOST_LEAF_CHECK(openLog(kDirectoryFolder, directory::kDirectoryGroup,
                           std::set<base::NodeId>(seeds.begin(), seeds.end())));
  directory::DirectorySettings settings;
  settings.repair.targetSize = 2 * settings_.toleratedLosses + 1;
  settings.initialLedgerVoters = 2 * settings_.toleratedLosses + 1;
  settings.loads.concurrentLoads = settings_.concurrentLoads;
  settings.overdueAfter = settings_.instanceHeartbeatInterval + kHeartbeatSlack;
  settings.loads.heartbeatTimeout = settings.overdueAfter;
  constexpr base::Duration kCommandLeaseMargin = base::milliseconds(100);
  settings.commandLease.duration = settings_.commandLease + kCommandLeaseMargin;
  settings.commandLease.maxTransitTime = kUnacknowledgedTimeout + kTransitMargin;
  settings.commandLease.enginesEnforceFences = settings_.enginesEnforceFences;
  constexpr double kMicrosPerSecond = 1e6;
  // Usage reports and scaling calls share the rate limit with other callers.
  constexpr double kUsageRateShare = 0.5;
  constexpr double kCapacityRateShare = 0.25;
  settings.usage.windowLength = settings_.usageWindow;
  settings.usage.reportDelay = settings_.usageReportDelay;
  settings.usage.minCallInterval = base::Duration(static_cast<base::Duration::rep>(
      kMicrosPerSecond / (settings_.platformCallsPerSecond * kUsageRateShare)));
  settings.capacity.plan.mode = settings_.capacityMode;
  settings.capacity.minCallInterval = base::Duration(static_cast<base::Duration::rep>(
      kMicrosPerSecond / (settings_.platformCallsPerSecond * kCapacityRateShare)));
  directory_ = std::make_unique<directory::DirectoryRole>(ownRecord(), settings, *log_, *random_,
                                                          wall_clock_, now());
  m_leaderCalls = std::make_unique<LeaderCalls>(*upstream_, *directory_, clock_);
  m_platformClient = std::make_unique<PlatformClient>(*this);
  return {};
}

base::Result<void> Node::reopenLedger() {
  BOOST_LEAF_AUTO(folder,
                  storage::PosixFileSystem::create(settings_.dataDirectory + "/" + kLedgerFolder));
  BOOST_LEAF_AUTO(names, folder->list());
  const bool initialised =
      std::find(names.begin(), names.end(), storage::kIdentityFileName) != names.end();
  // A new ledger is opened when a view names the initial voters.
  return initialised ? openLedger({}) : base::Result<void>{};
}

base::Result<void> Node::openLedger(const std::set<base::NodeId>& initialVoters) {
  BOOST_LEAF_CHECK(openLog(kLedgerFolder, directory::kLedgerGroup, initialVoters));
  jobs::JobRoleSettings settings;
  settings.repair.targetSize = 2 * settings_.toleratedLosses + 1;
  settings.retention = settings_.jobRetention;
  settings.maxItemBytes = runtime::maxItemBytes(settings_.limits);
  settings.maxIterationReplyBytes = runtime::maxReplyBytes(settings_.limits);
  ledger_ = std::make_unique<jobs::JobRole>(self_, directory::kLedgerGroup, settings, *log_,
                                            *random_, now());
  ledger_->setTenantPriorities(jobs::TenantPriorities(m_clusterMember->configuration().tenants));
  m_openJobsSender = std::make_unique<OpenJobsSender>(*this);
  return {};
}

base::Result<void> Node::openNetwork() {
  transport::PeerNetworkSettings network;
  network.self = self_;
  // Machines of a self-formed cluster share no secret. The key only rejects connections of other
  // clusters.
  network.key = "self-formed cluster " + settings_.cluster;
  network.listen = {settings_.address, settings_.internalPort};
  network.derivedPeerPort = settings_.internalPort;
  network.maxInboundHandshakes = runtime::maxPeerHandshakes(settings_.limits);
  network.maxReceivingBytes = runtime::maxPeerMessageBytes(settings_.limits);
  network.maxQueuedBytes = runtime::maxPeerMessageBytes(settings_.limits);
  network.onConnectionLost = [this](std::uint32_t number) { onPeerLost(number); };
  try {
    network_ = std::make_unique<transport::PeerNetwork>(
        context_, network, [this](base::NodeId from, transport::InternalMessage message) {
          onMessage(from, std::move(message));
        });
    if (settings_.role == directory::NodeRole::kController) {
      m_controlServer = std::make_unique<ControlServer>(*this);
    } else if (settings_.role == directory::NodeRole::kGateway) {
      m_gatewayServer = std::make_unique<GatewayServer>(*this);
    }
    if (!settings_.metrics.host.empty()) {
      m_metricsServer = std::make_unique<MetricsServer>(*this);
    }
  } catch (const std::exception& error) {
    return base::fail(base::ErrorCode::kNetwork, std::string("cannot listen: ") + error.what());
  }
  return {};
}

int Node::run() {
  logEvent(EventId::kProcessStarted, EventFields()
                                         .add("node", self_.value)
                                         .add("name", settings_.name)
                                         .add("zone", settings_.zone)
                                         .text());
  waitForSignal();
  tick();
  const bool completed = runtime::runEventLoop(context_);
  logEvent(EventId::kProcessStopped, "");
  return completed && !failed_ ? 0 : 1;
}

void Node::waitForSignal() {
  signals_.async_wait([this](const asio::error_code& error, int signal) {
    if (error) {
      return;
    }
    if (signal == SIGHUP) {
      // SIGHUP is only logged: no setting may change at run time.
      logEvent(EventId::kSettingsChanged, EventFields().add("name", settings_.name).text());
    } else {
      beginStop();
    }
    waitForSignal();
  });
}

void Node::beginStop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  m_stopStartedAt = now();
  logEvent(EventId::kProcessStopping, "");
  if (m_gatewayServer) {
    m_gatewayServer->beginStop();
  }
  if (directory_) {
    directory_->prepareStop(now());
  }
  if (ledger_) {
    ledger_->prepareStop(now());
  }
  scheduleIteration();
}

bool Node::stopComplete() const {
  if (m_gatewayServer) {
    return m_gatewayServer->stopComplete();
  }
  return now() - m_stopStartedAt > kReplicaStopDelay;
}

void Node::tick() {
  const base::TimePoint at = now();
  if (directory_) {
    directory_->tick(at);
  }
  if (ledger_) {
    ledger_->tick(at);
    m_openJobsSender->tick(*ledger_);
  }
  m_clusterMember->tick(at);
  if (m_controlServer) {
    m_controlServer->tick();
  }
  if (m_gatewayServer) {
    m_gatewayServer->tick();
  }
  runIteration();
  logStateChanges();
  telemetry::flushLog();
  if (failed_ || (stopping_ && stopComplete())) {
    context_.stop();
    return;
  }
  m_tickTimer.expires_after(kTickInterval);
  m_tickTimer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      tick();
    }
  });
}

void Node::scheduleIteration() {
  if (m_iterationScheduled) {
    return;
  }
  m_iterationScheduled = true;
  asio::post(context_, [this] { runIteration(); });
}

void Node::runIteration() {
  m_iterationScheduled = false;
  const base::TimePoint startedAt = now();
  if (directory_) {
    m_leaderCalls->abortExpired();
    directory::DirectoryActions actions = directory_->finish(now());
    sendAll(std::move(actions.messages));
    for (const directory::LoadCommand& command : actions.loadCommands) {
      sendLoadCommand(command);
    }
    for (const directory::InstanceRecord& engine : actions.enginesToPoll) {
      queryVersions(engine);
    }
    for (const duties::UsageReport& report : actions.usageReports) {
      sendUsageReport(report);
    }
    logCapacityDecisions(actions.capacityDecisions);
    for (const duties::ScaleCall& call : actions.scaleCalls) {
      sendScaleCall(call);
    }
  }
  if (ledger_) {
    sendAll(ledger_->finish(now()));
  }
  sendAll(m_clusterMember->takeMessages());
  const base::Duration took = now() - startedAt;
  metrics_.observe(telemetry::HistogramId::kTurnTime, took);
  if (took > kSlowIteration) {
    logEvent(EventId::kSlowTurn, EventFields().add("took_ms", took).text());
  }
}

void Node::sendAll(transport::Outbox outbox) {
  for (transport::OutgoingMessage& outgoing : outbox) {
    network_->send(outgoing.to, std::move(outgoing.message));
  }
}

void Node::onMessage(base::NodeId from, transport::InternalMessage message) {
  const base::TimePoint at = now();
  if (const auto* raft = std::get_if<transport::RaftEnvelope>(&message)) {
    if (directory_ && raft->group == directory::kDirectoryGroup) {
      directory_->handle(from, *raft, at);
    } else if (ledger_ && raft->group == directory::kLedgerGroup) {
      ledger_->handle(from, *raft, at);
    }
  } else if (auto* request = std::get_if<transport::CommandRequest>(&message)) {
    if (directory_ && request->group == directory::kDirectoryGroup) {
      directory_->handle(from, std::move(*request), at);
    } else if (ledger_ && request->group == directory::kLedgerGroup) {
      ledger_->handle(from, std::move(*request), at);
    }
  } else if (const auto* response = std::get_if<transport::CommandResponse>(&message)) {
    m_clusterMember->onResponse(*response, at);
  }
  scheduleIteration();
}

void Node::onPeerLost(std::uint32_t number) {
  m_clusterMember->onPeerLost(number);
  if (ledger_) {
    ledger_->onPeerLost(number, now());
  }
}

void Node::onView(const directory::DirectoryView& view) {
  if (m_gatewayServer) {
    m_gatewayServer->onView(view);
  }
  if (settings_.role != directory::NodeRole::kLedger) {
    return;
  }
  if (!ledger_ && !view.initialLedgerVoters.empty()) {
    failed_ = base::recover(
        [&]() -> base::Result<bool> {
          BOOST_LEAF_CHECK(openLedger(view.initialLedgerVoters));
          m_clusterMember->requestFullView();  // instances in earlier views were not stored
          return false;
        },
        [](const base::Error& error) {
          logEvent(EventId::kDataFolderRefused, error.message);
          return true;
        });
  }
  if (!ledger_) {
    return;
  }
  if (view.isFull) {
    ledger_->setEngines(placementEngines(view.instances));
  } else {
    ledger_->changeEngines(placementEngines(view.instances), view.removed);
  }
  if (!view.allNodesSeen) {
    return;
  }
  std::vector<cluster::GroupNode> nodes;
  for (const directory::LedgerSummary& summary : view.ledgers) {
    nodes.push_back({summary.node, summary.silence, summary.retiring});
  }
  ledger_->setNodes(std::move(nodes));
}

}  // namespace tackpick::node
