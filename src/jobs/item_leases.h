/// \file
/// Which gateway runs which item: the memory of the ledgers' leader.
#pragma once

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

/// An item with the number of its lease, which is higher than that of every earlier lease.
struct GrantedItem {
  ItemKey key;
  std::uint64_t lease = 0;
  std::string engine;  ///< where it should run; empty: all are full
};

/// Deterministic. Items are leased in the order of a JobScheduler and, within a job, in that of
/// leaseOrder(). A lease that its gateway stops renewing returns to the front of the queue. An item
/// may run twice (the first result counts), so nothing here needs to be durable.
///
/// Which item goes where is planned for all gateways at once, when something has changed and at
/// most once in each `planInterval`: the cost of a gateway's call does not grow with the queue, the
/// engines or the other gateways' leases.
class ItemLeases {
 public:
  explicit ItemLeases(base::Duration leaseTime, base::Duration planInterval = {},
                      SchedulerPolicy orderPolicy = SchedulerPolicy::kAutomatic,
                      EngineAffinitySettings affinity = {})
      : lease_time_(leaseTime),
        plan_interval_(planInterval),
        m_engineAffinity(affinity),
        m_orderPolicy(orderPolicy),
        m_order(makeOrder()) {}

  /// Forgets everything; call when this ledger becomes leader in `term`. Every open item can be
  /// leased again after `grace`, in which gateways tell what they hold.
  void reset(std::uint64_t term, base::TimePoint now, base::Duration grace);
  /// Takes up the items of a job that is new to the leader; false when it was not. `seenAt`: when
  /// this ledger first saw it.
  bool addJob(const std::string& id, const Job& job, base::TimePoint seenAt);
  /// Takes effect with the next plan; leases stay.
  void setTenantPriorities(TenantPriorities priorities);
  /// Groups of a job that an earlier one left unfinished.
  [[nodiscard]] std::set<std::string> resubmittedGroupsOf(const std::string& job) const;
  /// Ends leases of jobs that are settled or gone, and returns expired ones to the queue.
  void refresh(const JobState& state, base::TimePoint now);
  /// Renews what `gateway` holds. Returns the items it holds that need not run any more.
  [[nodiscard]] std::vector<ItemKey> renew(base::NodeId gateway, const std::vector<HeldItem>& held,
                                           const JobState& state, base::TimePoint now);
  /// The connection to a gateway broke: its leases end after `grace` unless it renews them.
  void onGatewayLost(std::uint32_t gatewayNumber, base::Duration grace, base::TimePoint now);
  /// Returns all leases of `gateway` to the queue, but those of items that it holds.
  void giveBack(base::NodeId gateway, const std::vector<HeldItem>& held, const JobState& state);
  /// A gateway asks for items, or for none any more.
  void onLeaseRequest(base::NodeId gateway, const std::string& zone, bool acceptsItems,
                      base::TimePoint now, const GatewayCapacity& capacity = {}) {
    affinity_.note(gateway, zone, acceptsItems, now);
    m_gatewaySelector.note(gateway, zone, acceptsItems, now, capacity);
  }
  /// Which gateways run items.
  [[nodiscard]] GatewaySelector& gatewaySelector() { return m_gatewaySelector; }
  /// All gateways that ask for items.
  [[nodiscard]] std::vector<GatewaySummary> gateways() const;
  /// Leases items to `gateway` that should run at engines in its zone, as many as find a place in
  /// `wanted`, and whole texts that only their score is missing of. The caller asks the gateway
  /// selector first whether the gateway runs items.
  [[nodiscard]] std::vector<GrantedItem> lease(base::NodeId gateway, FreeSlots wanted,
                                               const JobState& state, base::TimePoint now);
  /// Leased items by the engine where they run or were placed.
  [[nodiscard]] const std::map<std::string, std::uint32_t>& itemsByEngine() const {
    return items_by_engine_;
  }
  /// Until the job's results are due; the longest duration where no due time is known.
  [[nodiscard]] base::Duration timeUntilDue(const Job& job, const std::string& id,
                                            base::TimePoint now) const;
  /// Events that are still expected of an item's text; zero: unknown.
  [[nodiscard]] double remainingEvents(const Job& job, const ItemKey& key,
                                       base::TimePoint now) const;
  /// timeUntilDue() less what the longest open item that the caller needs is expected to take.
  [[nodiscard]] base::Duration slackOf(const Job& job, const std::string& id,
                                       base::TimePoint now) const;
  /// What is known of the lengths of texts.
  [[nodiscard]] LengthForecast& forecast() { return m_forecast; }
  [[nodiscard]] const LengthForecast& forecast() const { return m_forecast; }
  /// How fast texts are made.
  [[nodiscard]] ModelEventIntervals& eventIntervals() { return m_eventIntervals; }
  /// For operators: open jobs, and what each tenant has of the engines.
  [[nodiscard]] WorkSummary summary(const JobState& state, base::TimePoint now) const;
  /// Items of a job that are leased.
  [[nodiscard]] std::uint32_t runningItems(const std::string& job) const;
  /// All engines there are.
  void setEngines(std::vector<PlacementEngine> engines);
  void changeEngines(std::vector<PlacementEngine> changed, const std::vector<std::string>& removed);
  [[nodiscard]] EnginePlacement& placement() { return placement_; }
  /// When the leader first saw the job; it was submitted no later.
  [[nodiscard]] base::TimePoint firstSeen(const std::string& job, base::TimePoint now) const;
  [[nodiscard]] const std::map<std::string, base::TimePoint>& knownJobs() const {
    return first_seen_;
  }
  void forgetJob(const std::string& job) {
    first_seen_.erase(job);
    m_resubmittedGroups.erase(job);
    m_itemOrders.erase(job);
    m_lateJobs.erase(job);
  }

