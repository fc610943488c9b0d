/// \file
/// Runs the items that this gateway has leased from the ledgers.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/event_loop_lag.h"
#include "directory/model_demand.h"
#include "directory/route_table.h"
#include "forwarding/instance_table.h"
#include "http/upstream_client.h"
#include "jobs/broken_run_backoff.h"
#include "jobs/item_run.h"
#include "jobs/progress_saver.h"
#include "jobs/run_decisions.h"
#include "jobs/run_event_interval.h"
#include "node/quarantine_client.h"
#include "node/scoring_client.h"
#include "node/tick_interval.h"
#include "telemetry/metric.h"

namespace tackpick::node {

class Node;

/// Leases items, runs them at engines, moves them to other engines when needed, has them scored and
/// commits their results. Owned by the event loop of its Node.
class ItemRunner {
 public:
  ItemRunner(Node& node, forwarding::InstanceTable& instances, const directory::RouteTable& routes,
             jobs::LedgerClient& ledgers, QuarantineClient& quarantineClient)
      : node_(node),
        instances_(instances),
        routes_(routes),
        ledgers_(ledgers),
        progress_(ledgers, [this] { return runs(); }, {}),
        m_quarantineClient(quarantineClient),
        m_scoringClient(node, instances, routes, quarantineClient) {}

  void onView(const directory::DirectoryView& view);
  void tick();
  /// Recent demand by model.
  [[nodiscard]] const directory::ModelDemand& demand() const { return demand_; }
  /// Leases no further items; items that already run may finish.
  void beginStop() { stopping_ = true; }
  /// Cancels all attempts, saves their partial texts at the ledgers and returns all leases.
  void release();
  void updateGauges(telemetry::Metrics& metrics) const;
  /// Whether no item is leased and no commit is in flight.
  [[nodiscard]] bool idle() const { return m_items.empty() && !committing_; }

 private:
  /// Time before an item is retried whose engine sent an invalid response. The item may have caused
  /// it, in which case it happens at every engine.
  static constexpr base::Duration kMalformedRetryDelay = base::milliseconds(100);

  /// An item from its lease until its result is committed.
  struct ActiveItem {
    explicit ActiveItem(jobs::LeasedItem leased, std::string versionField)
        : run(std::move(leased)), parser(std::move(versionField)) {}

    jobs::ItemRun run;
    std::uint64_t eventsAtLeaseStart = run.lastEvent().value_or(0);
    jobs::StreamEventParser parser;
    base::TimePoint leasedAt{};
    base::TimePoint notBefore{};
    std::set<std::string> triedInstances;
    http::ExchangeId exchange;  ///< valid while an attempt is in flight
    std::string instance;
    std::string service;
    base::TimePoint sentAt{};
    /// When the attempt was sent, its headers arrived or its last event was complete. Bytes of an
    /// incomplete event are no progress.
    base::TimePoint lastProgressAt{};
    int status = 0;
    std::uint32_t attempts = 0;
    std::uint32_t moves = 0;             ///< moves to faster engines
    std::uint32_t rebalanceMoves = 0;    ///< moves away from full or stalled engines
    std::string nextInstance;            ///< instance that the next attempt prefers; empty: any
    base::Duration timeToFirstEvent{0};  ///< from the first attempt to the first event
    std::uint32_t intervalEvents = 0;    ///< events since intervalStart
    base::TimePoint intervalStart{};
    jobs::RunEventInterval eventInterval;  ///< event interval of the current attempt
    base::TimePoint firstSentAt{};
    bool notExecuted = false;
    bool discardResponse = false;  ///< the response of the current attempt must not be used
    bool responseInvalid = false;  ///< it violates the protocol or exceeds a limit
    std::size_t errorBytes = 0;    ///< received bytes of a response with an error status
    bool textComplete = false;     ///< only the score may be missing
    base::TimePoint textCompletedAt{};
    bool scoring = false;                    ///< a scoring call is pending
    std::optional<jobs::ItemState> outcome;  ///< set when finished; the result must be committed
    jobs::BrokenRunBackoff brokenRuns;
    bool committed = false;  ///< its result was sent to the ledgers, which may have stored it
  };

  /// Whether the item is running or must still run.
  [[nodiscard]] static bool needsEngine(const ActiveItem& item) {
    return !item.textComplete && !item.outcome;
  }

