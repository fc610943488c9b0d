#include "directory/directory_role.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/sorted_cursor.h"
#include "directory/incarnation.h"

namespace tackpick::directory {

using transport::CommandStatus;

namespace {

/// Orders, repair and the like are looked at this often.
constexpr base::Duration kSlowWorkInterval = base::milliseconds(50);
/// ... and where there are many instances less often: it walks all of them several times, which
/// takes under half a microsecond for each, of which this leaves a fortieth.
constexpr base::Duration kSlowWorkPerInstance = base::microseconds(20);
/// Instances whose weights go into one entry of the log: about 150 KB with six models each.
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
      m_loadScheduler(settings.orders),
      m_commandLease(self_.node, settings.commandLease, log.lastIndex(), now),
      usage_(settings.usage, random),
      m_capacity(settings.capacity, random),
      watches_(settings.watches) {}

void DirectoryRole::handle(base::NodeId from, const transport::RaftEnvelope& message,
                           base::TimePoint now) {
  replica_.handle(from, message, now);
}

void DirectoryRole::handle(base::NodeId from, const transport::CommandRequest& message,
                           base::TimePoint now) {
  const Caller caller{from, message.call};
  const auto request = base::decode<DirectoryRequest>(message.payload);
  if (!request) {
    return;
  }
  if (!leads(now)) {
    service_.refuse(caller, CommandStatus::kNotLeader);
    return;
  }
  std::visit([&](const auto& typed) { onRequest(caller, typed, now); }, *request);
}

void DirectoryRole::onLoadCommandOutcome(const LoadCommand& order, LoadCommandOutcome outcome,
                                         base::TimePoint now) {
  if (outcome == LoadCommandOutcome::kAlreadyLoaded) {
    const auto report = reports_.find(order.instance);
    if (report != reports_.end()) {
      std::uint64_t& held = report->second.versions[order.model];
      held = std::max(held, order.version);
    }
  }
  m_loadScheduler.onOutcome(order, outcome, now);
}

void DirectoryRole::onReport(const std::string& instance,
                             const std::map<std::string, std::uint64_t>& versions,
                             base::TimePoint now) {
  const auto report = reports_.find(instance);
  if (report == reports_.end()) {
    return;
  }
  report->second.lastSeenAt = now;
  report->second.versions = versions;
}

void DirectoryRole::tick(base::TimePoint now) {
  replica_.tick(now);
  const auto instances = static_cast<base::Duration::rep>(state_.instances().size());
  const base::Duration interval = std::max(kSlowWorkInterval, kSlowWorkPerInstance * instances);
  if (now - slow_work_at_ < interval || !begun_ || !leads(now)) {
    return;
  }
  slow_work_at_ = now;
  bootstrapLedgers(now);
  repairOwnGroup(now);
  expireInstances(now);
  recordVersions(now);
  releaseOutlived(now);
  for (const std::string& id : m_loadScheduler.dueReports(reports_, now)) {
    const auto record = state_.instances().find(id);
    if (record != state_.instances().end()) {
      actions_.reportsWanted.push_back(record->second);
    }
  }
  stepUsage(now);
  stepCapacity(now);
  proposeCommands(
      m_loadScheduler.step(state_, reports_, modelDemand(now), replica_.raft().currentTerm(), now),
      now);
  recordAssignments(now);
}

void DirectoryRole::stepUsage(base::TimePoint now) {
  if (state_.configuration().tenants.empty()) {
    return;
  }
  duties::UsageReporter::StepInputs stepInputs;
  std::map<std::uint32_t, const HeardNode*> newest;  // a gateway that started anew tells no more
  for (const auto& [node, heard] : nodes_) {
    const HeardNode*& known = newest[base::nodeNumber(node)];
    if (heard.record.role == NodeRole::kGateway &&
        (known == nullptr || heard.lastSeenAt > known->lastSeenAt)) {
      known = &heard;
    }
  }
  for (const auto& [number, heard] : newest) {
    if (heard != nullptr) {
      stepInputs.gateways.insert(heard->record.node);
    }
  }
  stepInputs.warmedUp = now - leader_since_ > settings_.repair.heartbeatTimeout;
  stepInputs.fence = replica_.raft().currentTerm();
  stepInputs.wall = clusterTime(now);
  stepInputs.now = now;
  duties::UsageReporterActions work = usage_.step(state_.usage(), stepInputs);
  for (auto& command : work.commands) {
    std::visit([&](auto& typed) { proposeQuietly(DirectoryCommand{std::move(typed)}, now); },
               command);
  }
  if (work.report) {
    const bool proposed = replica_.propose(
        base::encode(DirectoryCommand{ClaimCommandLease{self_.node}}), now,
        [this, report = *work.report](const base::Bytes* result, consensus::LogIndex) {
          if (result != nullptr) {
            noted_reports_.push_back(report);
          }
        });
    if (!proposed) {
      takeBack({*work.report}, {}, now);
    }
  }
}

void DirectoryRole::stepCapacity(base::TimePoint now) {
  if (!m_capacity.enabled()) {
    return;
  }
  duties::Autoscaler::StepInputs stepInputs;
  stepInputs.warmedUp = now - leader_since_ > settings_.repair.heartbeatTimeout;
  stepInputs.fence = replica_.raft().currentTerm();
  stepInputs.now = now;
  stepInputs.services =
      scaledServices(state_, presentInstances(now), m_openJobs, modelDemand(now), now);
  duties::AutoscalerActions work = m_capacity.step(state_.capacity(), stepInputs);
  for (auto& command : work.commands) {
    std::visit([&](auto& typed) { proposeQuietly(DirectoryCommand{std::move(typed)}, now); },
               command);
  }
  actions_.capacityDecisions.insert(actions_.capacityDecisions.end(), work.decisions.begin(),
                                    work.decisions.end());
  if (work.call) {
    const bool proposed =
        replica_.propose(base::encode(DirectoryCommand{ClaimCommandLease{self_.node}}), now,
                         [this, call = *work.call](const base::Bytes* result, consensus::LogIndex) {
                           if (result != nullptr) {
                             m_notedScaleCalls.push_back(call);
                           }
                         });
    if (!proposed) {
      takeBack({}, {*work.call}, now);
    }
  }
}

void DirectoryRole::setOpenJobs(const jobs::OpenJobsByModel& works, base::TimePoint now) {
  m_loadScheduler.setOpenJobs(works, now);
  m_openJobs = {works, now};
}

void DirectoryRole::proposeCommands(std::vector<LoadCommand> orders, base::TimePoint now) {
  if (orders.empty()) {
    return;
  }
  replica_.propose(
      base::encode(DirectoryCommand{ClaimCommandLease{self_.node}}), now,
      [this, orders = std::move(orders)](const base::Bytes* result, consensus::LogIndex) {
        if (result != nullptr) {
          m_committedCommands.insert(m_committedCommands.end(), orders.begin(), orders.end());
        }
      });
}

std::map<std::string, double> DirectoryRole::modelDemand(base::TimePoint now) const {
  std::map<std::string, double> demand;
  for (const auto& [node, heard] : nodes_) {
    if (now - heard.lastSeenAt < settings_.repair.heartbeatTimeout) {
      for (const auto& [model, work] : heard.recentDemand) {
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
    proposeQuietly(BootstrapLedgers{initialVoters}, now);
  }
}

void DirectoryRole::repairOwnGroup(base::TimePoint now) {
  // Until every node had the time to report, silence means nothing.
  if (now - leader_since_ >= settings_.repair.heartbeatTimeout) {
    service_.repairMembership(nodesOf(NodeRole::kController, now), settings_.repair, now);
  }
}

void DirectoryRole::expireInstances(base::TimePoint now) {
  ForgetInstances forgotten;
  base::SortedCursor reports(reports_);
  for (const auto& [id, record] : state_.instances()) {
    const ReportedEngine* report = reports.find(id);
    const base::TimePoint lastSeenAt = report == nullptr ? leader_since_ : report->lastSeenAt;
    if (now - lastSeenAt > settings_.instanceSilenceLimit) {
      forgotten.ids.push_back(id);
    }
  }
  if (!forgotten.ids.empty()) {
    proposeOnce(forgotten, forgetting_, now);
  }
  std::erase_if(reports_, [&](const auto& entry) {
    return now - entry.second.lastSeenAt > settings_.instanceSilenceLimit;
  });
  std::erase_if(nodes_, [&](const auto& entry) {
    return now - entry.second.lastSeenAt > settings_.nodeSilenceLimit;
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
    proposeOnce(changed, recording_versions_, now);
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
  base::SortedCursor followed(m_loadScheduler.assignments());
  for (const auto& [id, model] : state_.assignments()) {
    if (followed.find(id) == nullptr) {
      changes.changed.push_back({id, {}});
    }
  }
  if (changes.changed.size() > kMaxInstancesPerEntry) {
    changes.changed.resize(kMaxInstancesPerEntry);
  }
  if (!changes.changed.empty()) {
    proposeOnce(changes, m_recordingAssignments, now);
  }
}

void DirectoryRole::proposeOnce(const DirectoryCommand& command, bool& underWay,
                                base::TimePoint now) {
  if (underWay) {
    return;
  }
  underWay = true;
  const bool proposed = replica_.propose(
      base::encode(command), now,
      [&underWay](const base::Bytes* /*result*/, consensus::LogIndex) { underWay = false; });
  underWay = underWay && proposed;
}

void DirectoryRole::beginLeading(base::TimePoint now) {
  for (const auto& [id, versions] : state_.heldVersions()) {
    reports_.try_emplace(id, ReportedEngine{leader_since_, versions});
  }
  m_loadScheduler.reset(m_commandLease.freeFrom(leader_since_), state_.assignments());
  // Which engines are on standby must be known before the first view is told, or all would be news.
  (void)m_loadScheduler.step(state_, reports_, {}, replica_.raft().currentTerm(), now);
  usage_.reset(state_.usage(), m_commandLease.restOfLease());
  m_capacity.reset(state_.capacity(), m_commandLease.restOfLease(), now);
  begun_ = true;
}

DirectoryActions DirectoryRole::finish(base::TimePoint now) {
  replica_.finish(now, actions_.messages);
  observeLeadership(now);
  observeLeaseClaims(now);
  if (!begun_ && leads(now)) {
    beginLeading(now);
  }
  const std::vector<LoadCommand> noted = std::exchange(m_committedCommands, {});
  const std::vector<duties::UsageReport> notedReports = std::exchange(noted_reports_, {});
  const std::vector<duties::ScaleCall> notedScaleCalls = std::exchange(m_notedScaleCalls, {});
  if (leads(now)) {
    actions_.orders.insert(actions_.orders.end(), noted.begin(), noted.end());
    actions_.usageReports = notedReports;
    actions_.scaleCalls = notedScaleCalls;
  } else {
    // It may go on in this term, for instance when it wanted to hand over and nobody took it.
    takeBack(notedReports, notedScaleCalls, now);
  }
  answerWatches(now);
  transport::Outbox answers = std::exchange(service_.outbox(), {});
  actions_.messages.insert(actions_.messages.end(), std::make_move_iterator(answers.begin()),
                           std::make_move_iterator(answers.end()));
  return std::exchange(actions_, {});
}

void DirectoryRole::takeBack(const std::vector<duties::UsageReport>& reports,
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
    begun_ = false;
    m_heartbeatSequences.clear();
    nodes_.clear();
    ledger_voters_.clear();
    clock_.reset();
    m_openJobs = {};
    recording_versions_ = false;
    m_recordingAssignments = false;
    forgetting_ = false;
    m_crashes.reset();
    m_trialsUnderWay.clear();
    views_.reset(raft.currentTerm() << kRevisionTermShift);
    views_at_ = {};
  }
  was_leader_ = raft.isLeader();
  observed_term_ = raft.currentTerm();
}

void DirectoryRole::observeLeaseClaims(base::TimePoint now) {
  for (const auto& [holder, index] : state_.commandLeaseClaims()) {
    m_commandLease.onNote(holder, index, now);
  }
}

}  // namespace tackpick::directory
