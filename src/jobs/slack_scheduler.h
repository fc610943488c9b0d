/// \file
/// Schedules items by priority and slack, with a minimum share for each priority, tenant and job.
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

/// Plans items by priority, then by urgency, then by age of the job. Each priority, each tenant of
/// a priority and each job of a tenant with waiting items gets a minimum share of the leased items:
/// urgency is based on estimates and must not starve a job, tenant or priority. Deterministic.
class SlackScheduler final : public JobScheduler {
 public:
  void begin(const std::vector<SchedulableJob>& work) override;
  [[nodiscard]] std::optional<std::size_t> next() override;
  void onPlanned(std::size_t job, const Urgency& urgency) override;
  void onExhausted(std::size_t job) override;
  void onLeased(const std::string& job) override;

 private:
  using Id = std::uint32_t;
  using TenantKey = std::pair<std::uint32_t, Id>;  ///< priority, tenant
  /// A waiting job with its tenant and priority.
  struct ShareOwner {
    TenantKey tenant;
    Id job = 0;
  };
  /// A job of the plan.
  struct Entry {
    ShareOwner owner;
    Urgency urgency;
  };
  using Rank = std::pair<Urgency, std::size_t>;
  using Ranks = std::set<Rank>;

  /// Minimum shares of the priorities, their tenants and the tenants' jobs.
  class Shares {
   public:
    /// Removes priorities, tenants and jobs that have no waiting items.
    void retainOnly(const std::vector<Entry>& waiting);
    void add(const ShareOwner& owner);
    void removeJob(const ShareOwner& owner) { jobsOf(owner.tenant).remove(owner.job); }
    void removeTenant(TenantKey tenant) { tenantsOf(tenant.first).remove(tenant.second); }
    void removePriority(std::uint32_t priority) { m_priorities.remove(priority); }
    void charge(const ShareOwner& owner);
    [[nodiscard]] MinimumShares<std::uint32_t>& priorities() { return m_priorities; }
    [[nodiscard]] MinimumShares<Id>& tenantsOf(std::uint32_t priority);
    [[nodiscard]] MinimumShares<Id>& jobsOf(TenantKey tenant);

   private:
    /// Fractions of the service that are guaranteed at each level.
    static constexpr double kPriorityShare = 0.125;
    static constexpr double kTenantShare = 0.25;
    static constexpr double kJobShare = 0.25;

    MinimumShares<std::uint32_t> m_priorities{kPriorityShare};
    std::map<std::uint32_t, MinimumShares<Id>> m_tenants;
    std::map<TenantKey, MinimumShares<Id>> m_jobs;
  };

  /// A job that has waiting items in the current or previous plan.
  struct WaitingJob {
    ShareOwner owner;
    std::uint64_t plan = 0;  ///< last plan in which it had waiting items
  };

  [[nodiscard]] ShareOwner ownerOf(const SchedulableJob& work);
  [[nodiscard]] std::size_t positionOf(Id job) const;
  void rank(std::size_t job);
  void unrank(std::size_t job);
  [[nodiscard]] std::size_t nextOfPriority(std::uint32_t priority);
  [[nodiscard]] std::size_t nextOfTenant(TenantKey tenant, std::size_t preferred);

  Id m_lastId = 0;
  std::map<std::string, Id> m_tenantIds;
  std::uint64_t m_plan = 0;                     ///< number of calls of begin()
  std::map<std::string, WaitingJob> m_waiting;  ///< by job id
  Shares m_leased;                              ///< shares according to leased items
  // Members below: state of the current plan.
  Shares m_planned;  ///< shares according to leased and planned items
  std::vector<Entry> m_entries;
  std::map<std::uint32_t, Ranks> m_byPriority;
  std::map<TenantKey, Ranks> m_byTenant;
  std::vector<std::pair<Id, std::size_t>> m_positions;  ///< index in `m_entries` by job, sorted
};

}  // namespace tackpick::jobs
