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
#include "jobs/item_run.h"
#include "jobs/progress_saver.h"
#include "jobs/run_decisions.h"
#include "jobs/run_event_interval.h"
#include "node/request_guard.h"
#include "node/scoring_client.h"
#include "node/tick_interval.h"
#include "telemetry/metric.h"

namespace tackpick::node {

class Node;

class ItemRunner {
 public:
  ItemRunner(Node& node, forwarding::InstanceTable& instances, const directory::RouteTable& routes,
             jobs::LedgerClient& ledgers, RequestGuard& guard)
      : node_(node),
        instances_(instances),
        routes_(routes),
        ledgers_(ledgers),
        progress_(ledgers, [this] { return runs(); }, {}),
        m_guard(guard),
        scores_(node, instances, routes, guard) {}

  void onView(const directory::DirectoryView& view);
  void tick();
  /// Recent work by model.
  [[nodiscard]] const directory::ModelDemand& demand() const { return demand_; }
  /// Takes no further items; what runs may finish.
  void beginStop() { stopping_ = true; }
  /// Breaks off what runs, hands its texts to the ledgers and gives all leases back.
  void release();
  void reportFigures(telemetry::Metrics& metrics) const;
  /// Nothing runs and every result is handed in.
  [[nodiscard]] bool idle() const { return items_.empty() && !committing_; }

 private:
  /// An item between its lease and the commit of its result.
  struct Running {
    explicit Running(jobs::LeasedItem leased, std::string versionField)
        : run(std::move(leased)), parser(std::move(versionField)) {}

    jobs::ItemRun run;
    std::uint64_t eventsAtLease = run.lastEvent().value_or(0);
    jobs::StreamEventParser parser;
    base::TimePoint leasedAt{};
    base::TimePoint notBefore{};
    std::set<std::string> tried;
    http::ExchangeId exchange;  ///< valid while an attempt runs
    std::string instance;
    std::string service;
    base::TimePoint sentAt{};
    base::TimePoint lastByteAt{};
    int status = 0;
    std::uint32_t attempts = 0;
    std::uint32_t moves = 0;           ///< to faster engines
    std::uint32_t queueMoves = 0;      ///< away from engines where it waited
    std::string next;                  ///< where it is to go on, when that is decided
    base::Duration begunAfter{0};      ///< from its first send to its first event
    std::uint32_t intervalEvents = 0;  ///< events since the pace was last noted
    base::TimePoint intervalStart{};
    jobs::RunEventInterval pace;  ///< of the running attempt
    base::TimePoint firstSentAt{};
    bool notExecuted = false;
    bool unusable = false;  ///< the running attempt's answer must not be used
    bool whole = false;     ///< only its score may still be missing
    base::TimePoint wholeAt{};
    bool scoring = false;                    ///< its scorer is being asked
    std::optional<jobs::ItemState> outcome;  ///< its result waits to be committed
    std::optional<quarantine::RequestFingerprint> fingerprint;  ///< once it is needed
    bool trial = false;      ///< instances ended under it; this run is a trial
    bool committed = false;  ///< its result was handed in, and may have been taken
  };

  /// Neither runs nor is to run.
  [[nodiscard]] static bool needsEngine(const Running& item) {
    return !item.whole && !item.outcome;
  }