  /// Returns the runs of all leased items, for saving their progress.
  [[nodiscard]] jobs::ProgressSaver::Runs runs() const;
  /// Drops all unfinished items and reports their release to the ledgers.
  void returnLeases();
  void lease(base::TimePoint now);
  void onLeased(const jobs::JobReply& reply);
  /// Interval between two lease calls.
  [[nodiscard]] base::Duration leaseInterval() const;
  /// Number of items to lease, by model and minimum version.
  [[nodiscard]] jobs::FreeSlots wantedItems() const;
  [[nodiscard]] jobs::GatewayCapacity capacity() const;
  /// Whether new attempts may start. False if the leases have not been renewed recently, because
  /// the job may have ended.
  [[nodiscard]] bool canStart(base::TimePoint now) const;
  void startAttempts(base::TimePoint now);
  void startAttempt(const jobs::ItemKey& key, ActiveItem& item, base::TimePoint now);
  void onHead(const jobs::ItemKey& key, int status, const http::HeaderList& headers);
  void onData(const jobs::ItemKey& key, std::string_view data);
  /// Adds the event to the text. Returns false if the response must not be used any further.
  [[nodiscard]] bool addEvent(ActiveItem& item, const jobs::StreamEvent& event);
  static void rejectResponse(ActiveItem& item);
  void onEnd(const jobs::ItemKey& key, const http::UpstreamResult& end);
  /// Handles an attempt that ended without a complete response.
  void onIncomplete(const jobs::ItemKey& key, ActiveItem& item, const http::UpstreamResult& end);
  [[nodiscard]] static bool isTextComplete(const ActiveItem& item);
  static void logLeased(const std::vector<jobs::LeasedItem>& leased);
  void retryLater(ActiveItem& item, base::Duration delay);
  /// Cancels attempts whose response must not be used, that have received no data within the read
  /// timeout or whose engine has restarted.
  void cancelTimedOut(base::TimePoint now);
  /// Moves items that are forecast to miss their due time to faster engines. If there is no
  /// forecast, moves items that have run long on an engine much slower than another.
  void moveFromSlowEngines(base::TimePoint now);
  [[nodiscard]] const forwarding::InstanceEntry* findFaster(const ActiveItem& item,
                                                            base::TimePoint now) const;
  [[nodiscard]] static jobs::RunForecast forecastOf(const ActiveItem& item, base::TimePoint now);
  /// Moves items that wait at a full engine while another has a free slot.
  void moveQueuedItems(base::TimePoint now);
  [[nodiscard]] jobs::RunState runStateOf(const ActiveItem& item, base::TimePoint now) const;
  [[nodiscard]] forwarding::InstanceRequirements requirementsOf(const ActiveItem& item) const;
  /// Moves items whose engine no longer produces events for them.
  void moveStalledItems(base::TimePoint now);
  /// Moves items that would not finish before their engine terminates.
  void moveFromDrainingEngines(base::TimePoint now);
  /// Records the termination times that engines report in a view.
  void recordTerminationTimes(const directory::DirectoryView& view, base::TimePoint now);
  /// Cancels the current attempt; the item continues at `instance`, or at any instance if that is
  /// empty.
  void moveTo(const jobs::ItemKey& key, ActiveItem& item, const std::string& instance,
              std::string_view reason);
  [[nodiscard]] const forwarding::InstanceEntry* chooseInstance(ActiveItem& item,
                                                                base::TimePoint now);
  void recordEventInterval(ActiveItem& item, base::TimePoint now);
  [[nodiscard]] bool isLong(const ActiveItem& item) const;
  /// Handles an attempt that ended without a complete text: records the outcome and the time before
  /// which the item is not retried.
  void onAttemptFailed(const jobs::ItemKey& key, ActiveItem& item,
                       forwarding::AttemptOutcome outcome, base::Duration delay);
  void cancelAttempt(ActiveItem& item);
  /// Starts the scoring of a complete text, or finishes the item if it needs no score.
  void onTextComplete(const jobs::ItemKey& key, ActiveItem& item);
  void startScoring(base::TimePoint now);
  void onScore(const jobs::ItemKey& key, const std::string* score);
  void finishItem(const jobs::ItemKey& key, ActiveItem& item, jobs::ItemState outcome);
  void logFinished(const jobs::ItemKey& key, const ActiveItem& item) const;
  void commit(base::TimePoint now);
  [[nodiscard]] jobs::CommitResults collectResults();
  void onCommitted(const jobs::CommitResults& request, bool acknowledged);

  Node& node_;
  forwarding::InstanceTable& instances_;
  const directory::RouteTable& routes_;
  jobs::LedgerClient& ledgers_;
  jobs::ProgressSaver progress_;
  QuarantineClient& m_quarantineClient;
  ScoringClient m_scoringClient;
  std::map<jobs::ItemKey, std::unique_ptr<ActiveItem>> m_items;
  std::uint32_t m_activeGateways = 1;  ///< number of gateways that run items
  /// Whether the ledgers have reported m_activeGateways. Until then it counts all gateways.
  bool m_activeGatewaysKnown = false;
  bool standby_ = false;  ///< other gateways run the items of this gateway's zone
  forwarding::ServiceModels engine_models_;
  /// Reported termination times, by engine.
  std::map<std::string, base::TimePoint> m_terminationTimes;
  bool leasing_ = false;
  bool committing_ = false;
  bool stopping_ = false;
  bool m_leasesReleased = false;
  base::TimePoint m_lastLeaseCallAt{};
  base::TimePoint m_leasesRenewedAt{};
  base::TimePoint m_lastIntervalReportAt{};
  directory::ModelDemand demand_;
  base::EventLoopLag m_eventLoopLag{kTickInterval};
  double m_averageTokens = 0;  ///< moving average of the expected length of an item
};

}  // namespace tackpick::node
