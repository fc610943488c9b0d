/// \file
/// Leases of items to gateways, kept in the memory of the ledgers' leader.
#pragma once

#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"
#include "jobs/engine_affinity.h"
#include "jobs/engine_placement.h"
#include "jobs/gateway_selector.h"
#include "jobs/item_queue.h"
#include "jobs/job_scheduler.h"
#include "jobs/job_state.h"
#include "jobs/lease_order.h"
#include "jobs/lease_plan.h"
#include "jobs/length_forecast.h"
#include "jobs/model_event_intervals.h"
#include "jobs/tenant_priorities.h"
#include "jobs/work_summary.h"
#include "jobs/zone_affinity.h"

namespace tackpick::jobs {

/// A leased item and the number of its lease, which is higher than that of every earlier lease.
struct GrantedItem {
  ItemKey key;
  std::uint64_t lease = 0;
  std::string engine;  ///< engine on which it should run; empty: all are full
};

/// Leases items in the order of a JobScheduler and, within a job, of leaseOrder(). An item whose
/// lease expires returns to the front of the queue. An item may run twice (the first result
/// counts), so leases need not be durable. Deterministic.
///
/// Items are planned for all gateways together, after a change and at most once per `planInterval`,
/// so that the time of a gateway's request does not grow with the queue, the engines or the leases
/// of other gateways.
class ItemLeases {
 public:
  explicit ItemLeases(base::Duration leaseTime, base::Duration planInterval = {},
                      SchedulerPolicy schedulerPolicy = SchedulerPolicy::kAutomatic,
                      EngineAffinitySettings affinity = {})
      : lease_time_(leaseTime),
        plan_interval_(planInterval),
        m_engineAffinity(affinity),
        m_schedulerPolicy(schedulerPolicy),
        m_scheduler(makeScheduler()) {}

