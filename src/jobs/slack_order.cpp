#include "jobs/slack_order.h"

#include <utility>

namespace tackpick::jobs {

MinimumShares<SlackOrder::Id>& SlackOrder::Shares::tenantsOf(std::uint32_t priority) {
  return m_tenants.try_emplace(priority, kTenantShare).first->second;
}

MinimumShares<SlackOrder::Id>& SlackOrder::Shares::jobsOf(TenantKey tenant) {
  return m_jobs.try_emplace(tenant, kJobShare).first->second;
}

void SlackOrder::Shares::enter(const Owner& owner) {
  m_priorities.enter(owner.tenant.first);
  tenantsOf(owner.tenant.first).enter(owner.tenant.second);
  jobsOf(owner.tenant).enter(owner.job);
}

void SlackOrder::Shares::charge(const Owner& owner) {
  m_priorities.charge(owner.tenant.first);
  tenantsOf(owner.tenant.first).charge(owner.tenant.second);
  jobsOf(owner.tenant).charge(owner.job);
}

void SlackOrder::Shares::keepOnly(const std::map<std::string, Owner>& waiting) {
  std::set<std::uint32_t> priorities;
  std::set<TenantKey> tenants;
  std::set<Id> jobs;
  for (const auto& [id, owner] : waiting) {
    priorities.insert(owner.tenant.first);
    tenants.insert(owner.tenant);
    jobs.insert(owner.job);
  }
  m_priorities.keepOnly([&](std::uint32_t priority) { return priorities.contains(priority); });
  std::erase_if(m_tenants, [&](const auto& entry) { return !priorities.contains(entry.first); });
  for (auto& [priority, shares] : m_tenants) {
    shares.keepOnly([&, level = priority](Id tenant) { return tenants.contains({level, tenant}); });
  }
  std::erase_if(m_jobs, [&](const auto& entry) { return !tenants.contains(entry.first); });
  for (auto& [tenant, shares] : m_jobs) {
    shares.keepOnly([&](Id job) { return jobs.contains(job); });
  }
}

SlackOrder::Owner SlackOrder::ownerOf(const QueuedWork& work) {
  const auto [tenant, newTenant] = m_tenantIds.try_emplace(work.tenant, m_lastId + 1);
  m_lastId += newTenant ? 1 : 0;
  const auto known = m_waiting.find(work.job);
  const Id job = known == m_waiting.end() ? ++m_lastId : known->second.job;
  return {{work.priority, tenant->second}, job};
}

void SlackOrder::begin(const std::vector<QueuedWork>& work) {
  m_entries.clear();
  m_byPriority.clear();
  m_byTenant.clear();
  m_positions.clear();
  std::map<std::string, Owner> waiting;
  for (const QueuedWork& queued : work) {
    const Owner owner = ownerOf(queued);
    waiting.emplace(queued.job, owner);
    m_positions.emplace(owner.job, m_entries.size());
    m_entries.push_back({owner, queued.urgency});
    rank(m_entries.size() - 1);
  }
  m_waiting = std::move(waiting);
  m_leased.keepOnly(m_waiting);
  for (const Entry& entry : m_entries) {
    m_leased.enter(entry.owner);
  }
  m_planned = m_leased;
}

void SlackOrder::rank(std::size_t job) {
  const Entry& entry = m_entries[job];
  m_byPriority[entry.owner.tenant.first].emplace(entry.urgency, job);
  m_byTenant[entry.owner.tenant].emplace(entry.urgency, job);
}

void SlackOrder::unrank(std::size_t job) {
  const Entry& entry = m_entries[job];
  m_byPriority[entry.owner.tenant.first].erase({entry.urgency, job});
  m_byTenant[entry.owner.tenant].erase({entry.urgency, job});
}

std::optional<std::size_t> SlackOrder::next() {
  if (m_byPriority.empty()) {
    return std::nullopt;
  }
  const std::optional<std::uint32_t> owed = m_planned.priorities().owed();
  return nextOfPriority(owed.value_or(m_byPriority.begin()->first));
}

std::size_t SlackOrder::nextOfPriority(std::uint32_t priority) {
  if (const auto owed = m_planned.tenantsOf(priority).owed()) {
    const TenantKey tenant{priority, *owed};
    return nextOfTenant(tenant, m_byTenant.at(tenant).begin()->second);
  }
  const std::size_t mostUrgent = m_byPriority.at(priority).begin()->second;
  return nextOfTenant(m_entries[mostUrgent].owner.tenant, mostUrgent);
}

std::size_t SlackOrder::nextOfTenant(TenantKey tenant, std::size_t preferred) {
  const auto owed = m_planned.jobsOf(tenant).owed();
  return owed ? m_positions.at(*owed) : preferred;
}

void SlackOrder::onPlanned(std::size_t job, const Urgency& urgency) {
  Entry& entry = m_entries[job];
  m_planned.charge(entry.owner);
  if (entry.urgency != urgency) {
    unrank(job);
    entry.urgency = urgency;
    rank(job);
  }
}

void SlackOrder::onExhausted(std::size_t job) {
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

void SlackOrder::onLeased(const std::string& job) {
  const auto waiting = m_waiting.find(job);
  if (waiting != m_waiting.end()) {
    m_leased.charge(waiting->second);
  }
}

}  // namespace tackpick::jobs
