/// \file
/// The controller role of a cluster that forms itself: replicated directory, registration of
/// instances, watches, orders to engines, repair of both replication groups' memberships.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/group_service.h"
#include "consensus/replica.h"
#include "directory/command_lease.h"
#include "directory/directory_messages.h"
#include "directory/directory_state.h"
#include "directory/load_scheduler.h"
#include "directory/scaled_services.h"
#include "directory/view_history.h"
#include "directory/watch_queue.h"
#include "duties/autoscaler.h"
#include "duties/cluster_time.h"
#include "duties/usage_reporter.h"
#include "quarantine/crash_registry.h"

namespace tackpick::directory {

/// The controllers' replication group.
inline constexpr base::GroupId kDirectoryGroup{1};
/// The ledgers' replication group.
inline constexpr base::GroupId kLedgerGroup{2};

/// Knobs of a DirectoryRole.
struct DirectorySettings {
  consensus::ReplicaSettings replica;
  LoadSchedulerSettings orders;
  CommandLeaseSettings commandLease;
  WatchPacing watches;
  duties::UsageReporterSettings usage;
  duties::AutoscalerSettings capacity;
  /// An instance unresponsive for longer is told as unresponsive. More than the time between two
  /// heartbeats.
  base::Duration instanceSilence = base::seconds(4);
  cluster::GroupRepairSettings repair;
  std::size_t initialLedgerVoters = 3;
  /// With fewer ledgers than wanted, those that reported are the initial voters after this time.
  base::Duration bootstrapTimeout = base::seconds(4);
  /// An instance unresponsive for longer is taken for dead.
  base::Duration instanceSilenceLimit = base::seconds(40);
  /// A node unresponsive for longer is forgotten.
  base::Duration nodeSilenceLimit = base::seconds(60);
};

/// What the driver must do after a turn.
struct DirectoryActions {
  transport::Outbox messages;
  std::vector<LoadCommand> orders;
  std::vector<InstanceRecord> versionQueries;  ///< engines to be asked for their versions
  std::vector<duties::UsageReport> usageReports;
  std::vector<duties::ScaleCall> scaleCalls;
  std::vector<duties::CapacityDecision> capacityDecisions;
};

/// Deterministic; owned by one thread. Only the leader decides, and only under its lease.
class DirectoryRole {
 public:
  DirectoryRole(NodeRecord self, DirectorySettings settings, consensus::LogStore& log,
                base::Random& random, const base::WallTimeSource& wall, base::TimePoint now);

  void handle(base::NodeId from, const transport::RaftEnvelope& message, base::TimePoint now);
  void handle(base::NodeId from, const transport::CommandRequest& message, base::TimePoint now);
  void onLoadCommandOutcome(const LoadCommand& order, LoadCommandOutcome outcome,
                            base::TimePoint now);
  void onUsageOutcome(const duties::UsageReport& report, duties::UsageReportOutcome outcome,
                      base::TimePoint now) {
    usage_.onOutcome(report, outcome, now);
  }
  void onScaleOutcome(const duties::ScaleCall& call, duties::ScaleOutcome outcome,
                      base::TimePoint now) {
    m_capacity.onOutcome(call, outcome, now);
  }
  /// An engine told its versions.
  void onReport(const std::string& instance, const std::map<std::string, std::uint64_t>& versions,
                base::TimePoint now);
  void tick(base::TimePoint now);
  /// Ends a turn: syncs, applies, and says what to do.
  [[nodiscard]] DirectoryActions finish(base::TimePoint now);
  /// Hands leadership over before a planned stop.
  void prepareStop(base::TimePoint now) { replica_.raft().transferLeadership(now); }

  [[nodiscard]] const DirectoryState& state() const { return state_; }
  [[nodiscard]] const consensus::Replica& replica() const { return replica_; }
  /// Where the weights of all models stand; nothing while this controller does not lead.
  [[nodiscard]] const WeightsSummary* weights() const {
    return begun_ && replica_.raft().isLeader() ? &m_loadScheduler.summary() : nullptr;
  }
  /// Numbers of instances, as this process last decided about them as leader.
  [[nodiscard]] const std::vector<duties::PoolSummary>& capacity() const {
    return m_capacity.summaries();
  }
  /// Of the controllers' group, as its leader sees it.
  [[nodiscard]] const std::optional<cluster::GroupHealth>& groupHealth() const {
    return service_.health();
  }

 private:
  using Caller = cluster::ServiceCaller;
  struct HeardNode {
    NodeRecord record;
    base::TimePoint lastSeenAt{};
    std::map<std::string, double> recentDemand;
  };

  /// A trial that is on its way to the log.
  struct AskedTrial {
    Caller caller;
    std::uint32_t trials = 0;  ///< that the request had had before
  };

