/// \file
/// The ledger role of a node: replicated jobs and the leases of their items.
#pragma once

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/group_service.h"
#include "consensus/replica.h"
#include "jobs/item_leases.h"
#include "jobs/job_state.h"
#include "jobs/long_poll_policy.h"
#include "jobs/open_jobs.h"

namespace tackpick::jobs {

/// Settings of a JobRole.
struct JobRoleSettings {
  consensus::ReplicaSettings replica;
  cluster::GroupRepairSettings repair;
  /// Time after the submission for which a completed or ended job is readable. An open job is kept
  /// for its queue timeout if that is longer.
  base::Duration retention = base::seconds(120);
  /// Duration of a lease; gateways renew their leases several times within it.
  base::Duration leaseTime = base::milliseconds(1500);
  /// Time after which the leases of a gateway whose connection broke expire; a healthy one
  /// reconnects and renews them within this time.
  base::Duration disconnectGrace = base::milliseconds(350);
  /// Time after a change of leader before items are leased, in which gateways report the items they
  /// hold.
  base::Duration leaseGrace = base::milliseconds(350);
  /// Minimum time between two plans of the queued items; bounds the CPU time of planning. A plan
  /// costs about as much as ten replies to gateways, each of which calls every 80 ms or less often.
  base::Duration planInterval = base::milliseconds(5);
  SchedulerPolicy schedulerPolicy = SchedulerPolicy::kAutomatic;
  /// Maximum size of the results in one reply, in bytes; a reply contains at least one.
  std::size_t maxReplyBytes = 900U << 10U;
  LongPollSettings longPoll;
  /// Maximum size of results, in bytes, that are returned inline if the reader names a preferred
  /// replica.
  std::size_t maxInlineBytes = 4U << 10U;
  /// Maximum memory of the items of all jobs. Above it, submissions are rejected.
  std::size_t maxItemBytes = std::numeric_limits<std::size_t>::max();
  /// Maximum size of the replies with items or results in one iteration of the event loop. Above
  /// it, replies wait or are left to a repeated request; one is sent whatever its size.
  std::size_t maxIterationReplyBytes = std::numeric_limits<std::size_t>::max();
};

/// Ledger role: handles requests about jobs. Only the leader replies, while it holds its read
/// lease; any replica replies to FetchResults. Deterministic; owned by one thread.
class JobRole {
 public:
  JobRole(base::NodeId self, base::GroupId group, JobRoleSettings settings,
          consensus::LogStore& log, base::Random& random, base::TimePoint now);

  void handle(base::NodeId from, const transport::RaftEnvelope& message, base::TimePoint now);
  void handle(base::NodeId from, transport::CommandRequest message, base::TimePoint now);
  /// Sets the ledgers known to the controllers.
  void setNodes(std::vector<cluster::GroupNode> nodes) { nodes_ = std::move(nodes); }
  /// Handles the loss of the connection to a node.
  void onPeerLost(std::uint32_t number, base::TimePoint now);
  /// Replaces all engines.
  void setEngines(std::vector<EngineInfo> engines) { leases_.setEngines(std::move(engines)); }
  /// Adds or updates the engines of `changed` and removes those with the ids in `removed`.
  void changeEngines(std::vector<EngineInfo> changed, const std::vector<std::string>& removed) {
    leases_.changeEngines(std::move(changed), removed);
  }
  /// Sets the tenants' priorities of the latest configuration.
  void setTenantPriorities(TenantPriorities priorities) {
    leases_.setTenantPriorities(std::move(priorities));
  }
  void tick(base::TimePoint now);
  /// Ends an iteration of the event loop: syncs and applies the log, and returns the messages to
  /// send.
  [[nodiscard]] transport::Outbox finish(base::TimePoint now);
  void prepareStop(base::TimePoint now) { replica_.raft().transferLeadership(now); }
  /// Returns the members of the group if this ledger is its leader and no membership change is
  /// pending.
  [[nodiscard]] std::optional<consensus::Membership> stableMembership(base::TimePoint now) const;

  /// Returns all jobs that are not finished; std::nullopt if this ledger is not the leader.
  [[nodiscard]] std::optional<OpenJobsByModel> openJobs(base::TimePoint now) const;
  /// Returns a summary of open jobs for operators; std::nullopt if this ledger is not the leader.
  [[nodiscard]] std::optional<WorkSummary> workSummary(base::TimePoint now) const;
  /// Returns the forecast of the lengths of texts.
  [[nodiscard]] const LengthForecast& forecast() const { return leases_.forecast(); }
  /// Increases whenever a job is added, ends or completes.
  [[nodiscard]] std::uint64_t workRevision() const { return state_.workRevision(); }

