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
/// Views and watches are looked at this often, and where there are many instances less often: to
/// compare one with what was told takes half a microsecond, of which this leaves a
/// twentieth.
constexpr base::Duration kViewInterval = base::milliseconds(5);
constexpr base::Duration kViewIntervalPerInstance = base::microseconds(10);
/// Instances whose weights go into one entry of the log: about 150 KB with six models each.
constexpr std::size_t kMostVersionsAnEntry = 1000;
/// View revisions of different leaders must not be confused.
constexpr unsigned kTermShift = 40;

}  // namespace

DirectoryRole::DirectoryRole(NodeRecord self, DirectorySettings settings, consensus::LogStore& log,
                             base::Random& random, const base::WallTimeSource& wall,
                             base::TimePoint now)
    : self_(std::move(self)),
      settings_(settings),
      wall_(wall),
      replica_(self_.node, kDirectoryGroup, settings.replica, log, state_, random, now),
      service_(self_.node, replica_),
      orders_(settings.orders),
      order_lease_(self_.node, settings.orderLease, log.lastIndex(), now),
      usage_(settings.usage, random),
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

void DirectoryRole::onRequest(const Caller& caller, const ReplaceConfiguration& request,
                              base::TimePoint now) {
  std::string problem;
  const bool valid = base::recover(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_CHECK(validate(request.configuration));
        return true;
      },
      [&](const base::Error& error) {
        problem = error.message;
        return false;
      });
  if (!valid) {
    reply(caller, DirectoryStatus::kInvalid, problem);
    return;
  }
  if (request.configuration.version <= state_.configuration().version) {
    reply(caller, DirectoryStatus::kDone);
    return;
  }
  proposeFor(caller, request, {}, now);
}

void DirectoryRole::onRequest(const Caller& caller, const ReadConfiguration& /*request*/,
                              base::TimePoint /*now*/) {
  if (state_.configuration().version == 0) {
    reply(caller, DirectoryStatus::kNotFound);
    return;
  }
  reply(caller, DirectoryStatus::kDone, state_.configuration().document);
}

void DirectoryRole::onRequest(const Caller& caller, const InstanceBeat& request,
                              base::TimePoint now) {
  const std::string& id = request.record.id;
  if (state_.hasLeft(id)) {
    reply(caller, DirectoryStatus::kDone);
    return;
  }
  const auto sequence = beat_sequences_.find(id);
  const bool late = sequence != beat_sequences_.end() && request.sequence <= sequence->second;
  const auto known = state_.instances().find(id);
  const bool registered =
      known != state_.instances().end() && confirmsRegistration(known->second, request.record);
  if (!late) {
    observeReport(request, now);
  }
  if (registered || (late && !request.record.leaving)) {
    reply(caller, DirectoryStatus::kDone);
    return;
  }
  proposeFor(caller, RegisterInstance{request.record}, {}, now);
}

void DirectoryRole::onRequest(const Caller& caller, const RelayBeats& request,
                              base::TimePoint now) {
  for (const RelayedBeat& beat : request.beats) {
    std::uint64_t& sequence = beat_sequences_[beat.id];
    if (beat.sequence <= sequence || !state_.instances().contains(beat.id)) {
      continue;
    }
    sequence = beat.sequence;
    const auto [report, added] = reports_.try_emplace(beat.id);
    report->second.heardAt = now;
    if (beat.versions) {
      report->second.versions = *beat.versions;
    } else if (const auto held = state_.heldVersions().find(beat.id);
               added && held != state_.heldVersions().end()) {
      report->second.versions = held->second;
    }
  }
  reply(caller, DirectoryStatus::kDone);
}

void DirectoryRole::observeReport(const InstanceBeat& beat, base::TimePoint now) {
  beat_sequences_[beat.record.id] = beat.sequence;
  ReportedEngine& report = reports_[beat.record.id];
  report.heardAt = now;
  report.versions = beat.versions;
}

