#include "jobs/slack_scheduler.h"

#include <algorithm>
#include <utility>

namespace tackpick::jobs {
namespace {

template <class Key>
void sortUnique(std::vector<Key>& keys) {
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
}

template <class Key>
bool contains(const std::vector<Key>& sorted, const Key& key) {
  return std::binary_search(sorted.begin(), sorted.end(), key);
}

}  // namespace

MinimumShares<SlackScheduler::Id>& SlackScheduler::Shares::tenantsOf(std::uint32_t priority) {
  return m_tenants.try_emplace(priority, kTenantShare).first->second;
}

MinimumShares<SlackScheduler::Id>& SlackScheduler::Shares::jobsOf(TenantKey tenant) {
  return m_jobs.try_emplace(tenant, kJobShare).first->second;
}

void SlackScheduler::Shares::enter(const Owner& owner) {
  m_priorities.enter(owner.tenant.first);
  tenantsOf(owner.tenant.first).enter(owner.tenant.second);
  jobsOf(owner.tenant).enter(owner.job);
}

void SlackScheduler::Shares::charge(const Owner& owner) {
  m_priorities.charge(owner.tenant.first);
  tenantsOf(owner.tenant.first).charge(owner.tenant.second);
  jobsOf(owner.tenant).charge(owner.job);
}

void SlackScheduler::Shares::keepOnly(const std::vector<Entry>& waiting) {
  std::vector<std::uint32_t> priorities;
  std::vector<TenantKey> tenants;
  std::vector<std::pair<TenantKey, Id>> jobs;  // one may have come from another priority
  for (const Entry& entry : waiting) {
    priorities.push_back(entry.owner.tenant.first);
    tenants.push_back(entry.owner.tenant);
    jobs.emplace_back(entry.owner.tenant, entry.owner.job);
  }
  sortUnique(priorities);
  sortUnique(tenants);
  sortUnique(jobs);
  m_priorities.keepOnly([&](std::uint32_t priority) { return contains(priorities, priority); });
  std::erase_if(m_tenants, [&](const auto& entry) { return !contains(priorities, entry.first); });
  for (auto& [priority, shares] : m_tenants) {
    shares.keepOnly([&, level = priority](Id tenant) {
      return contains(tenants, TenantKey{level, tenant});
    });
  }
  std::erase_if(m_jobs, [&](const auto& entry) { return !contains(tenants, entry.first); });
  for (auto& [tenant, shares] : m_jobs) {
    shares.keepOnly([&, key = tenant](Id job) { return contains(jobs, std::pair(key, job)); });
  }
}

SlackScheduler::Owner SlackScheduler::ownerOf(const QueuedWork& work) {
  const auto [tenant, newTenant] = m_tenantIds.try_emplace(work.tenant, m_lastId + 1);
  m_lastId += newTenant ? 1 : 0;
  const auto [known, added] = m_waiting.try_emplace(work.job);
  if (added) {
    known->second.owner.job = ++m_lastId;
  }
  known->second.owner.tenant = {work.priority, tenant->second};
  known->second.plan = m_plan;
  return known->second.owner;
}

std::size_t SlackScheduler::positionOf(Id job) const {
  return std::lower_bound(m_positions.begin(), m_positions.end(), std::pair(job, std::size_t{0}))
      ->second;
}

void SlackScheduler::begin(const std::vector<QueuedWork>& work) {
  ++m_plan;
  m_entries.clear();
  m_byPriority.clear();
  m_byTenant.clear();
  m_positions.clear();
  for (const QueuedWork& queued : work) {
    const Owner owner = ownerOf(queued);
    m_positions.emplace_back(owner.job, m_entries.size());
    m_entries.push_back({owner, queued.urgency});
    rank(m_entries.size() - 1);
  }
  std::sort(m_positions.begin(), m_positions.end());
  std::erase_if(m_waiting, [&](const auto& job) { return job.second.plan != m_plan; });
  m_leased.keepOnly(m_entries);
  for (const Entry& entry : m_entries) {
    m_leased.enter(entry.owner);
  }
  m_planned = m_leased;
}

void SlackScheduler::rank(std::size_t job) {
  const Entry& entry = m_entries[job];
  m_byPriority[entry.owner.tenant.first].emplace(entry.urgency, job);
  m_byTenant[entry.owner.tenant].emplace(entry.urgency, job);
}

void SlackScheduler::unrank(std::size_t job) {
  const Entry& entry = m_entries[job];
  m_byPriority[entry.owner.tenant.first].erase({entry.urgency, job});
  m_byTenant[entry.owner.tenant].erase({entry.urgency, job});
}

std::optional<std::size_t> SlackScheduler::next() {
  if (m_byPriority.empty()) {
    return std::nullopt;
  }
  const std::optional<std::uint32_t> owed = m_planned.priorities().owed();
  return nextOfPriority(owed.value_or(m_byPriority.begin()->first));
}

std::size_t SlackScheduler::nextOfPriority(std::uint32_t priority) {
  if (const auto owed = m_planned.tenantsOf(priority).owed()) {
    const TenantKey tenant{priority, *owed};
    return nextOfTenant(tenant, m_byTenant.at(tenant).begin()->second);
  }
  const std::size_t mostUrgent = m_byPriority.at(priority).begin()->second;
  return nextOfTenant(m_entries[mostUrgent].owner.tenant, mostUrgent);
}

std::size_t SlackScheduler::nextOfTenant(TenantKey tenant, std::size_t preferred) {
  const auto owed = m_planned.jobsOf(tenant).owed();
  return owed ? positionOf(*owed) : preferred;
}

void SlackScheduler::onPlanned(std::size_t job, const Urgency& urgency) {
  Entry& entry = m_entries[job];
  m_planned.charge(entry.owner);
  if (entry.urgency != urgency) {
    unrank(job);
    entry.urgency = urgency;
    rank(job);
  }
}

void SlackScheduler::onExhausted(std::size_t job) {
  const Owner& owner = m_entries[job].owner;
  unrank(job);
  m_planned.leaveJob(owner);
  if (m_byTenant.at(owner.tenant).empty()) {
    m_byTenant.erase(owner.tenant);
    m_planned.leaveTenant(owner.tenant);
  }
  if (m_byPriority.at(owner.tenant.first).empty()) {
    m_byPriority.erase(owner.tenant.first);
    m_planned.leavePriority(owner.tenant.first);
  }
}

void SlackScheduler::onLeased(const std::string& job) {
  const auto waiting = m_waiting.find(job);
  if (waiting != m_waiting.end()) {
    m_leased.charge(waiting->second.owner);
  }
}

}  // namespace tackpick::jobs