  /// Clears all state; call it when this ledger becomes leader in `term`. Open items can be leased
  /// after `grace`, during which gateways report the items they hold.
  void reset(std::uint64_t term, base::TimePoint now, base::Duration grace);
  /// Adds the open items of a job. Returns false if the job is already known. `seenAt`: time at
  /// which this ledger first saw it.
  bool addJob(const std::string& id, const Job& job, base::TimePoint seenAt);
  /// Sets the tenants' priorities. They apply from the next plan on; existing leases are
  /// unaffected.
  void setTenantPriorities(TenantPriorities priorities);
  /// Returns the groups of a job that were resubmitted after an earlier job left them incomplete.
  [[nodiscard]] std::set<std::string> resubmittedGroupsOf(const std::string& job) const;
  /// Removes leases of items that are no longer open, and returns items with expired leases to the
  /// queue.
  void refresh(const JobState& state, base::TimePoint now);
  /// Renews the leases of the items that `gateway` holds. Returns the held items that
  /// need not run any more.
  [[nodiscard]] std::vector<ItemKey> renew(base::NodeId gateway, const std::vector<HeldItem>& held,
                                           const JobState& state, base::TimePoint now);
  /// Handles the loss of the connection to a gateway: its leases expire after `grace` unless
  /// renewed.
  void onGatewayLost(std::uint32_t gatewayNumber, base::Duration grace, base::TimePoint now);
  /// Requeues the items that are leased to `gateway` and not in `held`.
  void release(base::NodeId gateway, const std::vector<HeldItem>& held, const JobState& state);
  /// Records a gateway's lease request. `acceptsItems`: false if it wants no more items.
  /// `configurationVersion`: version that the gateway applies.
  void onLeaseRequest(base::NodeId gateway, const std::string& zone, bool acceptsItems,
                      base::TimePoint now, const GatewayCapacity& capacity = {},
                      std::uint64_t configurationVersion = 0) {
    affinity_.recordRequest(gateway, zone, acceptsItems, configurationVersion, now);
    m_gatewaySelector.recordRequest(gateway, zone, acceptsItems, now, capacity);
  }
  /// Returns the selector of the gateways that run items.
  [[nodiscard]] GatewaySelector& gatewaySelector() { return m_gatewaySelector; }
  /// Returns the gateways that request items, with the number of their leased items.
  [[nodiscard]] std::vector<GatewaySummary> gateways() const;
  /// Leases items that should run at engines in the zone of `gateway`, as many as fit into
  /// `requestedSlots`, and items with complete text that need only a score. Leases no item of a job
  /// that was accepted under a newer configuration than the gateway applies: the gateway could not
  /// tell a route that it has not received from one that was removed. The caller must check with
  /// the gateway selector that the gateway is active. `maxBytes`: memory that the requests of the
  /// gateway's items may take. A larger item is leased to a gateway whose other items are small.
  [[nodiscard]] std::vector<GrantedItem> lease(
      base::NodeId gateway, FreeSlots requestedSlots, const JobState& state, base::TimePoint now,
      std::size_t maxBytes = std::numeric_limits<std::size_t>::max());
  /// Returns the number of leased items by the engine on which they run or were placed.
  [[nodiscard]] const std::map<std::string, std::uint32_t>& itemsByEngine() const {
    return items_by_engine_;
  }
  /// Returns the time until the job's results are due; Duration::max() if there is no due time.
  [[nodiscard]] base::Duration timeUntilDue(const Job& job, const std::string& id,
                                            base::TimePoint now) const;
  /// Returns the expected remaining events of an item's text; zero: unknown.
  [[nodiscard]] double remainingEvents(const Job& job, const ItemKey& key,
                                       base::TimePoint now) const;
  /// Returns timeUntilDue() minus the expected run time of the longest open item that the caller
  /// needs.
  [[nodiscard]] base::Duration slackOf(const Job& job, const std::string& id,
                                       base::TimePoint now) const;
  /// Returns the forecast of the lengths of texts.
  [[nodiscard]] LengthForecast& forecast() { return m_forecast; }
  [[nodiscard]] const LengthForecast& forecast() const { return m_forecast; }
  /// Returns the event intervals by model.
  [[nodiscard]] ModelEventIntervals& eventIntervals() { return m_eventIntervals; }
  /// Returns a summary of open jobs and of the tenants' shares, for operators.
  [[nodiscard]] WorkSummary summary(const JobState& state, base::TimePoint now) const;
  /// Returns the number of leased items of a job.
  [[nodiscard]] std::uint32_t runningItems(const std::string& job) const;
  /// Replaces all engines.
  void setEngines(std::vector<EngineInfo> engines);
  void changeEngines(std::vector<EngineInfo> changed, const std::vector<std::string>& removed);
  [[nodiscard]] EnginePlacement& placement() { return placement_; }
  /// Returns the time at which the leader first saw the job, which is not before its submission;
  /// `now` if it is unknown.
  [[nodiscard]] base::TimePoint firstSeen(const std::string& job, base::TimePoint now) const;
  [[nodiscard]] const std::map<std::string, base::TimePoint>& knownJobs() const {
    return first_seen_;
  }
  void removeJob(const std::string& job) {
    first_seen_.erase(job);
    m_resubmittedGroups.erase(job);
    m_itemOrders.erase(job);
    m_lateJobs.erase(job);
  }

 private:
  struct Lease {
    base::NodeId gateway;
    base::TimePoint expiresAt{};
    std::string engine;  ///< engine on which it runs or was placed
    base::TimePoint leasedAt = {};
  };
  /// A queued job during planning.
  struct JobPlan;
  /// Model, tenant and route priority of a job.
  using JobKind = std::tuple<std::string, std::string, std::uint32_t>;

  using Leases = std::map<ItemKey, Lease>;

  /// State of a gateway's request for items.
  struct LeaseRequest {
    base::NodeId gateway;
    std::string zone;
    base::TimePoint now{};
    std::uint64_t configurationVersion = 0;  ///< version that the gateway applies
    FreeSlots freeSlots;
    std::size_t remainingItems = 0;  ///< maximum number of items that it may still lease
    std::size_t itemBytes = 0;       ///< memory of the requests of its items
    std::size_t maxBytes = 0;
    bool affinityOnly = false;  ///< lease only items of engines for which the gateway is eligible
  };