void DirectoryRole::onRequest(const Caller& caller, const InstanceLeaves& request,
                              base::TimePoint now) {
  const bool tellsStart = Incarnation::parse(request.id).born != 0;
  const std::string id =
      tellsStart ? request.id : state_.newestIncarnation(request.id).value_or(request.id);
  if (state_.hasLeft(id)) {
    reply(caller, DirectoryStatus::kDone);
    return;
  }
  proposeFor(caller, RemoveInstance{id, true}, {}, now);
}

void DirectoryRole::onRequest(const Caller& caller, const PublishVersion& request,
                              base::TimePoint now) {
  const auto known = state_.versions().find(request.model);
  if (known != state_.versions().end() && known->second >= request.version) {
    reply(caller, DirectoryStatus::kDone);
    return;
  }
  proposeFor(caller, request, {}, now);
}

void DirectoryRole::onRequest(const Caller& caller, const Watch& request, base::TimePoint now) {
  nodes_[request.node.node] = {request.node, now, request.recentWork};
  if (request.clock != base::WallTime{}) {
    clock_.onTold(request.node.node, request.clock, now);
  }
  if (request.node.role == NodeRole::kGateway) {
    usage_.onTold(request.node.node, request.usage);
  }
  if (request.ledgerMembership) {
    ledger_voters_ = request.ledgerMembership->voters;
    completeRetirements(*request.ledgerMembership, now);
  }
  orders_.noteOpenItems(request.openItems, now);
  watches_.add(caller, request, now);
}

void DirectoryRole::onRequest(const Caller& caller, const TellUsage& request,
                              base::TimePoint /*now*/) {
  usage_.onTold(caller.node, request.usage);
  reply(caller, DirectoryStatus::kDone);
}

void DirectoryRole::completeRetirements(const consensus::Membership& ledgers, base::TimePoint now) {
  for (const auto& [name, retirement] : state_.retirements()) {
    if (retirement != Retirement::kRunning) {
      continue;
    }
    const bool member =
        std::any_of(nodes_.begin(), nodes_.end(), [&, &wanted = name](const auto& entry) {
          return entry.second.record.name == wanted && ledgers.contains(entry.first);
        });
    // A group that cannot grow, since no other ledger is heard, must not hold a machine for ever.
    const bool settled =
        ledgers.voters.size() >= settings_.repair.targetSize ||
        !cluster::canGrow(ledgers, nodesOf(NodeRole::kLedger, now), settings_.repair);
    if (!member && settled) {
      proposeQuietly(CompleteRetirement{name}, now);
    }
  }
}

void DirectoryRole::onRequest(const Caller& caller, const RetireNode& request,
                              base::TimePoint now) {
  const auto begun = state_.retirements().find(request.name);
  if (begun != state_.retirements().end()) {
    reply(caller, DirectoryStatus::kDone);
    return;
  }
  bool known = false;
  std::size_t remaining = 0;
  for (const auto& [node, heard] : nodes_) {
    if (heard.record.role != NodeRole::kLedger) {
      continue;
    }
    if (heard.record.name == request.name) {
      known = true;
    } else if (!state_.retirements().contains(heard.record.name) &&
               now - heard.heardAt < settings_.repair.silenceLimit) {
      ++remaining;
    }
  }
  if (!known) {
    // A new leader has not heard of all nodes yet.
    constexpr base::Duration kAcquaintance = base::seconds(2);
    if (now - leader_since_ < kAcquaintance) {
      service_.refuse(caller, CommandStatus::kUnavailable);
    } else {
      reply(caller, DirectoryStatus::kNotFound);
    }
    return;
  }
  if (remaining < settings_.repair.targetSize) {
    reply(caller, DirectoryStatus::kConflict, "too few ledgers would remain");
    return;
  }
  proposeFor(caller, BeginRetirement{request.name}, {}, now);
}

void DirectoryRole::onRequest(const Caller& caller, const ReadRetirement& request,
                              base::TimePoint /*now*/) {
  const auto found = state_.retirements().find(request.name);
  if (found == state_.retirements().end()) {
    reply(caller, DirectoryStatus::kNotFound);
  } else if (found->second == Retirement::kRunning) {
    reply(caller, DirectoryStatus::kRunning);
  } else {
    reply(caller, DirectoryStatus::kDone);
  }
}

