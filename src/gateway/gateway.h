/// \file
/// The gateway role: admission, order, engine choice, retries, samples and their commit.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "consensus/group_client.h"
#include "gateway/actions.h"
#include "gateway/control_view.h"
#include "gateway/job.h"
#include "ledger/length_estimates.h"
#include "routing/dispatch_queue.h"
#include "routing/engine_selector.h"
#include "routing/engine_table.h"
#include "routing/outlier_detector.h"
#include "routing/retry_budget.h"
#include "routing/token_bucket.h"

namespace tackpick::gateway {

/// A ledger group and its replicas.
struct LedgerGroup {
  base::GroupId group;
  std::vector<base::NodeId> replicas;
};

/// Knobs of Gateway.
struct GatewaySettings {
  base::NodeId self;
  base::Incarnation incarnation;
  std::string zone;
  base::GroupId controlGroup{1};
  std::vector<base::NodeId> controllers;
  std::vector<LedgerGroup> ledgers;

  routing::DispatchQueueSettings queue;
  routing::SelectorSettings selector;
  routing::EngineTableSettings engines;
  routing::OutlierSettings outliers;
  ControlViewSettings::Mutants viewMutants;
  base::Duration watchInterval = base::milliseconds(400);
  base::Duration readInterval = base::milliseconds(200);  ///< between two reads of an engine
  /// Gateways that read, and so use, each engine; zero: all. The choice is by rendezvous hashing
  /// over `peers`, so that each engine has exactly this many.
  std::uint32_t readersPerEngine = 0;
  std::vector<base::NodeId> peers;

  std::uint32_t maximumAttempts = 4;  ///< of a caller's request
  double retryRatio = 0.2;
  double retryReserve = 20.0;
  base::Duration retryBackoff = base::milliseconds(50);
  base::Duration stallTimeout = base::seconds(4);  ///< an attempt without a token
  std::uint32_t sampleReserve = 16;                ///< waiting samples kept beyond the free slots
  std::uint32_t maximumSamples = 1024;             ///< held at once
  base::Duration leaseInterval = base::milliseconds(100);
  base::Duration heartbeatInterval = base::milliseconds(800);

  bool resumePartial = true;  ///< failed attempts are continued, not restarted
  bool hedgeTail = true;
  bool longestFirst = true;
  base::Duration hedgeAfter = base::seconds(1);
  double hedgeIdleShare = 0.5;  ///< hedge only while at most this share of slots is busy

  struct Mutants {
    bool retryUnclear = false;   ///< dispatch a not-repeatable request again
    bool skipClaim = false;      ///< dispatch a not-repeatable request without a claim
    bool labelByOrder = false;   ///< label tokens with the published version, not the stamp
    bool forgetVerdict = false;  ///< the last attempt's verdict alone is reported
    bool ignoreOffsets = false;  ///< append chunks whatever their offset
    bool finishEarly = false;    ///< take a lost stream for a whole answer
    bool dropOnDrain = false;    ///< a planned stop cuts running requests
  } mutants;
};

/// Counted since the start of the process; served as metrics.
struct GatewayCounters {
  std::uint64_t requestsReceived = 0;
  std::uint64_t requestsCompleted = 0;
  std::uint64_t requestsRefusedNotRun = 0;
  std::uint64_t requestsIndeterminate = 0;
  std::uint64_t attemptsStarted = 0;
  std::uint64_t attemptsRetried = 0;
  std::uint64_t attemptsHedged = 0;
  std::uint64_t attemptsStalled = 0;
  std::uint64_t tokensReceived = 0;
  std::uint64_t tokensDiscarded = 0;  ///< received and then thrown away
  std::uint64_t samplesLeased = 0;
  std::uint64_t samplesCommitted = 0;
  std::uint64_t samplesTooOld = 0;
};

/// Deterministic; owned by one thread. Events append what is to be done to the actions returned by
/// takeActions().
class Gateway {
 public:
  Gateway(GatewaySettings settings, base::Random& random, base::TimePoint now);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Callers.
  void onCallerRequest(const CallerRequest& request, base::TimePoint now);
  /// The caller hung up; its request is cancelled.
  void onCallerGone(base::CallerId caller, base::TimePoint now);

  // Engines.
  void onEngineStatus(const engine::EngineStatus& status, base::TimePoint now);
  void onCacheEvent(base::EngineId engine, const engine::CacheEvent& event) {
    engines_.onCacheEvent(engine, event);
  }
  void onCacheGap(base::EngineId engine) { engines_.onCacheGap(engine); }
  void onChunk(const engine::Chunk& chunk, base::TimePoint now);
  void onAttemptEnd(const engine::AttemptEnd& end, base::TimePoint now);

  // Our other processes.
  void onMessage(base::NodeId from, const transport::InternalMessage& message, base::TimePoint now);
  void tick(base::TimePoint now);

  // Trainers and operators: calls to the groups.
  /// Calls the ledger group that owns `batch`.
  void callLedger(const base::BatchId& batch, transport::CommandKind kind, base::Bytes payload,
                  base::TimePoint now, consensus::GroupClient::Callback callback);
  /// Calls the controllers.
  void callControllers(transport::CommandKind kind, base::Bytes payload, base::TimePoint now,
                       consensus::GroupClient::Callback callback);

  /// Planned stop: refuses new work, returns samples not begun, finishes the rest.
  void beginDrain(base::TimePoint now);
  [[nodiscard]] bool isDraining() const { return draining_; }
  [[nodiscard]] bool isDrained() const;