  /// Returns the memory of the requests of the items that are leased to a gateway.
  [[nodiscard]] std::size_t leasedBytes(base::NodeId gateway, const JobState& state) const;
  /// Whether the gateway may lease an item whose request takes `itemBytes`.
  [[nodiscard]] static bool fits(const LeaseRequest& request, std::size_t itemBytes);
  /// Expires leases of earlier processes at the gateway's address.
  void expireLeasesOfOldIncarnations(base::NodeId gateway, base::TimePoint now);
  /// Expires leases of items that the gateway does not hold: the gateway has released them, or the
  /// reply with the lease was lost.
  void expireUnheldLeases(base::NodeId gateway, const std::vector<HeldItem>& held,
                          base::TimePoint now);
  void addLease(const ItemKey& key, Lease lease);
  Leases::iterator eraseLease(Leases::iterator lease);
  void setEngine(Lease& lease, const std::string& engine);
  /// Plans the queued items if the plan is outdated.
  void plan(const JobState& state, base::TimePoint now);
  [[nodiscard]] std::vector<JobPlan> makeJobPlans(const JobState& state, base::TimePoint now);
  void beginScheduling(std::vector<JobPlan>& jobs);
  /// Plans items until the engines are full or no item is left.
  void planItems(std::vector<JobPlan>& jobs);
  /// Places the next item of a job; returns false if no engine has a free slot.
  bool planItem(JobPlan& plan, std::size_t position);
  /// Skips items that need no engine; returns false if no other item is left.
  bool skipToNext(JobPlan& plan);
  [[nodiscard]] Urgency urgencyOf(JobPlan& plan);
  [[nodiscard]] std::unique_ptr<JobScheduler> makeScheduler() const;
  void recordJobKind(const JobSubmission& job);
  /// Updates the engine affinity with the planned items.
  void updateAffinity(base::TimePoint now);
  void onEnginesChanged();
  void leaseScoringOnly(base::NodeId gateway, const JobState& state, base::TimePoint now,
                        std::vector<GrantedItem>& leased);
  /// Returns the limits of a gateway's request.
  [[nodiscard]] LeaseRequest makeLeaseRequest(base::NodeId gateway, FreeSlots requestedSlots,
                                              base::TimePoint now);
  void leasePlanned(LeaseRequest& request, PlannedJob& planned, const JobState& state,
                    std::vector<GrantedItem>& leased);
  [[nodiscard]] static bool isOpen(const JobState& state, const ItemKey& key);

  const base::Duration lease_time_;
  const base::Duration plan_interval_;
  base::TimePoint m_leasingFrom{};
  std::uint64_t m_lastLease = 0;  ///< number of the last lease
  EnginePlacement placement_;
  ZoneAffinity affinity_;
  EngineAffinity m_engineAffinity;
  std::set<std::string> m_models;  ///< models of all jobs seen
  GatewaySelector m_gatewaySelector;
  ItemQueue queue_;
  LeasePlan plan_;
  base::TimePoint planned_at_{};
  bool plan_outdated_ = true;
  Leases leases_;
  std::map<base::NodeId, std::set<ItemKey>> leases_by_gateway_;
  std::map<std::string, std::uint32_t> items_by_engine_;
  std::map<std::string, base::TimePoint> first_seen_;
  std::set<std::string> m_knownItems;  ///< item ids, to recognize resubmitted items
  std::map<std::string, std::set<std::string>> m_resubmittedGroups;  ///< resubmitted groups by job
  std::map<std::string, ItemOrder> m_itemOrders;                     ///< by job
  std::set<std::string> m_lateJobs;  ///< jobs that cannot complete in time
  const SchedulerPolicy m_schedulerPolicy;
  std::set<JobKind> m_jobKinds;  ///< of all jobs seen
  std::unique_ptr<JobScheduler> m_scheduler;
  TenantPriorities m_priorities;
  LengthForecast m_forecast;
  ModelEventIntervals m_eventIntervals;
};

}  // namespace tackpick::jobs
