#include "directory/directory_role.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/release_memory.h"
#include "base/sorted_cursor.h"
#include "directory/incarnation.h"

namespace tackpick::directory {

using transport::CommandStatus;

namespace {

/// Interval of maintenance: load commands, group repair, expiry of instances.
constexpr base::Duration kMaintenanceInterval = base::milliseconds(50);
/// Minimum interval of maintenance per registered instance, which limits its share of the CPU time
/// in large clusters to a fortieth: it takes under half a microsecond per instance.
constexpr base::Duration kMaintenanceIntervalPerInstance = base::microseconds(20);
/// Maximum number of instances in one RecordVersions or RecordAssignments command. Such a command
/// has about 150 KB if each instance has six models.
constexpr std::size_t kMaxInstancesPerEntry = 1000;

}  // namespace

DirectoryRole::DirectoryRole(NodeRecord self, DirectorySettings settings, consensus::LogStore& log,
                             base::Random& random, const base::WallTimeSource& wall,
                             base::TimePoint now)
    : self_(std::move(self)),
      settings_(settings),
      wall_(wall),
      replica_(self_.node, kDirectoryGroup, settings.replica, log, state_, random, now),
      service_(self_.node, replica_),
      m_loadScheduler(settings.loads),
      m_commandLease(self_.node, settings.commandLease, log.lastIndex(), now),
      usage_(settings.usage, random),
      m_capacity(settings.capacity, random),
      m_watchQueue(settings.watches) {}

void DirectoryRole::handle(base::NodeId from, const transport::RaftEnvelope& message,
                           base::TimePoint now) {
  replica_.handle(from, message, now);
}

void DirectoryRole::handle(base::NodeId from, transport::CommandRequest message,
                           base::TimePoint now) {
  const Caller caller{from, message.call};
  auto request = base::decode<DirectoryRequest>(message.payload);
  base::releaseMemory(message.payload);
  if (!request) {
    return;
  }
  if (!holdsLeaderLease(now)) {
    service_.reject(caller, CommandStatus::kNotLeader);
    return;
  }
  std::visit([&](auto& typed) { onRequest(caller, typed, now); }, *request);
}

void DirectoryRole::onLoadCommandOutcome(const LoadCommand& command, LoadCommandOutcome outcome,
                                         base::TimePoint now) {
  if (outcome == LoadCommandOutcome::kAlreadyLoaded) {
    const auto report = reports_.find(command.instance);
    if (report != reports_.end()) {
      std::uint64_t& held = report->second.versions[command.model];
      held = std::max(held, command.version);
    }
  }
  m_loadScheduler.onOutcome(command, outcome, now);
}

void DirectoryRole::onVersionsPolled(const std::string& instance,
                                     const std::map<std::string, std::uint64_t>& versions,
                                     base::TimePoint now) {
  const auto report = reports_.find(instance);
  if (report == reports_.end()) {
    return;
  }
  report->second.lastSeenAt = now;
  report->second.versions = versions;
}

std::optional<consensus::Term> DirectoryRole::heldTerm(base::TimePoint now) const {
  const consensus::RaftConsensus& raft = replica_.raft();
  return raft.hasLease(now) ? std::optional(raft.currentTerm()) : std::nullopt;
}

void DirectoryRole::tick(base::TimePoint now) {
  replica_.tick(now);
  const auto instances = static_cast<base::Duration::rep>(state_.instances().size());
  const base::Duration interval =
      std::max(kMaintenanceInterval, kMaintenanceIntervalPerInstance * instances);
  if (now - m_maintenanceAt < interval || !m_leaderReady || !holdsLeaderLease(now)) {
    return;
  }
  m_maintenanceAt = now;
  bootstrapLedgers(now);
  repairOwnGroup(now);
  expireInstances(now);
  recordVersions(now);
  releaseExpiredHolds(now);
  for (const std::string& id : m_loadScheduler.duePolls(reports_, now)) {
    const auto record = state_.instances().find(id);
    if (record != state_.instances().end()) {
      actions_.enginesToPoll.push_back(record->second);
    }
  }
  updateUsage(now);
  updateCapacity(now);
  proposeCommands(
      m_loadScheduler.step(state_, reports_, modelDemand(now), replica_.raft().currentTerm(), now),
      now);
  recordAssignments(now);
}

void DirectoryRole::updateUsage(base::TimePoint now) {
  if (state_.configuration().tenants.empty()) {
    return;
  }
  duties::UsageReporter::StepInputs input;
  std::map<std::uint32_t, const KnownNode*>
      latestByNumber;  // only the latest incarnation of a gateway reports usage
  for (const auto& [node, knownNode] : nodes_) {
    const KnownNode*& known = latestByNumber[base::nodeNumber(node)];
    if (knownNode.record.role == NodeRole::kGateway &&
        (known == nullptr || knownNode.lastSeenAt > known->lastSeenAt)) {
      known = &knownNode;
    }
  }
  for (const auto& [number, knownNode] : latestByNumber) {
    if (knownNode != nullptr) {
      input.gateways.insert(knownNode->record.node);
    }
  }
  input.warmedUp = allNodesSeen(now);
  input.fence = replica_.raft().currentTerm();
  input.wall = clusterTime(now);
  input.now = now;
  duties::UsageReporterActions stepActions = usage_.step(state_.usage(), input);
  for (auto& command : stepActions.commands) {
    std::visit([&](auto& typed) { proposeWithoutReply(DirectoryCommand{std::move(typed)}, now); },
               command);
  }
  if (stepActions.report) {
    const bool proposed = replica_.propose(
        base::encode(DirectoryCommand{ClaimCommandLease{self_.node}}), now,
        [this, report = *stepActions.report](const base::Bytes* result, consensus::LogIndex) {
          if (result != nullptr) {
            m_committedReports.push_back(report);
          }
        });
    if (!proposed) {
      requeueUnsent({*stepActions.report}, {}, now);
    }
  }
}

void DirectoryRole::updateCapacity(base::TimePoint now) {
  if (!m_capacity.enabled()) {
    return;
  }
  duties::Autoscaler::StepInputs input;
  input.warmedUp = allNodesSeen(now);
  input.fence = replica_.raft().currentTerm();
  input.now = now;
  input.services = scaledServices(state_, currentInstances(now), m_openJobs, modelDemand(now), now);
  duties::AutoscalerActions stepActions = m_capacity.step(state_.capacity(), input);
  for (auto& command : stepActions.commands) {
    std::visit([&](auto& typed) { proposeWithoutReply(DirectoryCommand{std::move(typed)}, now); },
               command);
  }
  actions_.capacityDecisions.insert(actions_.capacityDecisions.end(), stepActions.decisions.begin(),
                                    stepActions.decisions.end());
  if (stepActions.call) {
    const bool proposed = replica_.propose(
        base::encode(DirectoryCommand{ClaimCommandLease{self_.node}}), now,
        [this, call = *stepActions.call](const base::Bytes* result, consensus::LogIndex) {
          if (result != nullptr) {
            m_committedScaleCalls.push_back(call);
          }
        });
    if (!proposed) {
      requeueUnsent({}, {*stepActions.call}, now);
    }
  }
}

void DirectoryRole::setOpenJobs(const jobs::OpenJobsByModel& openJobs, base::TimePoint now) {
  m_loadScheduler.setOpenJobs(openJobs, now);
  m_openJobs = {openJobs, now};
}

void DirectoryRole::proposeCommands(std::vector<LoadCommand> commands, base::TimePoint now) {
  if (commands.empty()) {
    return;
  }
  replica_.propose(
      base::encode(DirectoryCommand{ClaimCommandLease{self_.node}}), now,
      [this, commands = std::move(commands)](const base::Bytes* result, consensus::LogIndex) {
        if (result != nullptr) {
          m_committedCommands.insert(m_committedCommands.end(), commands.begin(), commands.end());
        }
      });
}

std::map<std::string, double> DirectoryRole::modelDemand(base::TimePoint now) const {
  std::map<std::string, double> demand;
  for (const auto& [node, knownNode] : nodes_) {
    if (now - knownNode.lastSeenAt < settings_.repair.heartbeatTimeout) {
      for (const auto& [model, work] : knownNode.recentDemand) {
        demand[model] += work;
      }
    }
  }
  return demand;
}

void DirectoryRole::bootstrapLedgers(base::TimePoint now) {
  if (!state_.initialLedgerVoters().empty()) {
    return;
  }
  std::set<base::NodeId> initialVoters;
  for (const cluster::GroupNode& node : nodesOf(NodeRole::kLedger, now)) {
    if (node.sinceHeartbeat < settings_.repair.heartbeatTimeout &&
        initialVoters.size() < settings_.initialLedgerVoters) {
      initialVoters.insert(node.node);
    }
  }
  const bool waited = now - leader_since_ > settings_.bootstrapTimeout;
  if (initialVoters.size() == settings_.initialLedgerVoters || (waited && !initialVoters.empty())) {
    proposeWithoutReply(BootstrapLedgers{initialVoters}, now);
  }
}

void DirectoryRole::repairOwnGroup(base::TimePoint now) {
  // Nodes have not had time to report to a new leader yet.
  if (allNodesSeen(now)) {
    service_.repairMembership(nodesOf(NodeRole::kController, now), settings_.repair, now);
  }
}

void DirectoryRole::expireInstances(base::TimePoint now) {
  ExpireInstances expired;
  base::SortedCursor reports(reports_);
  for (const auto& [id, record] : state_.instances()) {
    const ReportedEngine* report = reports.find(id);
    const base::TimePoint lastSeenAt = report == nullptr ? leader_since_ : report->lastSeenAt;
    if (now - lastSeenAt > settings_.instanceTimeout) {
      expired.ids.push_back(id);
    }
  }
  if (!expired.ids.empty()) {
    proposeIfIdle(expired, m_expiringInstances, now);
  }
  std::erase_if(reports_, [&](const auto& entry) {
    return now - entry.second.lastSeenAt > settings_.instanceTimeout;
  });
  std::erase_if(m_replacedInstances, [&](const auto& entry) {
    return now - entry.second.lastSeenAt > settings_.instanceTimeout;
  });
  std::erase_if(nodes_, [&](const auto& entry) {
    return now - entry.second.lastSeenAt > settings_.nodeTimeout;
  });
}

void DirectoryRole::recordVersions(base::TimePoint now) {
  RecordVersions changed;
  base::SortedCursor held(state_.heldVersions());
  base::SortedCursor registered(state_.instances());
  for (const auto& [id, report] : reports_) {
    const auto* written = held.find(id);
    const bool known = written != nullptr && *written == report.versions;
    if (known || report.versions.empty() || registered.find(id) == nullptr) {
      continue;
    }
    changed.instances.push_back({id, report.versions});
    if (changed.instances.size() == kMaxInstancesPerEntry) {
      break;
    }
  }
  if (!changed.instances.empty()) {
    proposeIfIdle(changed, recording_versions_, now);
  }
}

void DirectoryRole::recordAssignments(base::TimePoint now) {
  RecordAssignments changes;
  base::SortedCursor written(state_.assignments());
  for (const auto& [id, model] : m_loadScheduler.assignments()) {
    const std::string* known = written.find(id);
    if (known == nullptr || *known != model) {
      changes.changed.push_back({id, model});
    }
  }
  base::SortedCursor currentAssignments(m_loadScheduler.assignments());
  for (const auto& [id, model] : state_.assignments()) {
    if (currentAssignments.find(id) == nullptr) {
      changes.changed.push_back({id, {}});
    }
  }
  if (changes.changed.size() > kMaxInstancesPerEntry) {
    changes.changed.resize(kMaxInstancesPerEntry);
  }
  if (!changes.changed.empty()) {
    proposeIfIdle(changes, m_recordingAssignments, now);
  }
}

void DirectoryRole::proposeIfIdle(const DirectoryCommand& command, bool& inFlight,
                                  base::TimePoint now) {
  if (inFlight) {
    return;
  }
  inFlight = true;
  const bool proposed = replica_.propose(
      base::encode(command), now,
      [&inFlight](const base::Bytes* /*result*/, consensus::LogIndex) { inFlight = false; });
  inFlight = inFlight && proposed;
}

void DirectoryRole::initializeLeader(base::TimePoint now) {
  for (const auto& [id, versions] : state_.heldVersions()) {
    reports_.try_emplace(id, ReportedEngine{leader_since_, versions});
  }
  m_loadScheduler.reset(m_commandLease.earliestCommandTime(leader_since_), state_.assignments());
  // Standby engines must be determined before the first view is sent; the next view would otherwise
  // change all of them.
  (void)m_loadScheduler.step(state_, reports_, {}, replica_.raft().currentTerm(), now);
  usage_.reset(state_.usage(), m_commandLease.leaseExpiry());
  m_capacity.reset(state_.capacity(), m_commandLease.leaseExpiry(), now);
  m_leaderReady = true;
}

DirectoryActions DirectoryRole::finish(base::TimePoint now) {
  replica_.finish(now, actions_.messages);
  observeLeadership(now);
  observeLeaseClaims(now);
  if (!m_leaderReady && holdsLeaderLease(now)) {
    initializeLeader(now);
  }
  const std::vector<LoadCommand> committedCommands = std::exchange(m_committedCommands, {});
  const std::vector<duties::UsageReport> committedReports = std::exchange(m_committedReports, {});
  const std::vector<duties::ScaleCall> committedScaleCalls =
      std::exchange(m_committedScaleCalls, {});
  if (holdsLeaderLease(now)) {
    actions_.loadCommands.insert(actions_.loadCommands.end(), committedCommands.begin(),
                                 committedCommands.end());
    actions_.usageReports = committedReports;
    actions_.scaleCalls = committedScaleCalls;
  } else {
    // This controller may hold the lease again later in this term.
    requeueUnsent(committedReports, committedScaleCalls, now);
  }
  replyToWatches(now);
  transport::Outbox replies = std::exchange(service_.outbox(), {});
  actions_.messages.insert(actions_.messages.end(), std::make_move_iterator(replies.begin()),
                           std::make_move_iterator(replies.end()));
  return std::exchange(actions_, {});
}

void DirectoryRole::requeueUnsent(const std::vector<duties::UsageReport>& reports,
                                  const std::vector<duties::ScaleCall>& scaleCalls,
                                  base::TimePoint now) {
  for (const duties::UsageReport& report : reports) {
    usage_.onOutcome(report, duties::UsageReportOutcome::kUnknown, now);
  }
  for (const duties::ScaleCall& call : scaleCalls) {
    m_capacity.onOutcome(call, duties::ScaleOutcome::kThrottled, now);
  }
}

void DirectoryRole::observeLeadership(base::TimePoint now) {
  const consensus::RaftConsensus& raft = replica_.raft();
  const bool newTerm = raft.isLeader() && (!was_leader_ || observed_term_ != raft.currentTerm());
  if (newTerm) {
    leader_since_ = now;
    service_.endTerm();
    reports_.clear();
    m_leaderReady = false;
    m_heartbeatSequences.clear();
    m_replacedInstances.clear();
    nodes_.clear();
    ledger_voters_.clear();
    clock_.reset();
    m_openJobs = {};
    recording_versions_ = false;
    m_recordingAssignments = false;
    m_expiringInstances = false;
    m_crashes.reset();
    m_pendingTrials.clear();
    m_viewHistory.reset(raft.currentTerm() << kRevisionTermShift);
    m_viewsUpdatedAt = {};
  }
  was_leader_ = raft.isLeader();
  observed_term_ = raft.currentTerm();
}

void DirectoryRole::observeLeaseClaims(base::TimePoint now) {
  for (const auto& [holder, index] : state_.commandLeaseClaims()) {
    m_commandLease.onClaim(holder, index, now);
  }
}

}  // namespace tackpick::directory
