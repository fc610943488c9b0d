/// \file
/// Gateway role: admission, queueing, engine selection, retries, and execution of leased samples.
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
#include "gateway/task.h"
#include "ledger/length_estimator.h"
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

/// Settings of Gateway.
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
  ControlViewSettings::Mutants controlViewMutants;
  base::Duration watchInterval = base::milliseconds(400);
  base::Duration pollInterval = base::milliseconds(200);  ///< between two polls of an engine
  /// Number of gateways that poll and use each engine; zero: all gateways. The gateways of an
  /// engine are selected by rendezvous hashing over `peers`.
  std::uint32_t gatewaysPerEngine = 0;
  std::vector<base::NodeId> peers;

  std::uint32_t maxAttempts = 4;  ///< maximum attempts of a caller's request
  double retryRatio = 0.2;
  double retryBurst = 20.0;
  base::Duration retryBackoff = base::milliseconds(50);
  base::Duration stallTimeout =
      base::seconds(4);               ///< time without a token after which an attempt is cancelled
  std::uint32_t samplePrefetch = 16;  ///< queued samples kept beyond the free slots
  std::uint32_t maxLeasedSamples = 1024;  ///< maximum number of samples leased at the same time
  base::Duration leaseInterval = base::milliseconds(100);
  base::Duration heartbeatInterval = base::milliseconds(800);

  bool resumePartialOutput = true;  ///< continue failed attempts instead of restarting them
  bool hedgeSlowSamplesEnabled = true;
  bool longestFirst = true;
  base::Duration hedgeDelay = base::seconds(1);
  double maxHedgeUtilization = 0.5;  ///< maximum share of busy slots at which samples are hedged

  struct Mutants {
    bool retryUnknownOutcome = false;        ///< retry a not-repeatable request that may have run
    bool skipClaim = false;                  ///< dispatch a not-repeatable request without a claim
    bool labelWithPublishedVersion = false;  ///< ignore the version of the chunk
    bool ignoreEarlierVerdicts = false;      ///< report the verdict of the last attempt only
    bool ignoreOffsets = false;              ///< append chunks without checking their offset
    bool acceptTruncatedStream = false;      ///< treat a lost connection as a complete answer
    bool abortOnDrain = false;               ///< abort running requests when draining
  } mutants;
};

/// Counters since the start of the process, exported as metrics.
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
  std::uint64_t tokensDiscarded = 0;  ///< received but not used
  std::uint64_t samplesLeased = 0;
  std::uint64_t samplesCommitted = 0;
  std::uint64_t samplesStale = 0;
};

/// Accepts requests of callers, leases samples from the ledgers, and runs both on engines. Event
/// handlers append to the actions that takeActions() returns. Deterministic; owned by one thread.
class Gateway {
 public:
  Gateway(GatewaySettings settings, base::Random& random, base::TimePoint now);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Events from callers.
  void onCallerRequest(const CallerRequest& request, base::TimePoint now);
  /// Cancels the request of a caller that disconnected, unless it is not repeatable.
  void onCallerDisconnected(base::CallerId caller, base::TimePoint now);

  // Events from engines.
  void onEngineStatus(const engine::EngineStatus& status, base::TimePoint now);
  void onCacheEvent(base::EngineId engine, const engine::CacheEvent& event) {
    engines_.onCacheEvent(engine, event);
  }
  void onCacheEventsLost(base::EngineId engine) { engines_.onCacheEventsLost(engine); }
  void onChunk(const engine::Chunk& chunk, base::TimePoint now);
  void onAttemptEnd(const engine::AttemptEnd& end, base::TimePoint now);

  // Messages from controllers and ledgers, and timer ticks.
  void onMessage(base::NodeId from, const transport::InternalMessage& message, base::TimePoint now);
  void tick(base::TimePoint now);

  // Calls to replication groups on behalf of trainers and operators.
  /// Sends a command or query to the ledger group that owns `batch`.
  void callLedger(const base::BatchId& batch, transport::CommandKind kind, base::Bytes payload,
                  base::TimePoint now, consensus::GroupClient::Callback callback);
  /// Sends a command or query to the controllers.
  void callControllers(transport::CommandKind kind, base::Bytes payload, base::TimePoint now,
                       consensus::GroupClient::Callback callback);

  /// Rejects new work from now on, releases samples that are not running, and finishes all
  /// other tasks.
  void beginDrain(base::TimePoint now);
  [[nodiscard]] bool isDraining() const { return draining_; }
  /// Whether draining is complete: no task is left and every ledger call has been answered.
  [[nodiscard]] bool isDrained() const;

  [[nodiscard]] GatewayActions takeActions() { return std::exchange(actions_, {}); }
  [[nodiscard]] const ControlView& view() const { return m_controlView; }
  [[nodiscard]] const routing::EngineTable& engines() const { return engines_; }
  [[nodiscard]] const GatewayCounters& counters() const { return counters_; }
  [[nodiscard]] std::size_t taskCount() const { return m_tasks.size(); }
  [[nodiscard]] std::size_t queuedCount() const { return queue_.size(); }
  /// Returns the delay after which a rejected request of this priority may be sent again.
  [[nodiscard]] base::Duration retryAfter(std::uint32_t priority, const std::string& model,
                                          base::TimePoint now) const;

 private:
  struct WorkloadState {
    routing::TokenBucket bucket;
    std::uint32_t inFlight = 0;
  };
  /// Client and sample leases of one ledger group.
  struct LedgerGroupState {
    std::unique_ptr<consensus::GroupClient> client;
    std::uint64_t leaseSequence = 0;
    bool leaseInFlight = false;
    base::TimePoint lastLeaseSentAt{};
    base::TimePoint lastContactAt{};
    std::uint32_t heldSamples = 0;  ///< samples leased from this group
    bool lastLeaseEmpty = false;    ///< the latest lease request returned no samples
  };

