#include "jobs/item_leases.h"

#include <algorithm>
#include <limits>

#include "jobs/fifo_scheduler.h"
#include "jobs/slack_scheduler.h"

namespace tackpick::jobs {
namespace {

std::set<ItemKey> keysOf(const std::vector<HeldItem>& held) {
  std::set<ItemKey> keys;
  for (const HeldItem& item : held) {
    keys.insert(item.key);
  }
  return keys;
}

}  // namespace

void ItemLeases::reset(std::uint64_t term, base::TimePoint now, base::Duration grace) {
  constexpr unsigned kTermShift = 32;
  last_number_ = term << kTermShift;
  queue_.clear();
  plan_.clear();
  plan_outdated_ = true;
  leases_.clear();
  leases_by_gateway_.clear();
  items_by_engine_.clear();
  affinity_.clear();
  m_engineAffinity.clear();
  m_models.clear();
  m_gatewaySelector.clear();
  m_gatewaySelector.setSlots(placement_.slotsByZone());
  first_seen_.clear();
  m_resubmittedGroups.clear();
  seen_items_.clear();
  m_itemOrders.clear();
  m_lateJobs.clear();
  m_kinds.clear();
  m_order = makeOrder();
  leasing_from_ = now + grace;
}

bool ItemLeases::addJob(const std::string& id, const Job& job, base::TimePoint seenAt) {
  if (!first_seen_.try_emplace(id, seenAt).second) {
    return false;
  }
  if (job.settled()) {
    return true;
  }
  m_models.insert(job.submission.model);
  std::set<std::string>& resubmitted = m_resubmittedGroups[id];
  for (const Item& item : job.submission.items) {
    if (!seen_items_.insert(item.id).second) {
      resubmitted.insert(item.group);
    }
  }
  observeKind(job.submission);
  const ItemOrder& order = m_itemOrders[id] = itemOrderOf(job.submission, resubmitted);
  for (const std::uint32_t item : order.items) {
    const ItemKey key{id, item};
    if (!job.listed[item] && !leases_.contains(key)) {
      queue_.append(job, key);
    }
  }
  plan_outdated_ = true;
  return true;
}

std::unique_ptr<JobScheduler> ItemLeases::makeOrder() const {
  const bool bySlack = m_orderPolicy == SchedulerPolicy::kBySlack ||
                       (m_orderPolicy == SchedulerPolicy::kAutomatic && m_kinds.size() > 1);
  if (bySlack) {
    return std::make_unique<SlackScheduler>();
  }
  return std::make_unique<FifoScheduler>();
}

void ItemLeases::observeKind(const JobSubmission& job) {
  const std::size_t known = m_kinds.size();
  m_kinds.emplace(job.model, job.tenant, job.priority);
  if (known == 1 && m_kinds.size() > 1) {
    m_order = makeOrder();
  }
}

void ItemLeases::setTenantPriorities(TenantPriorities priorities) {
  m_priorities = std::move(priorities);
  plan_outdated_ = true;
}

std::set<std::string> ItemLeases::resubmittedGroupsOf(const std::string& job) const {
  const auto found = m_resubmittedGroups.find(job);
  return found == m_resubmittedGroups.end() ? std::set<std::string>{} : found->second;
}

bool ItemLeases::isOpen(const JobState& state, const ItemKey& key) {
  const Job* job = state.find(key.job);
  return job != nullptr && !job->settled() && key.item < job->listed.size() &&
         !job->listed[key.item];
}

void ItemLeases::setEngines(std::vector<PlacementEngine> engines) {
  placement_.setEngines(std::move(engines));
  m_engineAffinity.clear();
  observeEngines();
}

void ItemLeases::changeEngines(std::vector<PlacementEngine> changed,
                               const std::vector<std::string>& removed) {
  if (changed.empty() && removed.empty()) {
    return;
  }
  placement_.changeEngines(std::move(changed), removed);
  for (const std::string& engine : removed) {
    m_engineAffinity.forget(engine);
  }
  observeEngines();
}

void ItemLeases::observeEngines() {
  m_gatewaySelector.setSlots(placement_.slotsByZone());
  plan_outdated_ = true;
}

std::uint32_t ItemLeases::runningItems(const std::string& job) const {
  std::uint32_t running = 0;
  for (auto lease = leases_.lower_bound({job, 0}); lease != leases_.end(); ++lease) {
    if (lease->first.job != job) {
      break;
    }
    ++running;
  }
  return running;
}

void ItemLeases::addLease(const ItemKey& key, Lease lease) {
  if (!lease.engine.empty()) {
    ++items_by_engine_[lease.engine];
  }
  lease.since = lease.until - lease_time_;
  leases_by_gateway_[lease.gateway].insert(key);
  leases_.emplace(key, std::move(lease));
}

ItemLeases::Leases::iterator ItemLeases::eraseLease(Leases::iterator lease) {
  setEngine(lease->second, {});
  const auto owned = leases_by_gateway_.find(lease->second.gateway);
  owned->second.erase(lease->first);
  if (owned->second.empty()) {
    leases_by_gateway_.erase(owned);
  }
  plan_outdated_ = true;
  return leases_.erase(lease);
}

void ItemLeases::setEngine(Lease& lease, const std::string& engine) {
  if (lease.engine == engine) {
    return;
  }
  const auto former = items_by_engine_.find(lease.engine);
  if (former != items_by_engine_.end() && --former->second == 0) {
    items_by_engine_.erase(former);
  }
  if (!engine.empty()) {
    ++items_by_engine_[engine];
  }
  lease.engine = engine;
  plan_outdated_ = true;
}

void ItemLeases::refresh(const JobState& state, base::TimePoint now) {
  for (auto it = leases_.begin(); it != leases_.end();) {
    const bool open = isOpen(state, it->first);
    if (open && now < it->second.until) {
      ++it;
      continue;
    }
    if (open) {
      queue_.putBack(state.find(it->first.job), it->first);
    }
    it = eraseLease(it);
  }
}

std::vector<ItemKey> ItemLeases::renew(base::NodeId gateway, const std::vector<HeldItem>& held,
                                       const JobState& state, base::TimePoint now) {
  endLeasesOfFormerRuns(gateway, now);
  std::vector<ItemKey> revoked;
  for (const auto& [key, engine] : held) {
    if (!isOpen(state, key)) {
      revoked.push_back(key);
      continue;
    }
    const auto lease = leases_.find(key);
    if (lease == leases_.end()) {
      // Held since before this leader's time. The queue drops it when it comes to it.
      addLease(key, {gateway, now + lease_time_, engine});
    } else if (lease->second.gateway == gateway) {
      lease->second.until = now + lease_time_;
      setEngine(lease->second, engine);
    } else {
      revoked.push_back(key);  // another runs it by now
    }
  }
  endUnheldLeases(gateway, held, now);
  return revoked;
}

void ItemLeases::endUnheldLeases(base::NodeId gateway, const std::vector<HeldItem>& held,
                                 base::TimePoint now) {
  const auto owned = leases_by_gateway_.find(gateway);
  if (owned == leases_by_gateway_.end()) {
    return;
  }
  const std::set<ItemKey> keys = keysOf(held);
  for (const ItemKey& key : owned->second) {
    constexpr int kHalf = 2;
    Lease& lease = leases_.at(key);
    const bool old = lease.until - now < lease_time_ / kHalf;
    if (old && !keys.contains(key)) {
      lease.until = now;
    }
  }
}

void ItemLeases::endLeasesOfFormerRuns(base::NodeId gateway, base::TimePoint now) {
  const std::uint32_t number = base::nodeNumber(gateway);
  for (auto it = leases_by_gateway_.lower_bound(base::makeNodeId(number, 0));
       it != leases_by_gateway_.end() && base::nodeNumber(it->first) == number; ++it) {
    if (it->first == gateway) {
      continue;
    }
    for (const ItemKey& key : it->second) {
      leases_.at(key).until = now;
    }
  }
}

void ItemLeases::onGatewayLost(std::uint32_t gatewayNumber, base::Duration grace,
                               base::TimePoint now) {
  affinity_.forget(gatewayNumber);
  m_gatewaySelector.forget(gatewayNumber);
  for (auto it = leases_by_gateway_.lower_bound(base::makeNodeId(gatewayNumber, 0));
       it != leases_by_gateway_.end() && base::nodeNumber(it->first) == gatewayNumber; ++it) {
    for (const ItemKey& key : it->second) {
      Lease& lease = leases_.at(key);
      lease.until = std::min(lease.until, now + grace);
    }
  }
}

void ItemLeases::giveBack(base::NodeId gateway, const std::vector<HeldItem>& held,
                          const JobState& state) {
  const auto owned = leases_by_gateway_.find(gateway);
  if (owned == leases_by_gateway_.end()) {
    return;
  }
  const std::set<ItemKey> kept = keysOf(held);
  const std::set<ItemKey> given = owned->second;
  for (const ItemKey& key : given) {
    if (!kept.contains(key)) {
      queue_.putBack(state.find(key.job), key);
      eraseLease(leases_.find(key));
    }
  }
}

std::vector<GrantedItem> ItemLeases::lease(base::NodeId gateway, FreeSlots wanted,
                                           const JobState& state, base::TimePoint now) {
  std::vector<GrantedItem> leased;
  if (now < leasing_from_) {
    return leased;
  }
  plan(state, now);
  leaseWhole(gateway, state, now, leased);
  LeaseCall call = callOf(gateway, std::move(wanted), now);
  for (auto& [zone, jobs] : plan_.zones()) {
    // What suits another gateway keeps its place, so that every gateway sees the same plan.
    if (!zone.empty() && !affinity_.suits(gateway, zone, now)) {
      continue;
    }
    // Where all jobs need the same model all engines run alike, and the next call fills one
    // soonest.
    call.byAffinity = m_models.size() > 1 && zone == call.zone;
    for (auto& [age, planned] : jobs) {
      leasePlanned(call, planned, state, leased);
    }
  }
  return leased;
}

void ItemLeases::leaseWhole(base::NodeId gateway, const JobState& state, base::TimePoint now,
                            std::vector<GrantedItem>& leased) {
  for (QueuedJob& queued : queue_.jobs()) {
    while (!queued.whole.empty()) {
      const ItemKey key{queued.id, queued.whole.front()};
      queued.whole.pop_front();
      if (isOpen(state, key) && !leases_.contains(key)) {
        addLease(key, {gateway, now + lease_time_, {}});
        leased.push_back({key, ++last_number_, {}});
      }
    }
  }
}

ItemLeases::LeaseCall ItemLeases::callOf(base::NodeId gateway, FreeSlots wanted,
                                         base::TimePoint now) {
  LeaseCall call;
  call.gateway = gateway;
  call.zone = affinity_.zoneOf(gateway);
  call.now = now;
  call.room = std::move(wanted);
  const auto owned = leases_by_gateway_.find(gateway);
  const std::size_t held = owned == leases_by_gateway_.end() ? 0 : owned->second.size();
  const std::size_t most = m_gatewaySelector.maxItems(gateway, call.zone, now)
                               .value_or(std::numeric_limits<std::uint32_t>::max());
  call.itemsLeft = most - std::min(most, held);
  return call;
}

std::vector<GatewaySummary> ItemLeases::gateways() const {
  std::vector<GatewaySummary> gateways = m_gatewaySelector.summaries();
  for (GatewaySummary& summary : gateways) {
    const auto owned = leases_by_gateway_.find(summary.gateway);
    summary.held =
        owned == leases_by_gateway_.end() ? 0 : static_cast<std::uint32_t>(owned->second.size());
  }
  return gateways;
}

void ItemLeases::leasePlanned(LeaseCall& call, PlannedJob& planned, const JobState& state,
                              std::vector<GrantedItem>& leased) {
  // Items that suit others are passed over; with many of them, those in front go first.
  constexpr std::size_t kMaxPassedOver = 128;
  std::size_t at = 0;
  while (at < planned.items.size() && at < kMaxPassedOver) {
    const auto next = planned.items.begin() + static_cast<std::ptrdiff_t>(at);
    if (!isOpen(state, next->key) || leases_.contains(next->key)) {
      planned.items.erase(next);
      continue;
    }
    if (call.byAffinity && !m_engineAffinity.mayTake(call.gateway, next->engine, call.now)) {
      ++at;
      continue;
    }
    if (call.itemsLeft == 0 || !call.room.take(planned.model, planned.minimumVersion)) {
      if (call.byAffinity) {
        m_engineAffinity.onDeclined(next->engine);
      }
      return;
    }
    --call.itemsLeft;
    m_engineAffinity.onTaken(call.gateway, next->engine, call.now);
    addLease(next->key, {call.gateway, call.now + lease_time_, next->engine});
    m_order->onLeased(next->key.job);
    leased.push_back({std::move(next->key), ++last_number_, std::move(next->engine)});
    planned.items.erase(next);
  }
}

base::TimePoint ItemLeases::firstSeen(const std::string& job, base::TimePoint now) const {
  const auto found = first_seen_.find(job);
  return found == first_seen_.end() ? now : found->second;
}

}  // namespace tackpick::jobs
