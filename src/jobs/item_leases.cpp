#include "jobs/item_leases.h"

#include <algorithm>
#include <limits>

#include "jobs/fifo_scheduler.h"
#include "jobs/slack_scheduler.h"

namespace tackpick::jobs {
namespace {

std::set<ItemKey> heldKeysOf(const std::vector<HeldItem>& held) {
  std::set<ItemKey> keys;
  for (const HeldItem& item : held) {
    keys.insert(item.key);
  }
  return keys;
}

}  // namespace

void ItemLeases::reset(std::uint64_t term, base::TimePoint now, base::Duration grace) {
  constexpr unsigned kTermShift = 32;
  m_lastLease = term << kTermShift;
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
  m_knownItems.clear();
  m_itemOrders.clear();
  m_lateJobs.clear();
  m_jobKinds.clear();
  m_scheduler = makeScheduler();
  m_leasingFrom = now + grace;
}

bool ItemLeases::addJob(const std::string& id, const Job& job, base::TimePoint seenAt) {
  if (!first_seen_.try_emplace(id, seenAt).second) {
    return false;
  }
  if (job.finished()) {
    return true;
  }
  m_models.insert(job.submission.model);
  std::set<std::string>& resubmitted = m_resubmittedGroups[id];
  for (const Item& item : job.submission.items) {
    if (!m_knownItems.insert(item.id).second) {
      resubmitted.insert(item.group);
    }
  }
  recordJobKind(job.submission);
  const ItemOrder& order = m_itemOrders[id] = itemOrderOf(job.submission, resubmitted);
  for (const std::uint32_t item : order.items) {
    const ItemKey key{id, item};
    if (!job.hasResult[item] && !leases_.contains(key)) {
      queue_.append(job, key);
    }
  }
  plan_outdated_ = true;
  return true;
}

std::unique_ptr<JobScheduler> ItemLeases::makeScheduler() const {
  const bool bySlack = m_schedulerPolicy == SchedulerPolicy::kBySlack ||
                       (m_schedulerPolicy == SchedulerPolicy::kAutomatic && m_jobKinds.size() > 1);
  if (bySlack) {
    return std::make_unique<SlackScheduler>();
  }
  return std::make_unique<FifoScheduler>();
}

void ItemLeases::recordJobKind(const JobSubmission& job) {
  const std::size_t known = m_jobKinds.size();
  m_jobKinds.emplace(job.model, job.tenant, job.priority);
  if (known == 1 && m_jobKinds.size() > 1) {
    m_scheduler = makeScheduler();
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
  return job != nullptr && !job->finished() && key.item < job->hasResult.size() &&
         !job->hasResult[key.item];
}

void ItemLeases::setEngines(std::vector<EngineInfo> engines) {
  placement_.setEngines(std::move(engines));
  m_engineAffinity.clear();
  onEnginesChanged();
}

void ItemLeases::changeEngines(std::vector<EngineInfo> changed,
                               const std::vector<std::string>& removed) {
  if (changed.empty() && removed.empty()) {
    return;
  }
  placement_.changeEngines(std::move(changed), removed);
  for (const std::string& engine : removed) {
    m_engineAffinity.remove(engine);
  }
  onEnginesChanged();
}

void ItemLeases::onEnginesChanged() {
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
  lease.leasedAt = lease.expiresAt - lease_time_;
  leases_by_gateway_[lease.gateway].insert(key);
  leases_.emplace(key, std::move(lease));
}

ItemLeases::Leases::iterator ItemLeases::eraseLease(Leases::iterator lease) {
  setEngine(lease->second, {});
  const auto gatewayLeases = leases_by_gateway_.find(lease->second.gateway);
  gatewayLeases->second.erase(lease->first);
  if (gatewayLeases->second.empty()) {
    leases_by_gateway_.erase(gatewayLeases);
  }
  plan_outdated_ = true;
  return leases_.erase(lease);
}

void ItemLeases::setEngine(Lease& lease, const std::string& engine) {
  if (lease.engine == engine) {
    return;
  }
  const auto previous = items_by_engine_.find(lease.engine);
  if (previous != items_by_engine_.end() && --previous->second == 0) {
    items_by_engine_.erase(previous);
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
    if (open && now < it->second.expiresAt) {
      ++it;
      continue;
    }
    if (open) {
      queue_.requeue(state.find(it->first.job), it->first);
    }
    it = eraseLease(it);
  }
}

std::vector<ItemKey> ItemLeases::renew(base::NodeId gateway, const std::vector<HeldItem>& held,
                                       const JobState& state, base::TimePoint now) {
  expireLeasesOfOldIncarnations(gateway, now);
  std::vector<ItemKey> revoked;
  for (const auto& [key, engine] : held) {
    if (!isOpen(state, key)) {
      revoked.push_back(key);
      continue;
    }
    const auto lease = leases_.find(key);
    if (lease == leases_.end()) {
      // The item was leased by an earlier leader. It stays in the queue until planning removes it.
      addLease(key, {gateway, now + lease_time_, engine});
    } else if (lease->second.gateway == gateway) {
      lease->second.expiresAt = now + lease_time_;
      setEngine(lease->second, engine);
    } else {
      revoked.push_back(key);  // leased to another gateway
    }
  }
  expireUnheldLeases(gateway, held, now);
  return revoked;
}

void ItemLeases::expireUnheldLeases(base::NodeId gateway, const std::vector<HeldItem>& held,
                                    base::TimePoint now) {
  const auto gatewayLeases = leases_by_gateway_.find(gateway);
  if (gatewayLeases == leases_by_gateway_.end()) {
    return;
  }
  const std::set<ItemKey> keys = heldKeysOf(held);
  for (const ItemKey& key : gatewayLeases->second) {
    constexpr int kHalf = 2;
    Lease& lease = leases_.at(key);
    const bool old = lease.expiresAt - now < lease_time_ / kHalf;
    if (old && !keys.contains(key)) {
      lease.expiresAt = now;
    }
  }
}

void ItemLeases::expireLeasesOfOldIncarnations(base::NodeId gateway, base::TimePoint now) {
  const std::uint32_t number = base::nodeNumber(gateway);
  for (auto it = leases_by_gateway_.lower_bound(base::makeNodeId(number, 0));
       it != leases_by_gateway_.end() && base::nodeNumber(it->first) == number; ++it) {
    if (it->first == gateway) {
      continue;
    }
    for (const ItemKey& key : it->second) {
      leases_.at(key).expiresAt = now;
    }
  }
}

void ItemLeases::onGatewayLost(std::uint32_t gatewayNumber, base::Duration grace,
                               base::TimePoint now) {
  affinity_.remove(gatewayNumber);
  m_gatewaySelector.remove(gatewayNumber);
  for (auto it = leases_by_gateway_.lower_bound(base::makeNodeId(gatewayNumber, 0));
       it != leases_by_gateway_.end() && base::nodeNumber(it->first) == gatewayNumber; ++it) {
    for (const ItemKey& key : it->second) {
      Lease& lease = leases_.at(key);
      lease.expiresAt = std::min(lease.expiresAt, now + grace);
    }
  }
}

void ItemLeases::release(base::NodeId gateway, const std::vector<HeldItem>& held,
                         const JobState& state) {
  const auto gatewayLeases = leases_by_gateway_.find(gateway);
  if (gatewayLeases == leases_by_gateway_.end()) {
    return;
  }
  const std::set<ItemKey> heldKeys = heldKeysOf(held);
  const std::set<ItemKey> leasedKeys = gatewayLeases->second;
  for (const ItemKey& key : leasedKeys) {
    if (!heldKeys.contains(key)) {
      queue_.requeue(state.find(key.job), key);
      eraseLease(leases_.find(key));
    }
  }
}

std::vector<GrantedItem> ItemLeases::lease(base::NodeId gateway, FreeSlots requestedSlots,
                                           const JobState& state, base::TimePoint now,
                                           std::size_t maxBytes) {
  std::vector<GrantedItem> leased;
  if (now < m_leasingFrom) {
    return leased;
  }
  plan(state, now);
  leaseScoringOnly(gateway, state, now, leased);
  LeaseRequest request = makeLeaseRequest(gateway, std::move(requestedSlots), now);
  request.itemBytes = leasedBytes(gateway, state);
  request.maxBytes = maxBytes;
  for (auto& [zone, jobs] : plan_.zones()) {
    const std::uint64_t minVersion =
        zone.empty() ? 0 : affinity_.minConfigurationVersion(gateway, zone, now);
    // Engine affinity is not used with a single model, because then all engines are alike.
    request.affinityOnly = m_models.size() > 1 && zone == request.zone;
    for (auto& [position, planned] : jobs) {
      // Items for other gateways keep their position, so that every gateway is offered the same
      // plan.
      if (planned.configurationVersion >= minVersion &&
          planned.configurationVersion <= request.configurationVersion) {
        leasePlanned(request, planned, state, leased);
      }
    }
  }
  return leased;
}

void ItemLeases::leaseScoringOnly(base::NodeId gateway, const JobState& state, base::TimePoint now,
                                  std::vector<GrantedItem>& leased) {
  const std::uint64_t configurationVersion = affinity_.configurationVersionOf(gateway);
  for (QueuedJob& queued : queue_.jobs()) {
    const Job* job = state.find(queued.id);
    if (job != nullptr && job->submission.configurationVersion > configurationVersion) {
      continue;
    }
    while (!queued.scoringOnly.empty()) {
      const ItemKey key{queued.id, queued.scoringOnly.front()};
      queued.scoringOnly.pop_front();
      if (isOpen(state, key) && !leases_.contains(key)) {
        addLease(key, {gateway, now + lease_time_, {}});
        leased.push_back({key, ++m_lastLease, {}});
      }
    }
  }
}

ItemLeases::LeaseRequest ItemLeases::makeLeaseRequest(base::NodeId gateway,
                                                      FreeSlots requestedSlots,
                                                      base::TimePoint now) {
  LeaseRequest request;
  request.gateway = gateway;
  request.zone = affinity_.zoneOf(gateway);
  request.configurationVersion = affinity_.configurationVersionOf(gateway);
  request.now = now;
  request.freeSlots = std::move(requestedSlots);
  const auto gatewayLeases = leases_by_gateway_.find(gateway);
  const std::size_t held =
      gatewayLeases == leases_by_gateway_.end() ? 0 : gatewayLeases->second.size();
  const std::size_t limit = m_gatewaySelector.maxItems(gateway, request.zone, now)
                                .value_or(std::numeric_limits<std::uint32_t>::max());
  request.remainingItems = limit - std::min(limit, held);
  return request;
}

std::size_t ItemLeases::leasedBytes(base::NodeId gateway, const JobState& state) const {
  std::size_t bytes = 0;
  const auto found = leases_by_gateway_.find(gateway);
  if (found != leases_by_gateway_.end()) {
    for (const ItemKey& key : found->second) {
      const Job* job = state.find(key.job);
      bytes += job == nullptr ? 0 : memoryOf(job->submission.items[key.item]);
    }
  }
  return bytes;
}

bool ItemLeases::fits(const LeaseRequest& request, std::size_t itemBytes) {
  constexpr std::size_t kSmallDivisor = 8;
  return request.itemBytes <= request.maxBytes / kSmallDivisor ||
         request.itemBytes + itemBytes <= request.maxBytes;
}

std::vector<GatewaySummary> ItemLeases::gateways() const {
  std::vector<GatewaySummary> gateways = m_gatewaySelector.summaries();
  for (GatewaySummary& summary : gateways) {
    const auto gatewayLeases = leases_by_gateway_.find(summary.gateway);
    summary.held = gatewayLeases == leases_by_gateway_.end()
                       ? 0
                       : static_cast<std::uint32_t>(gatewayLeases->second.size());
  }
  return gateways;
}

void ItemLeases::leasePlanned(LeaseRequest& request, PlannedJob& planned, const JobState& state,
                              std::vector<GrantedItem>& leased) {
  // Items for other gateways are skipped; the limit bounds the time of a request.
  constexpr std::size_t kMaxSkipped = 128;
  std::size_t index = 0;
  while (index < planned.items.size() && index < kMaxSkipped) {
    const auto next = planned.items.begin() + static_cast<std::ptrdiff_t>(index);
    if (!isOpen(state, next->key) || leases_.contains(next->key)) {
      planned.items.erase(next);
      continue;
    }
    if (request.affinityOnly &&
        !m_engineAffinity.isEligible(request.gateway, next->engine, request.now)) {
      ++index;
      continue;
    }
    const std::size_t itemBytes =
        memoryOf(state.find(next->key.job)->submission.items[next->key.item]);
    if (!fits(request, itemBytes)) {
      ++index;
      continue;
    }
    if (request.remainingItems == 0 ||
        !request.freeSlots.take(planned.model, planned.minimumVersion)) {
      if (request.affinityOnly) {
        m_engineAffinity.onDeclined(next->engine);
      }
      return;
    }
    --request.remainingItems;
    request.itemBytes += itemBytes;
    m_engineAffinity.onItemLeased(request.gateway, next->engine, request.now);
    addLease(next->key, {request.gateway, request.now + lease_time_, next->engine});
    m_scheduler->onLeased(next->key.job);
    leased.push_back({std::move(next->key), ++m_lastLease, std::move(next->engine)});
    planned.items.erase(next);
  }
}

base::TimePoint ItemLeases::firstSeen(const std::string& job, base::TimePoint now) const {
  const auto found = first_seen_.find(job);
  return found == first_seen_.end() ? now : found->second;
}

}  // namespace tackpick::jobs
