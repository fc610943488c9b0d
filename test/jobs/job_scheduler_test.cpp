/// Orders of work: priorities, slack, and what each tenant and job gets at least.
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

/// Plans and leases `count` items one after the other, each in a plan of its own; the urgency of a
/// job never changes. Returns the items by job.
std::vector<std::uint32_t> leaseOneByOne(jobs::JobScheduler& order,
                                         const std::vector<jobs::QueuedWork>& work,
                                         std::uint32_t count) {
  std::vector<std::uint32_t> leased(work.size());
  for (std::uint32_t i = 0; i < count; ++i) {
    order.begin(work);
    const std::size_t next = *order.next();
    ++leased[next];
    order.onLeased(work[next].job);
  }
  return leased;
}

/// The same in one plan.
std::vector<std::uint32_t> planAtOnce(jobs::JobScheduler& order,
                                      const std::vector<jobs::QueuedWork>& work,
                                      std::uint32_t count) {
  std::vector<std::uint32_t> planned(work.size());
  order.begin(work);
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::size_t next = *order.next();
    ++planned[next];
    order.onPlanned(next, work[next].urgency);
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
  jobs::FifoScheduler order;
  order.begin({{"a", "", 1, kRelaxed}, {"b", "", 0, kUrgent}});
  cr_assert_eq(*order.next(), 0U);
  order.onPlanned(0, kRelaxed);
  cr_assert_eq(*order.next(), 0U);
  order.onExhausted(0);
  cr_assert_eq(*order.next(), 1U);
  order.onExhausted(1);
  cr_assert_not(order.next().has_value());
}

Test(job_scheduler, equally_urgent_jobs_go_oldest_first) {
  jobs::SlackScheduler order;
  order.begin({{"a", "t", 0, kRelaxed}, {"b", "t", 0, kRelaxed}});
  for (int i = 0; i < 3; ++i) {
    cr_assert_eq(*order.next(), 0U);
    order.onPlanned(0, kRelaxed);
  }
  order.onExhausted(0);
  cr_assert_eq(*order.next(), 1U);
}

Test(job_scheduler, items_of_several_jobs_go_by_their_urgency) {
  jobs::SlackScheduler order;
  const jobs::Urgency late{true, false, 0};
  const jobs::Urgency spare{false, true, 0};
  order.begin({{"late", "t", 0, late}, {"spare", "t", 0, spare}, {"long", "t", 0, kUrgent}});
  cr_assert_eq(*order.next(), 2U);
  order.onPlanned(2, kRelaxed);
  cr_assert_eq(*order.next(), 2U, "its next item has slack, and goes before spare ones");
  order.onExhausted(2);
  cr_assert_eq(*order.next(), 1U);
  order.onExhausted(1);
  cr_assert_eq(*order.next(), 0U, "a late job goes on when nothing else waits");
}

Test(job_scheduler, higher_priority_first_and_the_lowest_goes_on) {
  const std::vector<jobs::QueuedWork> work{
      {"low", "x", 2, kUrgent}, {"high", "y", 0, kRelaxed}, {"middle", "z", 1, kUrgent}};
  constexpr std::uint32_t kItems = 480;
  for (const bool atOnce : {false, true}) {
    jobs::SlackScheduler order;
    const auto leased =
        atOnce ? planAtOnce(order, work, kItems) : leaseOneByOne(order, work, kItems);
    cr_assert_geq(leased[1], kItems * 9 / 10);
    cr_assert_geq(leased[0], kItems / 3 / 8 - 1, "an eighth of an equal share");
    cr_assert_geq(leased[2], kItems / 3 / 8 - 1);
  }
}

Test(job_scheduler, each_tenant_and_each_job_gets_a_quarter_of_its_share) {
  std::vector<jobs::QueuedWork> work;
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
  constexpr std::uint32_t kShare = 20;  // items of each tenant if all shared alike
  for (const bool atOnce : {false, true}) {
    jobs::SlackScheduler order;
    const auto leased = atOnce ? planAtOnce(order, work, kTenants * kShare)
                               : leaseOneByOne(order, work, kTenants * kShare);
    for (std::size_t job = 0; job < work.size(); ++job) {
      const bool ofLarge = job < std::size_t{kLargeTenants} * kJobsOfLarge;
      const std::uint32_t least = ofLarge ? kShare / kJobsOfLarge / 4 : kShare / 4;
      cr_assert_geq(leased[job] + 1, least, "%s has %u", work[job].job.c_str(), leased[job]);
    }
    cr_assert_gt(leased[0], 10 * kShare, "what is not owed goes by slack");
  }
}