  [[nodiscard]] jobs::ProgressSaver::Runs runs() const;
  void giveBack();
  void lease(base::TimePoint now);
  void onLeased(const jobs::JobReply& reply);
  /// Between two calls for leases.
  [[nodiscard]] base::Duration leaseInterval() const;
  [[nodiscard]] jobs::FreeSlots wantedItems() const;
  [[nodiscard]] jobs::GatewayCapacity capacity() const;
  /// Without a renewal of the leases nothing new is sent: a job may have ended.
  [[nodiscard]] bool mayStart(base::TimePoint now) const;
  void startAttempts(base::TimePoint now);
  /// False when the item is held, since it has ended engines.
  [[nodiscard]] bool admit(Running& item);
  [[nodiscard]] const quarantine::RequestFingerprint& fingerprintOf(Running& item) const;
  /// The run at the item's engine broke off and may have begun.
  void onBroken(Running& item);
  void startAttempt(const jobs::ItemKey& key, Running& item, base::TimePoint now);
  void onHead(const jobs::ItemKey& key, int status, const http::HeaderList& headers);
  void onData(const jobs::ItemKey& key, std::string_view data);
  void onEnd(const jobs::ItemKey& key, const http::UpstreamResult& end);
  [[nodiscard]] static bool isTextComplete(const Running& item);
  static void noteLeased(const std::vector<jobs::LeasedItem>& leased);
  void retryLater(Running& item, base::Duration delay);
  void cutSilent(base::TimePoint now);
  /// Continues items elsewhere that would end late on a slow engine or, where that cannot be told,
  /// have run long on one much slower than another.
  void moveFromSlow(base::TimePoint now);
  [[nodiscard]] const forwarding::InstanceEntry* findFaster(const Running& item,
                                                            base::TimePoint now) const;
  [[nodiscard]] static jobs::RunForecast forecastOf(const Running& item, base::TimePoint now);
  /// Sends items elsewhere that wait at a full engine while another has room.
  void moveFromQueues(base::TimePoint now);
  [[nodiscard]] jobs::RunState runStateOf(const Running& item, base::TimePoint now) const;
  [[nodiscard]] forwarding::InstanceRequirements requirementsOf(const Running& item) const;
  /// Continues texts elsewhere whose engine makes no events of them any more.
  void moveFromStalls(base::TimePoint now);
  /// Continues texts elsewhere that do not end before their engine does.
  void moveFromDraining(base::TimePoint now);
  void recordDraining(const directory::DirectoryView& view, base::TimePoint now);
  /// Breaks the running attempt off; the item goes on at `instance`.
  void moveTo(const jobs::ItemKey& key, Running& item, const std::string& instance,
              std::string_view reason);
  [[nodiscard]] const forwarding::InstanceEntry* chooseInstance(Running& item, base::TimePoint now);
  void recordEventInterval(Running& item, base::TimePoint now);
  [[nodiscard]] bool isLong(const Running& item) const;
  /// A run ended without the whole text: notes why, and when the next may begin.
  void onAttemptFailed(const jobs::ItemKey& key, Running& item, forwarding::AttemptOutcome outcome,
                       base::Duration delay);
  void cancelAttempt(Running& item);
  /// The text is whole: asks its scorer, or finishes the item when it needs no score.
  void onTextComplete(const jobs::ItemKey& key, Running& item);
  void startScoring(base::TimePoint now);
  void onScore(const jobs::ItemKey& key, const std::string* score);
  void finishItem(const jobs::ItemKey& key, Running& item, jobs::ItemState outcome);
  void logFinished(const jobs::ItemKey& key, const Running& item) const;
  void commit(base::TimePoint now);
  [[nodiscard]] jobs::CommitResults takeResults();
  void onCommitted(const jobs::CommitResults& request, bool known);

  Node& node_;
  forwarding::InstanceTable& instances_;
  const directory::RouteTable& routes_;
  jobs::LedgerClient& ledgers_;
  jobs::ProgressSaver progress_;
  RequestGuard& m_guard;
  ScoringClient scores_;
  std::map<jobs::ItemKey, std::unique_ptr<Running>> items_;
  std::uint32_t m_activeGateways = 1;  ///< gateways that run items
  bool m_activeGatewaysKnown = false;  ///< ... as the ledgers say; until then all gateways count
  bool standby_ = false;               ///< others run the items of this gateway's zone
  forwarding::ServiceModels engine_models_;
  std::map<std::string, base::TimePoint> m_terminationTimes;  ///< of engines that say when they end
  bool leasing_ = false;
  bool committing_ = false;
  bool stopping_ = false;
  bool released_ = false;
  base::TimePoint lease_at_{};
  base::TimePoint renewed_at_{};
  base::TimePoint m_lastIntervalReportAt{};
  directory::ModelDemand demand_;
  base::EventLoopLag m_lateness{kTickInterval};
  double typical_tokens_ = 0;  ///< moving average of the expected length of an item
};

}  // namespace tackpick::node
