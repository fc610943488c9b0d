/// \file
/// The ledger role of a cluster that forms itself: replicated jobs and the leases of their items.
#pragma once

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

/// Knobs of a JobRole.
struct JobRoleSettings {
  consensus::ReplicaSettings replica;
  cluster::GroupRepairSettings repair;
  /// Results stay readable so long after the submission, and while the job is open.
  base::Duration retention = base::seconds(120);
  /// Gateways renew their leases several times within this time.
  base::Duration leaseTime = base::milliseconds(1500);
  /// Of a gateway whose connection broke: a sound one connects and renews within this time.
  base::Duration lostGatewayGrace = base::milliseconds(350);
  /// Of a new leader: gateways tell what they hold before anything is leased again.
  base::Duration leaseGrace = base::milliseconds(350);
  /// Least time between two plans of what runs where: a plan costs about as much as the answers to
  /// ten calls of gateways, which come each 80 ms and more.
  base::Duration planInterval = base::milliseconds(5);
  SchedulerPolicy workOrder = SchedulerPolicy::kAutomatic;
  /// Results in one answer.
  std::size_t answerBytes = 900U << 10U;
  LongPollSettings gathering;
  /// More than this is left to the replica that the reader names as near.
  std::size_t directBytes = 4U << 10U;
};

/// Deterministic; owned by one thread. Only the leader answers, and only under its lease.
class JobRole {
 public:
  JobRole(base::NodeId self, base::GroupId group, JobRoleSettings settings,
          consensus::LogStore& log, base::Random& random, base::TimePoint now);

  void handle(base::NodeId from, const transport::RaftEnvelope& message, base::TimePoint now);
  void handle(base::NodeId from, const transport::CommandRequest& message, base::TimePoint now);
  /// The ledgers as the controllers hear them.
  void setNodes(std::vector<cluster::GroupNode> nodes) { nodes_ = std::move(nodes); }
  /// The connection to a node broke.
  void onPeerLost(std::uint32_t number, base::TimePoint now);
  /// All engines there are.
  void setEngines(std::vector<PlacementEngine> engines) { leases_.setEngines(std::move(engines)); }
  /// Engines that changed or are new, and ids of those that are gone.
  void changeEngines(std::vector<PlacementEngine> changed,
                     const std::vector<std::string>& removed) {
    leases_.changeEngines(std::move(changed), removed);
  }
  /// Of the newest configuration.
  void setTenantPriorities(TenantPriorities priorities) {
    leases_.setTenantPriorities(std::move(priorities));
  }
  void tick(base::TimePoint now);
  /// Ends a turn: syncs, applies, and returns what to send.
  [[nodiscard]] transport::Outbox finish(base::TimePoint now);
  void prepareStop(base::TimePoint now) { replica_.raft().transferLeadership(now); }
  /// The group's members, when this ledger leads it and no change of them is under way.
  [[nodiscard]] std::optional<consensus::Membership> stableMembership(base::TimePoint now) const;

  /// Jobs that are not settled; nothing when another leads.
  [[nodiscard]] std::optional<OpenJobsByModel> openJobs(base::TimePoint now) const;
  /// Open jobs for operators; nothing when another leads.
  [[nodiscard]] std::optional<WorkSummary> workSummary(base::TimePoint now) const;
  /// What is known of the lengths of texts.
  [[nodiscard]] const LengthForecast& forecast() const { return leases_.forecast(); }
  /// Rises whenever a job comes or is settled.
  [[nodiscard]] std::uint64_t workChanges() const { return state_.workChanges(); }

  [[nodiscard]] const JobState& state() const { return state_; }
  [[nodiscard]] const consensus::Replica& replica() const { return replica_; }
  /// Gateways that ask for items; empty when another leads.
  [[nodiscard]] std::vector<GatewaySummary> gateways(base::TimePoint now) const {
    return replica_.canRead(now) ? leases_.gateways() : std::vector<GatewaySummary>{};
  }
  /// Of the ledgers' group, as its leader sees it.
  [[nodiscard]] const std::optional<cluster::GroupHealth>& groupHealth() const {
    return service_.health();
  }

 private:
  using Caller = cluster::ServiceCaller;
  /// A job's submission as this ledger applied it. A job that was forgotten may be submitted again
  /// by the same id.
  struct Submission {
    consensus::LogIndex index = 0;
    base::TimePoint appliedAt{};  ///< it came no later
  };
  struct PendingRead {
    Caller caller;
    ReadJob read;
    base::TimePoint askedAt{};
    base::TimePoint until{};
  };

  void onRequest(const Caller& caller, const SubmitJob& request, base::TimePoint now);
  void onRequest(const Caller& caller, const ReadJob& request, base::TimePoint now);
  void onRequest(const Caller& caller, const ReadItem& request, base::TimePoint now);
  void onRequest(const Caller& caller, const EndJob& request, base::TimePoint now);
  void onRequest(const Caller& caller, const LeaseItems& request, base::TimePoint now);
  void onRequest(const Caller& caller, const CommitResults& request, base::TimePoint now);
  void onRequest(const Caller& caller, const SaveProgress& request, base::TimePoint now);
  void onRequest(const Caller& caller, const ReadWork& request, base::TimePoint now);
  /// Also on replicas that do not lead.
  void onRequest(const Caller& caller, const FetchResults& request, base::TimePoint now);

  void replyWith(const Caller& caller, const JobReply& reply);
  void proposeFor(const Caller& caller, const JobCommand& command, base::TimePoint now);
  [[nodiscard]] OpenJob workOf(const std::string& id, const Job& job, base::TimePoint now) const;
  /// Notes whether a gateway told event intervals in its call; true when it should in its next.
  [[nodiscard]] bool recordReporter(base::NodeId gateway, bool told);
  [[nodiscard]] LeasedItem describe(const GrantedItem& granted, base::TimePoint now) const;
  void recordEventIntervals(const LeaseItems& request, base::TimePoint now);
  void observeLeadership(base::TimePoint now);
  /// Notes when jobs come, also where another leads: their ages outlast a change of leader.
  void observeJobs(base::TimePoint now);
  /// What a leader knows of lengths at its beginning.
  void learnFromResults();
  /// Hands jobs that are new to this leader to the leases.
  void takeUpJobs(base::TimePoint now);
  void answerReads(base::TimePoint now);
  void answerRead(const PendingRead& pending, const Job& job);
  /// The read goes on waiting.
  [[nodiscard]] bool waits(const PendingRead& pending, const Job& job, base::TimePoint now);
  void expireJobs(base::TimePoint now);

  const JobRoleSettings settings_;
  JobState state_;
  const base::NodeId self_;
  consensus::Replica replica_;
  cluster::GroupService service_;
  ItemLeases leases_;
  LongPollPolicy gathering_;
  std::vector<cluster::GroupNode> nodes_;
  bool was_leader_ = false;
  consensus::Term observed_term_ = 0;
  base::TimePoint leader_since_{};
  std::optional<std::uint64_t> seen_jobs_;  ///< JobState::jobChanges() when they were taken up
  std::uint64_t m_observedJobs = 0;         ///< JobState::jobChanges() at observeJobs()
  std::map<std::string, Submission> m_submissions;  ///< by job
  base::TimePoint slow_work_at_{};
  std::vector<PendingRead> reads_;
  std::set<base::NodeId> m_intervalReporters;  ///< gateways that told event intervals in this term
};

}  // namespace tackpick::jobs