Test(job_scheduler, large_tenants_do_not_push_out_small_ones_of_equal_urgency) {
  std::vector<jobs::QueuedWork> work;
  for (int job = 0; job < 50; ++job) {
    work.push_back({"l" + std::to_string(job), "large", 0, kUrgent});
  }
  work.push_back({"s", "small", 0, kUrgent});
  jobs::SlackScheduler order;
  const auto leased = leaseOneByOne(order, work, 80);
  cr_assert_geq(leased.back(), 80U / 2 / 4 - 1);
}

Test(job_scheduler, job_without_a_place_does_not_hold_up_the_others) {
  jobs::SlackScheduler order;
  const std::vector<jobs::QueuedWork> work{{"a", "x", 0, kUrgent}, {"b", "y", 0, kRelaxed}};
  // "b" is owed items for long, and has no engine.
  for (int i = 0; i < 1000; ++i) {
    order.begin(work);
    std::size_t next = *order.next();
    if (next == 1) {
      order.onExhausted(1);
      next = *order.next();
    }
    cr_assert_eq(next, 0U);
    order.onLeased("a");
  }
  // With an engine it takes what it is owed, which is bounded.
  const auto leased = leaseOneByOne(order, work, 40);
  cr_assert_leq(leased[1], 8U + 40U / 8U + 1U);
  cr_assert_geq(leased[1], 40U / 8U);
}

Test(job_scheduler, change_of_priority_holds_for_the_next_plan) {
  jobs::SlackScheduler order;
  std::vector<jobs::QueuedWork> work{{"a", "x", 0, kUrgent}, {"b", "y", 1, kUrgent}};
  order.begin(work);
  cr_assert_eq(*order.next(), 0U);
  work[0].priority = 2;
  order.begin(work);
  cr_assert_eq(*order.next(), 1U);
}

// A job that had moved to another priority stayed owed at the former one, where other jobs of its
// tenant waited: it was named after it was exhausted.
Test(job_scheduler, job_that_changes_its_priority_is_owed_nothing_at_the_former_one) {
  jobs::SlackScheduler order;
  std::vector<jobs::QueuedWork> work{{"a", "x", 1, kRelaxed}, {"b", "x", 1, kUrgent}};
  order.begin(work);
  work[0].priority = 0;
  constexpr int kEnoughToBeOwed = 20;
  for (int i = 0; i < kEnoughToBeOwed; ++i) {
    order.begin(work);
    order.onLeased("b");
  }
  order.begin(work);
  cr_assert_eq(*order.next(), 0U, "of the higher priority");
  order.onExhausted(0);
  cr_assert_eq(*order.next(), 1U);
  order.onExhausted(1);
  cr_assert_not(order.next().has_value());
}

Test(minimum_shares, one_who_was_away_is_owed_nothing) {
  jobs::MinimumShares<std::string> shares(0.5);
  shares.enter("a");
  shares.enter("b");
  for (int i = 0; i < 100; ++i) {
    shares.charge("a");
  }
  cr_assert_eq(*shares.owed(), "b");
  shares.leave("b");
  cr_assert_not(shares.owed().has_value());
  shares.enter("b");
  cr_assert_not(shares.owed().has_value());
  for (int i = 0; i < 4; ++i) {
    shares.charge("a");
  }
  cr_assert_eq(*shares.owed(), "b", "half of the service of two is a quarter for each");
}

Test(tenant_priorities, own_priority_goes_before_that_of_the_route) {
  const jobs::TenantPriorities priorities({{"a", {}, 3}, {"b", {}}});
  cr_assert_eq(priorities.of("a", 1), 3U);
  cr_assert_eq(priorities.of("b", 1), 1U, "it has none");
  cr_assert_eq(priorities.of("unknown", 2), 2U);
  cr_assert_eq(priorities.of("", 2), 2U);
}