  [[nodiscard]] std::map<std::string, double> modelDemand(base::TimePoint now) const;
  [[nodiscard]] bool leads(base::TimePoint now) const { return replica_.canRead(now); }
  void onRequest(const Caller& caller, const ReplaceConfiguration& request, base::TimePoint now);
  void onRequest(const Caller& caller, const ReadConfiguration& request, base::TimePoint now);
  void onRequest(const Caller& caller, const InstanceHeartbeat& request, base::TimePoint now);
  void onRequest(const Caller& caller, const DeregisterInstance& request, base::TimePoint now);
  void onRequest(const Caller& caller, const PublishVersion& request, base::TimePoint now);
  void onRequest(const Caller& caller, const Watch& request, base::TimePoint now);
  void onRequest(const Caller& caller, const RetireNode& request, base::TimePoint now);
  void onRequest(const Caller& caller, const ReadRetirement& request, base::TimePoint now);
  void onRequest(const Caller& caller, const ReportUsage& request, base::TimePoint now);
  void onRequest(const Caller& caller, const ReportOpenJobs& request, base::TimePoint now);
  void onRequest(const Caller& caller, const RelayHeartbeats& request, base::TimePoint now);
  void onRequest(const Caller& caller, const duties::ReadCapacity& request, base::TimePoint now);
  void onRequest(const Caller& caller, const ReadWeights& request, base::TimePoint now);
  void onRequest(const Caller& caller, const quarantine::ReportCrashes& request,
                 base::TimePoint now);
  void onRequest(const Caller& caller, const quarantine::RequestTrial& request,
                 base::TimePoint now);
  void onRequest(const Caller& caller, const quarantine::ReadQuarantine& request,
                 base::TimePoint now);
  void onRequest(const Caller& caller, const quarantine::ReleaseRequest& request,
                 base::TimePoint now);
  void completeRetirements(const consensus::Membership& ledgers, base::TimePoint now);
  void observeReport(const InstanceHeartbeat& heartbeat, base::TimePoint now);

  void reply(const Caller& caller, DirectoryStatus status, std::string text = {});
  void replyWith(const Caller& caller, const DirectoryReply& reply);
  /// Answers kDone with `text` once the command is committed.
  void proposeFor(const Caller& caller, const DirectoryCommand& command, const std::string& text,
                  base::TimePoint now);
  void proposeQuietly(const DirectoryCommand& command, base::TimePoint now);
  /// Keeps `underWay` true until the command is committed or lost.
  void proposeOnce(const DirectoryCommand& command, bool& underWay, base::TimePoint now);
  /// All that a node may be told, without instances and configuration.
  [[nodiscard]] DirectoryView presentView(base::TimePoint now) const;
  [[nodiscard]] std::vector<InstanceViewRef> presentInstances(base::TimePoint now) const;
  [[nodiscard]] std::vector<cluster::GroupNode> nodesOf(NodeRole role, base::TimePoint now) const;

  void observeLeadership(base::TimePoint now);
  void observeLeaseClaims(base::TimePoint now);
  /// Has it noted in the log that this controller gives orders, and gives them then.
  void proposeCommands(std::vector<LoadCommand> orders, base::TimePoint now);
  /// Reports the usage of windows that are over.
  void stepUsage(base::TimePoint now);
  /// Asks the platform for as many instances as are needed.
  void stepCapacity(base::TimePoint now);
  /// Calls that were decided but not sent are due again.
  void takeBack(const std::vector<duties::UsageReport>& reports,
                const std::vector<duties::ScaleCall>& scaleCalls, base::TimePoint now);
  void setOpenJobs(const jobs::OpenJobsByModel& works, base::TimePoint now);
  [[nodiscard]] base::WallTime clusterTime(base::TimePoint now) const {
    return clock_.at(now, wall_.wallNow());
  }
  void answerWatches(base::TimePoint now);
  void bootstrapLedgers(base::TimePoint now);
  void repairOwnGroup(base::TimePoint now);
  void expireInstances(base::TimePoint now);
  /// Releases held requests whose time is over.
  void releaseOutlived(base::TimePoint now);
  /// Writes the weights that instances report into the log where they changed.
  void recordVersions(base::TimePoint now);
  /// Writes the models that engines follow into the log where they changed.
  void recordAssignments(base::TimePoint now);
  /// The whole log is applied: a new leader starts from the weights that it tells.
  void beginLeading(base::TimePoint now);

  const NodeRecord self_;
  const DirectorySettings settings_;
  const base::WallTimeSource& wall_;
  DirectoryState state_;
  consensus::Replica replica_;
  cluster::GroupService service_;

  // The leader's memory; empty after an election.
  bool was_leader_ = false;
  bool begun_ = false;  ///< beginLeading() was called in this term
  consensus::Term observed_term_ = 0;
  base::TimePoint leader_since_{};
  std::map<std::string, ReportedEngine> reports_;
  std::map<std::string, std::uint64_t> m_heartbeatSequences;
  bool recording_versions_ = false;     ///< an entry with weights of instances is on its way
  bool m_recordingAssignments = false;  ///< an entry with models that engines follow is on its way
  bool forgetting_ = false;             ///< an entry with unresponsive instances is on its way
  std::map<base::NodeId, HeardNode> nodes_;
  std::set<base::NodeId> ledger_voters_;  ///< as the ledgers' leader last reported them
  LoadScheduler m_loadScheduler;
  CommandLease m_commandLease;
  std::vector<LoadCommand> m_committedCommands;  ///< to be given at the end of this turn
  duties::ClusterClock clock_;
  duties::UsageReporter usage_;
  std::vector<duties::UsageReport> noted_reports_;  ///< to be sent at the end of this turn
  duties::Autoscaler m_capacity;
  std::vector<duties::ScaleCall> m_notedScaleCalls;  ///< to be sent at the end of this turn
  ReportedOpenJobs m_openJobs;
  quarantine::CrashRegistry m_crashes;
  std::map<quarantine::RequestFingerprint, AskedTrial> m_trialsUnderWay;
  WatchQueue watches_;
  ViewHistory views_;
  base::TimePoint views_at_{};  ///< when views_ was last brought up to date
  base::TimePoint slow_work_at_{};
  DirectoryActions actions_;
};

}  // namespace tackpick::directory
