/// \file
/// Items by priority and slack, with a lower bound on each tenant's and each job's share.
#pragma once

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "jobs/job_scheduler.h"
#include "jobs/minimum_shares.h"

namespace tackpick::jobs {

/// Priorities in order, items of one priority by their urgency, equally urgent ones oldest job
/// first. Bounded in three steps: each priority, each tenant of a priority and each job of a tenant
/// that waits gets a minimum of what is leased, whatever the others' urgency. The estimates behind
/// the urgency err, so nothing may depend on it alone. Deterministic.
class SlackScheduler final : public JobScheduler {
 public:
  void begin(const std::vector<QueuedWork>& work) override;
  [[nodiscard]] std::optional<std::size_t> next() override;
  void onPlanned(std::size_t job, const Urgency& urgency) override;
  void onExhausted(std::size_t job) override;
  void onLeased(const std::string& job) override;

 private:
  using Id = std::uint32_t;
  using TenantKey = std::pair<std::uint32_t, Id>;  ///< priority, tenant
  /// Of a job that waits.
  struct Owner {
    TenantKey tenant;
    Id job = 0;
  };
  /// A job of the plan, by its position there.
  struct Entry {
    Owner owner;
    Urgency urgency;
  };
  using Rank = std::pair<Urgency, std::size_t>;
  using Ranks = std::set<Rank>;

  /// What the priorities, their tenants and the tenants' jobs are owed.
  class Shares {
   public:
    /// Those who do not wait any more leave.
    void keepOnly(const std::vector<Entry>& waiting);
    void enter(const Owner& owner);
    void leaveJob(const Owner& owner) { jobsOf(owner.tenant).leave(owner.job); }
    void leaveTenant(TenantKey tenant) { tenantsOf(tenant.first).leave(tenant.second); }
    void leavePriority(std::uint32_t priority) { m_priorities.leave(priority); }
    void charge(const Owner& owner);
    [[nodiscard]] MinimumShares<std::uint32_t>& priorities() { return m_priorities; }
    [[nodiscard]] MinimumShares<Id>& tenantsOf(std::uint32_t priority);
    [[nodiscard]] MinimumShares<Id>& jobsOf(TenantKey tenant);

   private:
    /// Parts of the service that go by share where urgency would give less.
    static constexpr double kPriorityShare = 0.125;
    static constexpr double kTenantShare = 0.25;
    static constexpr double kJobShare = 0.25;

    MinimumShares<std::uint32_t> m_priorities{kPriorityShare};
    std::map<std::uint32_t, MinimumShares<Id>> m_tenants;
    std::map<TenantKey, MinimumShares<Id>> m_jobs;
  };

  /// Of a job that waits or waited at the plan before.
  struct Known {
    Owner owner;
    std::uint64_t plan = 0;  ///< the last in which it waited
  };

  [[nodiscard]] Owner ownerOf(const QueuedWork& work);
  [[nodiscard]] std::size_t positionOf(Id job) const;
  void rank(std::size_t job);
  void unrank(std::size_t job);
  [[nodiscard]] std::size_t nextOfPriority(std::uint32_t priority);
  [[nodiscard]] std::size_t nextOfTenant(TenantKey tenant, std::size_t preferred);

  Id m_lastId = 0;
  std::map<std::string, Id> m_tenantIds;
  std::uint64_t m_plan = 0;                ///< counts begin()
  std::map<std::string, Known> m_waiting;  ///< by job
  Shares m_leased;                         ///< by what was leased
  // Of the plan under way.
  Shares m_planned;  ///< by what was leased and planned
  std::vector<Entry> m_entries;
  std::map<std::uint32_t, Ranks> m_byPriority;
  std::map<TenantKey, Ranks> m_byTenant;
  std::vector<std::pair<Id, std::size_t>> m_positions;  ///< by job, sorted
};

}  // namespace tackpick::jobs
