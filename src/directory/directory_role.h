/// \file
/// Controller role of a self-formed cluster: replicated directory, registration of instances,
/// watches, load commands to engines, and membership repair of both replication groups.
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
#include "directory/leader_lease.h"
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

/// Settings of DirectoryRole.
struct DirectorySettings {
  consensus::ReplicaSettings replica;
  LoadSchedulerSettings loads;
  CommandLeaseSettings commandLease;
  WatchQueueSettings watches;
  duties::UsageReporterSettings usage;
  duties::AutoscalerSettings capacity;
  /// Time without a heartbeat after which an instance is reported as unresponsive. Longer than the
  /// heartbeat interval.
  base::Duration overdueAfter = base::seconds(4);
  cluster::GroupRepairSettings repair;
  std::size_t initialLedgerVoters = 3;
  /// Time after which the reachable ledgers become the initial voters if there are fewer than
  /// initialLedgerVoters.
  base::Duration bootstrapTimeout = base::seconds(4);
  /// Time without a heartbeat after which an instance is removed.
  base::Duration instanceTimeout = base::seconds(40);
  /// Time without a watch after which a node is removed.
  base::Duration nodeTimeout = base::seconds(60);
};

/// Actions for the caller to carry out after a call of finish().
struct DirectoryActions {
  transport::Outbox messages;
  std::vector<LoadCommand> loadCommands;
  /// Engines whose weights versions are to be requested.
  std::vector<InstanceRecord> enginesToPoll;
  std::vector<duties::UsageReport> usageReports;
  std::vector<duties::ScaleCall> scaleCalls;
  std::vector<duties::CapacityDecision> capacityDecisions;
};

/// Only the leader makes decisions, and only while it holds its leader lease. Deterministic; owned
/// by one thread.
class DirectoryRole final : public LeaderLease {
 public:
  DirectoryRole(NodeRecord self, DirectorySettings settings, consensus::LogStore& log,
                base::Random& random, const base::WallTimeSource& wall, base::TimePoint now);

  void handle(base::NodeId from, const transport::RaftEnvelope& message, base::TimePoint now);
  void handle(base::NodeId from, transport::CommandRequest message, base::TimePoint now);
  void onLoadCommandOutcome(const LoadCommand& command, LoadCommandOutcome outcome,
                            base::TimePoint now);
  void onUsageOutcome(const duties::UsageReport& report, duties::UsageReportOutcome outcome,
                      base::TimePoint now) {
    usage_.onOutcome(report, outcome, now);
  }
  void onScaleOutcome(const duties::ScaleCall& call, duties::ScaleOutcome outcome,
                      base::TimePoint now) {
    m_capacity.onOutcome(call, outcome, now);
  }
  /// Records the weights versions that an engine returned when it was polled.
  void onVersionsPolled(const std::string& instance,
                        const std::map<std::string, std::uint64_t>& versions, base::TimePoint now);
  void tick(base::TimePoint now);
  /// Ends a turn: syncs the log, applies entries and returns the actions to carry out.
  [[nodiscard]] DirectoryActions finish(base::TimePoint now);
  /// Transfers leadership before a planned stop.
  void prepareStop(base::TimePoint now) { replica_.raft().transferLeadership(now); }

  [[nodiscard]] std::optional<consensus::Term> heldTerm(base::TimePoint now) const override;
  [[nodiscard]] const DirectoryState& state() const { return state_; }
  [[nodiscard]] const consensus::Replica& replica() const { return replica_; }
  /// Returns the weights summary of all models, or nullptr if this controller does not lead.
  [[nodiscard]] const WeightsSummary* weights() const {
    return m_leaderReady && replica_.raft().isLeader() ? &m_loadScheduler.summary() : nullptr;
  }
  /// Returns the pools as of the last decision of this process as leader.
  [[nodiscard]] const std::vector<duties::PoolSummary>& capacity() const {
    return m_capacity.summaries();
  }
  /// Returns the health of the controllers' group as seen by its leader.
  [[nodiscard]] const std::optional<cluster::GroupHealth>& groupHealth() const {
    return service_.health();
  }

 private:
  using Caller = cluster::ServiceCaller;
  struct KnownNode {
    NodeRecord record;
    base::TimePoint lastSeenAt{};
    std::map<std::string, double> recentDemand;
  };

  /// An instance at whose address another one has registered.
  struct ReplacedInstance {
    std::uint32_t heartbeats = 0;  ///< received since then
    base::TimePoint lastSeenAt{};
  };

  /// A trial whose log entry is not committed yet.
  struct PendingTrial {
    Caller caller;
    std::uint32_t trials = 0;  ///< number of earlier trials of the request
  };

