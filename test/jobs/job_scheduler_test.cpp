/// Schedulers: priorities, slack, and minimum shares of tenants and jobs.
#include <criterion/criterion.h>

#include <numeric>

#include "jobs/fifo_scheduler.h"
#include "jobs/minimum_shares.h"
#include "jobs/slack_scheduler.h"
#include "jobs/tenant_priorities.h"

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;
namespace tenancy = tackpick::tenancy;

namespace {

constexpr jobs::Urgency kUrgent{false, false, 0};
constexpr jobs::Urgency kRelaxed{false, false, 5};

/// Plans and leases `count` items, each in its own plan and with constant urgency of each job.
/// Returns the number of items by job.
std::vector<std::uint32_t> leaseOneByOne(jobs::JobScheduler& scheduler,
                                         const std::vector<jobs::SchedulableJob>& work,
                                         std::uint32_t count) {
  std::vector<std::uint32_t> leased(work.size());
  for (std::uint32_t i = 0; i < count; ++i) {
    scheduler.begin(work);
    const std::size_t next = *scheduler.next();
    ++leased[next];
    scheduler.onLeased(work[next].job);
  }
  return leased;
}

/// Plans `count` items in a single plan. Returns the number of items by job.
std::vector<std::uint32_t> planAtOnce(jobs::JobScheduler& scheduler,
                                      const std::vector<jobs::SchedulableJob>& work,
                                      std::uint32_t count) {
  std::vector<std::uint32_t> planned(work.size());
  scheduler.begin(work);
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::size_t next = *scheduler.next();
    ++planned[next];
    scheduler.onPlanned(next, work[next].urgency);
  }
  return planned;
}

}  // namespace