void DirectoryRole::reply(const Caller& caller, DirectoryStatus status, std::string text) {
  replyWith(caller, {status, std::move(text), std::nullopt});
}

void DirectoryRole::replyWith(const Caller& caller, const DirectoryReply& reply) {
  service_.reply(caller, base::encode(reply));
}

void DirectoryRole::proposeFor(const Caller& caller, const DirectoryCommand& command,
                               const std::string& text, base::TimePoint now) {
  service_.proposeFor(caller, base::encode(command),
                      base::encode(DirectoryReply{DirectoryStatus::kDone, text, std::nullopt}),
                      now);
}

void DirectoryRole::proposeQuietly(const DirectoryCommand& command, base::TimePoint now) {
  service_.propose(base::encode(command), now);
}

void DirectoryRole::onOrderOutcome(const VersionOrder& order, OrderOutcome outcome,
                                   base::TimePoint now) {
  if (outcome == OrderOutcome::kHolds) {
    const auto report = reports_.find(order.instance);
    if (report != reports_.end()) {
      std::uint64_t& held = report->second.versions[order.model];
      held = std::max(held, order.version);
    }
  }
  orders_.onOutcome(order, outcome, now);
}

std::vector<cluster::GroupNode> DirectoryRole::nodesOf(NodeRole role, base::TimePoint now) const {
  std::vector<cluster::GroupNode> nodes;
  for (const auto& [node, heard] : nodes_) {
    if (heard.record.role == role) {
      nodes.push_back(
          {node, now - heard.heardAt, state_.retirements().contains(heard.record.name)});
    }
  }
  return nodes;
}

std::vector<InstanceSight> DirectoryRole::presentInstances(base::TimePoint now) const {
  static const std::map<std::string, std::uint64_t> kNoVersions;
  std::vector<InstanceSight> instances;
  instances.reserve(state_.instances().size());
  base::SortedCursor reports(reports_);
  for (const auto& [id, record] : state_.instances()) {
    const ReportedEngine* report = reports.find(id);
    const base::TimePoint heardAt = report == nullptr ? leader_since_ : report->heardAt;
    InstanceSight sight;
    sight.record = &record;
    sight.versions = report == nullptr ? &kNoVersions : &report->versions;
    sight.silent = now - heardAt > settings_.instanceSilence;
    sight.loading = orders_.isLoading(id, reports_, now);
    sight.reserve = orders_.isInReserve(record);
    instances.push_back(sight);
  }
  return instances;
}

DirectoryView DirectoryRole::presentView(base::TimePoint now) const {
  DirectoryView view;
  view.publishedVersions = state_.versions();
  view.ledgerFounders = state_.ledgerFounders();
  view.ledgerVoters = ledger_voters_;
  const auto& voters = replica_.raft().membership().voters;
  view.controllers.assign(voters.begin(), voters.end());
  view.gateways = 0;
  for (const auto& [node, heard] : nodes_) {
    if (heard.record.role == NodeRole::kGateway) {
      view.gateways += now - heard.heardAt < settings_.repair.silenceLimit ? 1 : 0;
    } else if (heard.record.role == NodeRole::kLedger) {
      view.ledgers.push_back({node, now - heard.heardAt,
                              state_.retirements().contains(heard.record.name), heard.record.zone});
    }
  }
  view.gateways = std::max(view.gateways, 1U);
  view.usageFrom = state_.usage().next().value_or(0);
  view.nodesSettled = now - leader_since_ > settings_.repair.silenceLimit;
  return view;
}

void DirectoryRole::answerWatches(base::TimePoint now) {
  if (!leads(now)) {
    watches_.refuseAll(
        [&](const Caller& caller) { service_.refuse(caller, CommandStatus::kNotLeader); });
    return;
  }
  const auto instances = static_cast<base::Duration::rep>(state_.instances().size());
  const base::Duration interval = std::max(kViewInterval, kViewIntervalPerInstance * instances);
  const bool recent = views_at_ != base::TimePoint{} && now - views_at_ < interval;
  if (recent) {
    return;
  }
  views_at_ = now;
  views_.update(presentInstances(now), presentView(now));
  watches_.answer(
      views_, state_.configuration(), nodes_.size(), clusterTime(now), now,
      [&](const Caller& caller, const base::Bytes& payload) { service_.reply(caller, payload); });
}