  [[nodiscard]] std::map<std::string, double> modelDemand(base::TimePoint now) const;
  [[nodiscard]] bool holdsLeaderLease(base::TimePoint now) const { return replica_.canRead(now); }
  void onRequest(const Caller& caller, ReplaceConfiguration& request, base::TimePoint now);
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
  /// Whether every reachable node has had time to report to this leader.
  [[nodiscard]] bool allNodesSeen(base::TimePoint now) const {
    return now - leader_since_ > settings_.repair.heartbeatTimeout;
  }
  [[nodiscard]] bool knowsAllMembers(const consensus::Membership& group) const;
  /// Completes the retirement of ledgers that are no longer members of their group. `ledgers`:
  /// membership that the ledgers' leader has just confirmed.
  void completeRetirements(const consensus::Membership& ledgers, base::TimePoint now);
  void recordHeartbeat(const InstanceHeartbeat& heartbeat, base::TimePoint now);
  /// Whether the heartbeat may be a late one of an instance whose address another one has taken.
  [[nodiscard]] bool mayBeLate(const InstanceHeartbeat& heartbeat, base::TimePoint now);

  void reply(const Caller& caller, DirectoryStatus status, std::string text = {});
  void replyWith(const Caller& caller, const DirectoryReply& reply);
  /// Replies kDone with `text` once the command is committed.
  void proposeFor(const Caller& caller, const DirectoryCommand& command, const std::string& text,
                  base::TimePoint now);
  void proposeWithoutReply(const DirectoryCommand& command, base::TimePoint now);
  /// Proposes the command and sets `inFlight` until the command is committed or lost. Does nothing
  /// if `inFlight` is already set.
  void proposeIfIdle(const DirectoryCommand& command, bool& inFlight, base::TimePoint now);
  /// Returns the current view without instances and configuration.
  [[nodiscard]] DirectoryView currentView(base::TimePoint now) const;
  [[nodiscard]] std::vector<InstanceViewRef> currentInstances(base::TimePoint now) const;
  [[nodiscard]] std::vector<cluster::GroupNode> nodesOf(NodeRole role, base::TimePoint now) const;

  void observeLeadership(base::TimePoint now);
  void observeLeaseClaims(base::TimePoint now);
  /// Claims the command lease in the log; the commands are sent when the claim is committed.
  void proposeCommands(std::vector<LoadCommand> commands, base::TimePoint now);
  /// Reports the usage of windows that have ended.
  void updateUsage(base::TimePoint now);
  /// Requests the required number of instances from the platform.
  void updateCapacity(base::TimePoint now);
  /// Schedules calls again that were decided but not sent.
  void requeueUnsent(const std::vector<duties::UsageReport>& reports,
                     const std::vector<duties::ScaleCall>& scaleCalls, base::TimePoint now);
  void setOpenJobs(const jobs::OpenJobsByModel& openJobs, base::TimePoint now);
  [[nodiscard]] base::WallTime clusterTime(base::TimePoint now) const {
    return clock_.at(now, wall_.wallNow());
  }
  void replyToWatches(base::TimePoint now);
  void bootstrapLedgers(base::TimePoint now);
  void repairOwnGroup(base::TimePoint now);
  void expireInstances(base::TimePoint now);
  /// Releases held requests whose hold has expired.
  void releaseExpiredHolds(base::TimePoint now);
  /// Records changed weights versions of instances in the log.
  void recordVersions(base::TimePoint now);
  /// Records changed engine assignments in the log.
  void recordAssignments(base::TimePoint now);
  /// Initializes the leader's state from the directory when all log entries of earlier terms are
  /// applied.
  void initializeLeader(base::TimePoint now);

  const NodeRecord self_;
  const DirectorySettings settings_;
  const base::WallTimeSource& wall_;
  DirectoryState state_;
  consensus::Replica replica_;
  cluster::GroupService service_;

  // State of the leader, cleared at the start of each term.
  bool was_leader_ = false;
  bool m_leaderReady = false;  ///< initializeLeader() was called in this term
  consensus::Term observed_term_ = 0;
  base::TimePoint leader_since_{};
  std::map<std::string, ReportedEngine> reports_;
  std::map<std::string, std::uint64_t> m_heartbeatSequences;
  std::map<std::string, ReplacedInstance> m_replacedInstances;
  bool recording_versions_ = false;     ///< a RecordVersions command is in flight
  bool m_recordingAssignments = false;  ///< a RecordAssignments command is in flight
  bool m_expiringInstances = false;     ///< an ExpireInstances command is in flight
  std::map<base::NodeId, KnownNode> nodes_;
  std::set<base::NodeId> ledger_voters_;  ///< as last reported by the ledgers' leader
  LoadScheduler m_loadScheduler;
  CommandLease m_commandLease;
  std::vector<LoadCommand> m_committedCommands;  ///< sent at the end of this turn
  duties::ClusterClock clock_;
  duties::UsageReporter usage_;
  std::vector<duties::UsageReport> m_committedReports;  ///< sent at the end of this turn
  duties::Autoscaler m_capacity;
  std::vector<duties::ScaleCall> m_committedScaleCalls;  ///< sent at the end of this turn
  ReportedOpenJobs m_openJobs;
  quarantine::CrashRegistry m_crashes;
  std::map<quarantine::RequestFingerprint, PendingTrial> m_pendingTrials;
  WatchQueue m_watchQueue;
  ViewHistory m_viewHistory;
  base::TimePoint m_viewsUpdatedAt{};  ///< when m_viewHistory was last updated
  base::TimePoint m_maintenanceAt{};
  DirectoryActions actions_;
};

}  // namespace tackpick::directory