  // Implemented in gateway_admission.cpp.
  /// Returns why a request is rejected; std::nullopt if it is admitted.
  [[nodiscard]] std::optional<RejectRequest> checkAdmission(const CallerRequest& request,
                                                            base::TimePoint now);
  Task& createCallerTask(const CallerRequest& request, base::TimePoint now);
  void requestClaim(Task& task, base::TimePoint now);
  /// Records that a request did not run, because it ended before its claim was confirmed.
  void releaseClaim(const ledger::ClaimRequest& claim, base::TimePoint now);
  void onClaimResult(TaskId id, const base::Bytes* result, base::TimePoint now);
  /// Returns how long a new request of this priority is expected to wait in the queue.
  [[nodiscard]] base::Duration expectedWait(std::uint32_t priority, const std::string& model,
                                            base::TimePoint now) const;
  WorkloadState& workloadState(const base::WorkloadPath& workload, base::TimePoint now);

  // Implemented in gateway_dispatch.cpp.
  void enqueue(Task& task, base::TimePoint now);
  void dispatch(base::TimePoint now);
  /// Starts an attempt of the task; false if no engine is available.
  bool tryDispatch(Task& task, bool isHedge, base::TimePoint now);
  void hedgeSlowSamples(base::TimePoint now);
  void pollEngines(base::TimePoint now);
  /// Whether this gateway polls and uses the engine; see GatewaySettings::gatewaysPerEngine.
  [[nodiscard]] bool usesEngine(base::EngineId engine) const;
  /// Returns the delta with only the engines that this gateway uses.
  [[nodiscard]] control::ControlDelta filterEngines(const control::ControlDelta& delta) const;

  // Implemented in gateway_attempts.cpp.
  /// Returns the task of an attempt, or null if the attempt has ended.
  [[nodiscard]] Task* findTask(base::AttemptId attempt);
  /// Ends an attempt and keeps its output for a retry; `cancel` also cancels it on the engine.
  void removeAttempt(Task& task, base::AttemptId attempt, bool cancel, base::TimePoint now);
  void onAttemptFailed(Task& task, base::TimePoint now);
  /// Schedules another attempt after a backoff, or fails the task if no retry is allowed.
  void retryOrFail(Task& task, base::TimePoint now);
  void completeTask(Task& task, VersionedTokens output, std::string finishReason,
                    base::TimePoint now);
  void failTask(Task& task, RejectionReason reason, std::string message, base::TimePoint now);
  /// Records the outcome of a claimed request in the ledger, then emits `finalAction` and removes
  /// the task.
  void recordOutcome(Task& task, ledger::ClaimOutcome outcome, base::Bytes response,
                     base::TimePoint now, Action finalAction);
  /// Queues due retries, fails tasks past their deadline, and cancels stalled attempts.
  void expireTasks(base::TimePoint now);
  void removeTask(TaskId id);

  // Implemented in gateway_samples.cpp.
  void leaseSamples(base::TimePoint now);
  void onLeaseResult(base::GroupId group, const base::Bytes* result, base::TimePoint now);
  void createSampleTask(base::GroupId group, const ledger::LeasedSample& sample,
                        base::TimePoint now);
  void commitSample(Task& task, ledger::SampleResult result, base::TimePoint now);
  void sendCommit(TaskId id, const base::Bytes& command, base::TimePoint now);
  void returnQueuedSamples(base::TimePoint now);
  /// Returns the number of samples to request from a ledger group now.
  [[nodiscard]] std::uint32_t samplesToLease(base::TimePoint now) const;

  /// Returns the ledger group that owns a hash.
  LedgerGroupState& ledgerByHash(std::uint64_t hash);
  LedgerGroupState& ledgerByGroup(base::GroupId group);
  void callGroup(consensus::GroupClient& client, transport::CommandKind kind, base::Bytes payload,
                 base::TimePoint now, consensus::GroupClient::Callback callback);
  void reject(const RejectRequest& rejection);
  /// Returns an id that is unique over all gateways and their restarts.
  [[nodiscard]] std::uint64_t nextUniqueId();

  const GatewaySettings settings_;
  base::Random& random_;
  ControlView m_controlView;
  routing::EngineTable engines_;
  routing::EngineSelector selector_;
  routing::OutlierDetector outliers_;
  routing::DispatchQueue queue_;
  routing::RetryBudget retry_budget_;
  /// Updated with the lengths of the answers to callers' requests.
  ledger::LengthEstimator m_lengthEstimator;
  consensus::GroupClient m_controllerClient;
  std::vector<LedgerGroupState> ledgers_;

  std::map<TaskId, Task> m_tasks;
  std::unordered_map<base::CallerId, TaskId> m_taskByCaller;
  std::unordered_map<base::AttemptId, TaskId> m_taskByAttempt;
  std::set<TaskId> waiting_for_retry_;
  std::unordered_map<base::WorkloadPath, WorkloadState> workloads_;
  std::map<base::EngineId, base::TimePoint> m_lastPolledAt;
  std::uint64_t m_lastId = 0;
  bool draining_ = false;
  bool m_leaseReleased = false;
  base::TimePoint m_lastExpiryCheckAt{};
  base::TimePoint started_at_{};
  double tokens_per_second_ = 0.0;  ///< moving average over all engines in use
  std::uint64_t m_tokensAtRateMeasurement = 0;
  base::TimePoint m_rateMeasuredAt{};
  GatewayCounters counters_;
  GatewayActions actions_;
};

}  // namespace tackpick::gateway