  [[nodiscard]] GatewayActions takeActions() { return std::exchange(actions_, {}); }
  [[nodiscard]] const ControlView& view() const { return view_; }
  [[nodiscard]] const routing::EngineTable& engines() const { return engines_; }
  [[nodiscard]] const GatewayCounters& counters() const { return counters_; }
  [[nodiscard]] std::size_t jobCount() const { return jobs_.size(); }
  [[nodiscard]] std::size_t queuedCount() const { return queue_.size(); }
  /// When a request of this priority, refused now, may be sent again.
  [[nodiscard]] base::Duration retryAfter(std::uint32_t priority, const std::string& model,
                                          base::TimePoint now) const;

 private:
  struct WorkloadState {
    routing::TokenBucket bucket;
    std::uint32_t inFlight = 0;
  };
  struct LedgerLink {
    std::unique_ptr<consensus::GroupClient> client;
    std::uint64_t leaseRequest = 0;
    bool leaseOutstanding = false;
    base::TimePoint leasedAt{};
    base::TimePoint heardAt{};
    std::uint32_t held = 0;  ///< samples of this group
    bool empty = false;      ///< the latest lease brought nothing
  };

  // Admission: gateway_admission.cpp.
  [[nodiscard]] std::optional<RejectRequest> admissionProblem(const CallerRequest& request,
                                                              base::TimePoint now);
  Job& createCallerJob(const CallerRequest& request, base::TimePoint now);
  void requestClaim(Job& job, base::TimePoint now);
  /// The request was given up before its claim was answered: it certainly does not run.
  void releaseClaim(const ledger::ClaimRequest& claim, base::TimePoint now);
  void onClaimResult(JobId id, const base::Bytes* result, base::TimePoint now);
  [[nodiscard]] base::Duration expectedWait(std::uint32_t priority, const std::string& model,
                                            base::TimePoint now) const;
  WorkloadState& workloadState(const base::WorkloadPath& workload, base::TimePoint now);

  // Dispatch: gateway_dispatch.cpp.
  void enqueue(Job& job, base::TimePoint now);
  void dispatch(base::TimePoint now);
  bool tryDispatch(Job& job, bool isHedge, base::TimePoint now);
  void hedgeSlowSamples(base::TimePoint now);
  void pollEngines(base::TimePoint now);
  [[nodiscard]] bool isReaderOf(base::EngineId engine) const;
  /// The delta with only the engines that this gateway reads and uses.
  [[nodiscard]] control::ControlDelta withOwnEngines(const control::ControlDelta& delta) const;

  // Attempts: gateway_attempts.cpp.
  [[nodiscard]] Job* jobOf(base::AttemptId attempt);
  void dropAttempt(Job& job, base::AttemptId attempt, bool cancel, base::TimePoint now);
  void onAttemptFailed(Job& job, base::TimePoint now);
  void retryOrGiveUp(Job& job, base::TimePoint now);
  void finishWhole(Job& job, VersionedTokens output, std::string finishReason, base::TimePoint now);
  void giveUp(Job& job, RejectionReason reason, std::string message, base::TimePoint now);
  void recordOutcome(Job& job, ledger::ClaimOutcome outcome, base::Bytes answer,
                     base::TimePoint now, Action last);
  void expireJobs(base::TimePoint now);
  void removeJob(JobId id);

  // Samples: gateway_samples.cpp.
  void leaseSamples(base::TimePoint now);
  void onLeaseResult(base::GroupId group, const base::Bytes* result, base::TimePoint now);
  void createSampleJob(base::GroupId group, const ledger::LeasedSample& sample,
                       base::TimePoint now);
  void commitSample(Job& job, ledger::SampleResult result, base::TimePoint now);
  void sendCommit(JobId id, const base::Bytes& command, base::TimePoint now);
  void returnWaitingSamples(base::TimePoint now);
  [[nodiscard]] std::uint32_t wantedSamples(base::TimePoint now) const;

  LedgerLink& ledgerFor(std::uint64_t hash);
  LedgerLink& ledgerOf(base::GroupId group);
  void callGroup(consensus::GroupClient& client, transport::CommandKind kind, base::Bytes payload,
                 base::TimePoint now, consensus::GroupClient::Callback callback);
  void refuse(const RejectRequest& refusal);
  [[nodiscard]] std::uint64_t uniqueNumber();

  const GatewaySettings settings_;
  base::Random& random_;
  ControlView view_;
  routing::EngineTable engines_;
  routing::EngineSelector selector_;
  routing::OutlierDetector outliers_;
  routing::DispatchQueue queue_;
  routing::RetryBudget retry_budget_;
  ledger::LengthEstimates length_estimates_;  ///< of callers' answers
  consensus::GroupClient control_;
  std::vector<LedgerLink> ledgers_;

  std::map<JobId, Job> jobs_;
  std::unordered_map<base::CallerId, JobId> job_by_caller_;
  std::unordered_map<base::AttemptId, JobId> job_by_attempt_;
  std::set<JobId> waiting_for_retry_;
  std::unordered_map<base::WorkloadPath, WorkloadState> workloads_;
  std::map<base::EngineId, base::TimePoint> read_at_;
  std::uint64_t counter_ = 0;
  bool draining_ = false;
  bool left_ = false;
  base::TimePoint expired_at_{};
  base::TimePoint started_at_{};
  double tokens_per_second_ = 0.0;  ///< moving average over all engines
  std::uint64_t tokens_at_rate_ = 0;
  base::TimePoint rate_at_{};
  GatewayCounters counters_;
  GatewayActions actions_;
};

}  // namespace tackpick::gateway