Test(job_scheduler, slack_classes_are_finer_near_the_due_time) {
  cr_assert_eq(jobs::slackClassOf(base::seconds(-5)), 0U);
  cr_assert_eq(jobs::slackClassOf(base::milliseconds(499)), 0U);
  cr_assert_eq(jobs::slackClassOf(base::milliseconds(600)), 1U);
  cr_assert_eq(jobs::slackClassOf(base::milliseconds(2100)),
               jobs::slackClassOf(base::milliseconds(3900)));
  cr_assert_eq(jobs::slackClassOf(base::Duration::max()),
               jobs::slackClassOf(base::seconds(100'000)));
}

Test(job_scheduler, oldest_first_empties_one_job_after_the_other) {
  jobs::FifoScheduler scheduler;
  scheduler.begin({{"a", "", 1, kRelaxed}, {"b", "", 0, kUrgent}});
  cr_assert_eq(*scheduler.next(), 0U);
  scheduler.onPlanned(0, kRelaxed);
  cr_assert_eq(*scheduler.next(), 0U);
  scheduler.onExhausted(0);
  cr_assert_eq(*scheduler.next(), 1U);
  scheduler.onExhausted(1);
  cr_assert_not(scheduler.next().has_value());
}

Test(job_scheduler, equally_urgent_jobs_go_oldest_first) {
  jobs::SlackScheduler scheduler;
  scheduler.begin({{"a", "t", 0, kRelaxed}, {"b", "t", 0, kRelaxed}});
  for (int i = 0; i < 3; ++i) {
    cr_assert_eq(*scheduler.next(), 0U);
    scheduler.onPlanned(0, kRelaxed);
  }
  scheduler.onExhausted(0);
  cr_assert_eq(*scheduler.next(), 1U);
}

Test(job_scheduler, items_of_several_jobs_go_by_their_urgency) {
  jobs::SlackScheduler scheduler;
  const jobs::Urgency late{true, false, 0};
  const jobs::Urgency spare{false, true, 0};
  scheduler.begin({{"late", "t", 0, late}, {"spare", "t", 0, spare}, {"long", "t", 0, kUrgent}});
  cr_assert_eq(*scheduler.next(), 2U);
  scheduler.onPlanned(2, kRelaxed);
  cr_assert_eq(*scheduler.next(), 2U, "its next item has slack, and precedes optional ones");
  scheduler.onExhausted(2);
  cr_assert_eq(*scheduler.next(), 1U);
  scheduler.onExhausted(1);
  cr_assert_eq(*scheduler.next(), 0U, "a late job is planned when no other item is queued");
}

Test(job_scheduler, higher_priority_first_and_the_lowest_is_not_starved) {
  const std::vector<jobs::SchedulableJob> work{
      {"low", "x", 2, kUrgent}, {"high", "y", 0, kRelaxed}, {"middle", "z", 1, kUrgent}};
  constexpr std::uint32_t kItems = 480;
  for (const bool atOnce : {false, true}) {
    jobs::SlackScheduler scheduler;
    const auto leased =
        atOnce ? planAtOnce(scheduler, work, kItems) : leaseOneByOne(scheduler, work, kItems);
    cr_assert_geq(leased[1], kItems * 9 / 10);
    cr_assert_geq(leased[0], kItems / 3 / 8 - 1, "at least an eighth of an equal share");
    cr_assert_geq(leased[2], kItems / 3 / 8 - 1);
  }
}

Test(job_scheduler, each_tenant_and_each_job_gets_a_quarter_of_its_share) {
  std::vector<jobs::SchedulableJob> work;
  constexpr std::uint32_t kSmallTenants = 75;
  constexpr std::uint32_t kLargeTenants = 4;
  constexpr std::uint32_t kJobsOfLarge = 5;
  for (std::uint32_t tenant = 0; tenant < kLargeTenants; ++tenant) {
    for (std::uint32_t job = 0; job < kJobsOfLarge; ++job) {
      const std::string name = "large" + std::to_string(tenant);
      work.push_back({name + "-" + std::to_string(job), name, 0, job == 0 ? kUrgent : kRelaxed});
    }
  }
  for (std::uint32_t tenant = 0; tenant < kSmallTenants; ++tenant) {
    const std::string name = "small" + std::to_string(tenant);
    work.push_back({name + "-0", name, 0, kRelaxed});
  }
  constexpr std::uint32_t kTenants = kSmallTenants + kLargeTenants;
  constexpr std::uint32_t kShare = 20;  // items of each tenant in equal shares
  for (const bool atOnce : {false, true}) {
    jobs::SlackScheduler scheduler;
    const auto leased = atOnce ? planAtOnce(scheduler, work, kTenants * kShare)
                               : leaseOneByOne(scheduler, work, kTenants * kShare);
    for (std::size_t job = 0; job < work.size(); ++job) {
      const bool ofLarge = job < std::size_t{kLargeTenants} * kJobsOfLarge;
      const std::uint32_t least = ofLarge ? kShare / kJobsOfLarge / 4 : kShare / 4;
      cr_assert_geq(leased[job] + 1, least, "%s has %u", work[job].job.c_str(), leased[job]);
    }
    cr_assert_gt(leased[0], 10 * kShare, "the remaining service is distributed by slack");
  }
}

Test(job_scheduler, large_tenants_do_not_push_out_small_ones_of_equal_urgency) {
  std::vector<jobs::SchedulableJob> work;
  for (int job = 0; job < 50; ++job) {
    work.push_back({"l" + std::to_string(job), "large", 0, kUrgent});
  }
  work.push_back({"s", "small", 0, kUrgent});
  jobs::SlackScheduler scheduler;
  const auto leased = leaseOneByOne(scheduler, work, 80);
  cr_assert_geq(leased.back(), 80U / 2 / 4 - 1);
}

Test(job_scheduler, job_without_an_engine_does_not_block_other_jobs) {
  jobs::SlackScheduler scheduler;
  const std::vector<jobs::SchedulableJob> work{{"a", "x", 0, kUrgent}, {"b", "y", 0, kRelaxed}};
  // Job "b" is owed items but has no engine.
  for (int i = 0; i < 1000; ++i) {
    scheduler.begin(work);
    std::size_t next = *scheduler.next();
    if (next == 1) {
      scheduler.onExhausted(1);
      next = *scheduler.next();
    }
    cr_assert_eq(next, 0U);
    scheduler.onLeased("a");
  }
  // Once it has an engine, it receives the owed items, whose number is bounded.
  const auto leased = leaseOneByOne(scheduler, work, 40);
  cr_assert_leq(leased[1], 8U + 40U / 8U + 1U);
  cr_assert_geq(leased[1], 40U / 8U);
}

Test(job_scheduler, change_of_priority_holds_for_the_next_plan) {
  jobs::SlackScheduler scheduler;
  std::vector<jobs::SchedulableJob> work{{"a", "x", 0, kUrgent}, {"b", "y", 1, kUrgent}};
  scheduler.begin(work);
  cr_assert_eq(*scheduler.next(), 0U);
  work[0].priority = 2;
  scheduler.begin(work);
  cr_assert_eq(*scheduler.next(), 1U);
}

// Guards against a job that is still owed items at its previous priority after a change: the
// scheduler would return the job there although it is exhausted.
Test(job_scheduler, job_that_changes_its_priority_is_owed_nothing_at_the_previous_one) {
  jobs::SlackScheduler scheduler;
  std::vector<jobs::SchedulableJob> work{{"a", "x", 1, kRelaxed}, {"b", "x", 1, kUrgent}};
  scheduler.begin(work);
  work[0].priority = 0;
  constexpr int kItemsUntilOwed = 20;
  for (int i = 0; i < kItemsUntilOwed; ++i) {
    scheduler.begin(work);
    scheduler.onLeased("b");
  }
  scheduler.begin(work);
  cr_assert_eq(*scheduler.next(), 0U, "higher priority first");
  scheduler.onExhausted(0);
  cr_assert_eq(*scheduler.next(), 1U);
  scheduler.onExhausted(1);
  cr_assert_not(scheduler.next().has_value());
}

Test(minimum_shares, leaving_clears_the_credit) {
  jobs::MinimumShares<std::string> shares(0.5);
  shares.add("a");
  shares.add("b");
  for (int i = 0; i < 100; ++i) {
    shares.charge("a");
  }
  cr_assert_eq(*shares.mostOverdue(), "b");
  shares.remove("b");
  cr_assert_not(shares.mostOverdue().has_value());
  shares.add("b");
  cr_assert_not(shares.mostOverdue().has_value());
  for (int i = 0; i < 4; ++i) {
    shares.charge("a");
  }
  cr_assert_eq(*shares.mostOverdue(), "b",
               "half of the service shared by two is a quarter for each");
}

Test(tenant_priorities, own_priority_precedes_that_of_the_route) {
  const jobs::TenantPriorities priorities({{"a", {}, 3}, {"b", {}}});
  cr_assert_eq(priorities.priorityOf("a", 1), 3U);
  cr_assert_eq(priorities.priorityOf("b", 1), 1U, "no priority of its own");
  cr_assert_eq(priorities.priorityOf("unknown", 2), 2U);
  cr_assert_eq(priorities.priorityOf("", 2), 2U);
}