void DirectoryRole::onReport(const std::string& instance,
                             const std::map<std::string, std::uint64_t>& versions,
                             base::TimePoint now) {
  const auto report = reports_.find(instance);
  if (report == reports_.end()) {
    return;
  }
  report->second.heardAt = now;
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
  foundLedgers(now);
  repairOwnGroup(now);
  forgetSilent(now);
  recordVersions(now);
  for (const std::string& id : orders_.dueReports(reports_, now)) {
    const auto record = state_.instances().find(id);
    if (record != state_.instances().end()) {
      actions_.reportsWanted.push_back(record->second);
    }
  }
  stepUsage(now);
  giveNoted(orders_.step(state_, reports_, modelDemand(now), replica_.raft().currentTerm(), now),
            now);
  recordHomes(now);
}

void DirectoryRole::stepUsage(base::TimePoint now) {
  if (state_.configuration().tenants.empty()) {
    return;
  }
  duties::UsageDuty::Present present;
  std::map<std::uint32_t, const HeardNode*> newest;  // a gateway that started anew tells no more
  for (const auto& [node, heard] : nodes_) {
    const HeardNode*& known = newest[base::nodeNumber(node)];
    if (heard.record.role == NodeRole::kGateway &&
        (known == nullptr || heard.heardAt > known->heardAt)) {
      known = &heard;
    }
  }
  for (const auto& [number, heard] : newest) {
    if (heard != nullptr) {
      present.gateways.insert(heard->record.node);
    }
  }
  present.settled = now - leader_since_ > settings_.repair.silenceLimit;
  present.fence = replica_.raft().currentTerm();
  present.wall = clusterTime(now);
  present.now = now;
  duties::UsageWork work = usage_.step(state_.usage(), present);
  for (auto& command : work.commands) {
    std::visit([&](auto& typed) { proposeQuietly(DirectoryCommand{std::move(typed)}, now); },
               command);
  }
  if (work.report) {
    replica_.propose(base::encode(DirectoryCommand{NoteOrders{self_.node}}), now,
                     [this, report = *work.report](const base::Bytes* result, consensus::LogIndex) {
                       if (result != nullptr) {
                         noted_reports_.push_back(report);
                       }
                     });
  }
}

void DirectoryRole::giveNoted(std::vector<VersionOrder> orders, base::TimePoint now) {
  if (orders.empty()) {
    return;
  }
  replica_.propose(
      base::encode(DirectoryCommand{NoteOrders{self_.node}}), now,
      [this, orders = std::move(orders)](const base::Bytes* result, consensus::LogIndex) {
        if (result != nullptr) {
          noted_orders_.insert(noted_orders_.end(), orders.begin(), orders.end());
        }
      });
}

std::map<std::string, double> DirectoryRole::modelDemand(base::TimePoint now) const {
  std::map<std::string, double> demand;
  for (const auto& [node, heard] : nodes_) {
    if (now - heard.heardAt < settings_.repair.silenceLimit) {
      for (const auto& [model, work] : heard.recentWork) {
        demand[model] += work;
      }
    }
  }
  return demand;
}

void DirectoryRole::foundLedgers(base::TimePoint now) {
  if (!state_.ledgerFounders().empty()) {
    return;
  }
  std::set<base::NodeId> founders;
  for (const cluster::GroupNode& node : nodesOf(NodeRole::kLedger, now)) {
    if (node.silence < settings_.repair.silenceLimit &&
        founders.size() < settings_.ledgerFounders) {
      founders.insert(node.node);
    }
  }
  const bool waited = now - leader_since_ > settings_.foundingPatience;
  if (founders.size() == settings_.ledgerFounders || (waited && !founders.empty())) {
    proposeQuietly(FoundLedgers{founders}, now);
  }
}

void DirectoryRole::repairOwnGroup(base::TimePoint now) {
  // Until every node had the time to report, silence means nothing.
  if (now - leader_since_ >= settings_.repair.silenceLimit) {
    service_.repair(nodesOf(NodeRole::kController, now), settings_.repair, now);
  }
}

