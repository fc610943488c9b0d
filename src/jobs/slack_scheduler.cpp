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

void SlackScheduler::Shares::add(const ShareOwner& owner) {
  m_priorities.add(owner.tenant.first);
  tenantsOf(owner.tenant.first).add(owner.tenant.second);
  jobsOf(owner.tenant).add(owner.job);
}

void SlackScheduler::Shares::charge(const ShareOwner& owner) {
  m_priorities.charge(owner.tenant.first);
  tenantsOf(owner.tenant.first).charge(owner.tenant.second);
  jobsOf(owner.tenant).charge(owner.job);
}

void SlackScheduler::Shares::retainOnly(const std::vector<Entry>& waiting) {
  std::vector<std::uint32_t> priorities;
  std::vector<TenantKey> tenants;
  std::vector<std::pair<TenantKey, Id>> jobs;  // a job may have changed its priority
  for (const Entry& entry : waiting) {
    priorities.push_back(entry.owner.tenant.first);
    tenants.push_back(entry.owner.tenant);
    jobs.emplace_back(entry.owner.tenant, entry.owner.job);
  }
  sortUnique(priorities);
  sortUnique(tenants);
  sortUnique(jobs);
  m_priorities.retainOnly([&](std::uint32_t priority) { return contains(priorities, priority); });
  std::erase_if(m_tenants, [&](const auto& entry) { return !contains(priorities, entry.first); });
  for (auto& [priority, shares] : m_tenants) {
    shares.retainOnly([&, level = priority](Id tenant) {
      return contains(tenants, TenantKey{level, tenant});
    });
  }
  std::erase_if(m_jobs, [&](const auto& entry) { return !contains(tenants, entry.first); });
  for (auto& [tenant, shares] : m_jobs) {
    shares.retainOnly([&, key = tenant](Id job) { return contains(jobs, std::pair(key, job)); });
  }
}

SlackScheduler::ShareOwner SlackScheduler::ownerOf(const SchedulableJob& work) {
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

void SlackScheduler::begin(const std::vector<SchedulableJob>& work) {
  ++m_plan;
  m_entries.clear();
  m_byPriority.clear();
  m_byTenant.clear();
  m_positions.clear();
  for (const SchedulableJob& queued : work) {
    const ShareOwner owner = ownerOf(queued);
    m_positions.emplace_back(owner.job, m_entries.size());
    m_entries.push_back({owner, queued.urgency});
    rank(m_entries.size() - 1);
  }
  std::sort(m_positions.begin(), m_positions.end());
  std::erase_if(m_waiting, [&](const auto& job) { return job.second.plan != m_plan; });
  m_leased.retainOnly(m_entries);
  for (const Entry& entry : m_entries) {
    m_leased.add(entry.owner);
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
  const std::optional<std::uint32_t> mostOverdue = m_planned.priorities().mostOverdue();
  return nextOfPriority(mostOverdue.value_or(m_byPriority.begin()->first));
}

std::size_t SlackScheduler::nextOfPriority(std::uint32_t priority) {
  if (const auto mostOverdue = m_planned.tenantsOf(priority).mostOverdue()) {
    const TenantKey tenant{priority, *mostOverdue};
    return nextOfTenant(tenant, m_byTenant.at(tenant).begin()->second);
  }
  const std::size_t mostUrgent = m_byPriority.at(priority).begin()->second;
  return nextOfTenant(m_entries[mostUrgent].owner.tenant, mostUrgent);
}

std::size_t SlackScheduler::nextOfTenant(TenantKey tenant, std::size_t preferred) {
  const auto mostOverdue = m_planned.jobsOf(tenant).mostOverdue();
  return mostOverdue ? positionOf(*mostOverdue) : preferred;
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
  const ShareOwner& owner = m_entries[job].owner;
  unrank(job);
  m_planned.removeJob(owner);
  if (m_byTenant.at(owner.tenant).empty()) {
    m_byTenant.erase(owner.tenant);
    m_planned.removeTenant(owner.tenant);
  }
  if (m_byPriority.at(owner.tenant.first).empty()) {
    m_byPriority.erase(owner.tenant.first);
    m_planned.removePriority(owner.tenant.first);
  }
}

void SlackScheduler::onLeased(const std::string& job) {
  const auto waiting = m_waiting.find(job);
  if (waiting != m_waiting.end()) {
    m_leased.charge(waiting->second.owner);
  }
}

}  // namespace tackpick::jobs