 private:
  struct Lease {
    base::NodeId gateway;
    base::TimePoint until{};
    std::string engine;  ///< where it runs, or was placed
    base::TimePoint since = {};
  };
  /// A queued job while a plan is made.
  struct JobPlan;
  /// Model, tenant and priority of a job's route.
  using JobKind = std::tuple<std::string, std::string, std::uint32_t>;

  using Leases = std::map<ItemKey, Lease>;

  /// A gateway's call for items.
  struct LeaseCall {
    base::NodeId gateway;
    std::string zone;
    base::TimePoint now{};
    FreeSlots room;
    std::size_t itemsLeft = 0;  ///< that it may hold besides those that it holds
    bool byAffinity = false;    ///< it takes only items of engines that the affinity allows
  };

  /// Another process runs at the gateway's address by now: what the former held is free.
  void endLeasesOfFormerRuns(base::NodeId gateway, base::TimePoint now);
  /// What the gateway was given and does not hold did not reach it, or was given back.
  void endUnheldLeases(base::NodeId gateway, const std::vector<HeldItem>& held,
                       base::TimePoint now);
  void addLease(const ItemKey& key, Lease lease);
  Leases::iterator eraseLease(Leases::iterator lease);
  void setEngine(Lease& lease, const std::string& engine);
  /// Plans what is queued, when the plan is no longer up to date.
  void plan(const JobState& state, base::TimePoint now);
  [[nodiscard]] std::vector<JobPlan> queuedJobs(const JobState& state, base::TimePoint now);
  void beginOrder(std::vector<JobPlan>& jobs);
  /// Plans all items that find a place.
  void planItems(std::vector<JobPlan>& jobs);
  /// Finds a place for the next item of a job; false when there is none.
  bool planItem(JobPlan& plan, std::size_t run);
  /// Goes on to the next item that waits for an engine; false when none does.
  bool advance(JobPlan& plan);
  [[nodiscard]] Urgency urgencyOf(JobPlan& plan);
  [[nodiscard]] std::unique_ptr<JobScheduler> makeOrder() const;
  void observeKind(const JobSubmission& job);
  /// Tells the engines' affinity for which engines items are planned.
  void observePlan(base::TimePoint now);
  void observeEngines();
  void leaseWhole(base::NodeId gateway, const JobState& state, base::TimePoint now,
                  std::vector<GrantedItem>& leased);
  /// What the gateway may take of the plan.
  [[nodiscard]] LeaseCall callOf(base::NodeId gateway, FreeSlots wanted, base::TimePoint now);
  void leasePlanned(LeaseCall& call, PlannedJob& planned, const JobState& state,
                    std::vector<GrantedItem>& leased);
  [[nodiscard]] static bool isOpen(const JobState& state, const ItemKey& key);

  const base::Duration lease_time_;
  const base::Duration plan_interval_;
  base::TimePoint leasing_from_{};
  std::uint64_t last_number_ = 0;  ///< of a lease
  EnginePlacement placement_;
  ZoneAffinity affinity_;
  EngineAffinity m_engineAffinity;
  std::set<std::string> m_models;  ///< of all jobs that were seen
  GatewaySelector m_gatewaySelector;
  ItemQueue queue_;
  LeasePlan plan_;
  base::TimePoint planned_at_{};
  bool plan_outdated_ = true;
  Leases leases_;
  std::map<base::NodeId, std::set<ItemKey>> leases_by_gateway_;
  std::map<std::string, std::uint32_t> items_by_engine_;
  std::map<std::string, base::TimePoint> first_seen_;
  std::set<std::string> seen_items_;  ///< ids, to know those that come again
  std::map<std::string, std::set<std::string>> m_resubmittedGroups;  ///< groups, by job
  std::map<std::string, ItemOrder> m_itemOrders;                     ///< by job
  std::set<std::string> m_lateJobs;  ///< that cannot be whole in time
  const SchedulerPolicy m_orderPolicy;
  std::set<JobKind> m_kinds;  ///< of the jobs seen
  std::unique_ptr<JobScheduler> m_order;
  TenantPriorities m_priorities;
  LengthForecast m_forecast;
  ModelEventIntervals m_eventIntervals;
};

}  // namespace tackpick::jobs