void DirectoryRole::forgetSilent(base::TimePoint now) {
  ForgetInstances forgotten;
  base::SortedCursor reports(reports_);
  for (const auto& [id, record] : state_.instances()) {
    const ReportedEngine* report = reports.find(id);
    const base::TimePoint heardAt = report == nullptr ? leader_since_ : report->heardAt;
    if (now - heardAt > settings_.instanceSilenceLimit) {
      forgotten.ids.push_back(id);
    }
  }
  if (!forgotten.ids.empty()) {
    proposeOnce(forgotten, forgetting_, now);
  }
  std::erase_if(reports_, [&](const auto& entry) {
    return now - entry.second.heardAt > settings_.instanceSilenceLimit;
  });
  std::erase_if(nodes_, [&](const auto& entry) {
    return now - entry.second.heardAt > settings_.nodeSilenceLimit;
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
    if (changed.instances.size() == kMostVersionsAnEntry) {
      break;
    }
  }
  if (!changed.instances.empty()) {
    proposeOnce(changed, recording_versions_, now);
  }
}

void DirectoryRole::recordHomes(base::TimePoint now) {
  RecordHomes changes;
  base::SortedCursor written(state_.homes());
  for (const auto& [id, model] : orders_.homes()) {
    const std::string* known = written.find(id);
    if (known == nullptr || *known != model) {
      changes.changed.push_back({id, model});
    }
  }
  base::SortedCursor followed(orders_.homes());
  for (const auto& [id, model] : state_.homes()) {
    if (followed.find(id) == nullptr) {
      changes.changed.push_back({id, {}});
    }
  }
  if (changes.changed.size() > kMostVersionsAnEntry) {
    changes.changed.resize(kMostVersionsAnEntry);
  }
  if (!changes.changed.empty()) {
    proposeOnce(changes, m_recordingHomes, now);
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
  orders_.reset(order_lease_.freeFrom(), state_.homes());
  // Which engines are in reserve must be known before the first view is told, or all would be news.
  (void)orders_.step(state_, reports_, {}, replica_.raft().currentTerm(), now);
  usage_.reset(state_.usage(), order_lease_.freeFrom());
  begun_ = true;
}

DirectoryActions DirectoryRole::finish(base::TimePoint now) {
  replica_.finish(now, actions_.messages);
  observeLeadership(now);
  observeOrderNote(now);
  if (!begun_ && leads(now)) {
    beginLeading(now);
  }
  const std::vector<VersionOrder> noted = std::exchange(noted_orders_, {});
  const std::vector<duties::UsageReport> notedReports = std::exchange(noted_reports_, {});
  if (leads(now)) {
    actions_.orders.insert(actions_.orders.end(), noted.begin(), noted.end());
    actions_.usageReports = notedReports;
  }
  answerWatches(now);
  transport::Outbox answers = std::exchange(service_.outbox(), {});
  actions_.messages.insert(actions_.messages.end(), std::make_move_iterator(answers.begin()),
                           std::make_move_iterator(answers.end()));
  return std::exchange(actions_, {});
}

void DirectoryRole::observeLeadership(base::TimePoint now) {
  const consensus::RaftConsensus& raft = replica_.raft();
  const bool newTerm = raft.isLeader() && (!was_leader_ || observed_term_ != raft.currentTerm());
  if (newTerm) {
    leader_since_ = now;
    service_.endTerm();
    reports_.clear();
    begun_ = false;
    beat_sequences_.clear();
    nodes_.clear();
    ledger_voters_.clear();
    clock_.reset();
    recording_versions_ = false;
    m_recordingHomes = false;
    forgetting_ = false;
    views_.reset(raft.currentTerm() << kTermShift);
    views_at_ = {};
  }
  was_leader_ = raft.isLeader();
  observed_term_ = raft.currentTerm();
}

void DirectoryRole::observeOrderNote(base::TimePoint now) {
  if (state_.orderNote().index > 0) {
    order_lease_.onNote(state_.orderNote().holder, state_.orderNote().index, now);
  }
}

}  // namespace tackpick::directory