  [[nodiscard]] const JobState& state() const { return state_; }
  [[nodiscard]] const consensus::Replica& replica() const { return replica_; }
  /// Returns the gateways that request items; empty if this ledger is not the leader.
  [[nodiscard]] std::vector<GatewaySummary> gateways(base::TimePoint now) const {
    return replica_.canRead(now) ? leases_.gateways() : std::vector<GatewaySummary>{};
  }
  /// Returns the health of the ledgers' group as seen by its leader.
  [[nodiscard]] const std::optional<cluster::GroupHealth>& groupHealth() const {
    return service_.health();
  }

 private:
  using Caller = cluster::ServiceCaller;
  /// Log index and time of a job's submission at this ledger. A removed job may be submitted again
  /// with the same id.
  struct SubmissionRecord {
    consensus::LogIndex index = 0;
    base::TimePoint appliedAt{};  ///< not before the submission
  };
  struct PendingRead {
    Caller caller;
    ReadJob read;
    base::TimePoint receivedAt{};
    base::TimePoint expiresAt{};
  };

  void onRequest(const Caller& caller, SubmitJob& request, base::TimePoint now);
  void onRequest(const Caller& caller, const ReadJob& request, base::TimePoint now);
  void onRequest(const Caller& caller, const ReadItem& request, base::TimePoint now);
  void onRequest(const Caller& caller, const EndJob& request, base::TimePoint now);
  void onRequest(const Caller& caller, const LeaseItems& request, base::TimePoint now);
  void onRequest(const Caller& caller, const CommitResults& request, base::TimePoint now);
  void onRequest(const Caller& caller, const SaveProgress& request, base::TimePoint now);
  void onRequest(const Caller& caller, const GetWorkReport& request, base::TimePoint now);
  /// Fetches of results are also handled by replicas that are not the leader.
  void onRequest(const Caller& caller, const FetchResults& request, base::TimePoint now);

  /// Counts a reply of `bytes` bytes. Returns false if it must not be sent in this iteration.
  [[nodiscard]] bool mayReply(std::size_t bytes);
  /// Whether the items of a new job fit beside those of the known jobs and of the submissions that
  /// are not applied yet.
  [[nodiscard]] bool fits(const JobSubmission& job) const;
  void replyWith(const Caller& caller, const JobReply& reply);
  void proposeFor(const Caller& caller, const JobCommand& command, base::TimePoint now);
  [[nodiscard]] OpenJob openJobOf(const std::string& id, const Job& job, base::TimePoint now) const;
  /// Records whether a gateway's request contained event intervals. Returns whether its next
  /// request should contain them.
  [[nodiscard]] bool recordReporter(base::NodeId gateway, bool reported);
  [[nodiscard]] LeasedItem makeLeasedItem(const GrantedItem& granted, base::TimePoint now) const;
  void recordEventIntervals(const LeaseItems& request, base::TimePoint now);
  void checkLeadership(base::TimePoint now);
  /// Records when jobs arrive, also on followers, so that their ages survive a change of leader.
  void recordSubmissions(base::TimePoint now);
  /// Trains the length forecast of a new leader with the stored results.
  void trainForecast();
  /// Adds jobs that are new to this leader to the leases.
  void registerNewJobs(base::TimePoint now);
  void replyToReads(base::TimePoint now);
  /// Returns false if the reply does not fit into this iteration.
  [[nodiscard]] bool replyToRead(const PendingRead& pending, const Job& job);
  /// Whether the read should be held.
  [[nodiscard]] bool shouldWait(const PendingRead& pending, const Job& job, base::TimePoint now);
  void expireJobs(base::TimePoint now);

  const JobRoleSettings settings_;
  JobState state_;
  const base::NodeId self_;
  consensus::Replica replica_;
  cluster::GroupService service_;
  ItemLeases leases_;
  LongPollPolicy m_longPoll;
  std::vector<cluster::GroupNode> nodes_;
  bool was_leader_ = false;
  consensus::Term observed_term_ = 0;
  base::TimePoint leader_since_{};
  /// JobState::jobsRevision() at the last registerNewJobs()
  std::optional<std::uint64_t> m_leasedRevision;
  /// JobState::jobsRevision() at the last recordSubmissions()
  std::uint64_t m_observedRevision = 0;
  std::map<std::string, SubmissionRecord> m_submissions;  ///< by job
  /// Memory of the items of submissions that this leader has proposed and not applied yet, by job.
  std::map<std::string, std::size_t> m_proposedBytes;
  base::TimePoint m_maintenanceAt{};
  std::vector<PendingRead> reads_;
  std::size_t m_iterationReplyBytes = 0;
  /// Gateways that reported event intervals in this term.
  std::set<base::NodeId> m_intervalReporters;
};

}  // namespace tackpick::jobs
