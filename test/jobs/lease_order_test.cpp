/// Order of leased items: one kind of job, changed priorities, lost leaders and gateways.
#include <criterion/criterion.h>

#include "base/random.h"
#include "jobs/item_leases.h"

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr base::NodeId kGateway = base::makeNodeId(1, 1);
constexpr base::NodeId kOtherGateway = base::makeNodeId(2, 1);
constexpr std::uint32_t kManySlots = 10'000;

/// Jobs and their leases; each lease request has enough free slots for all items.
struct Ledger {
  explicit Ledger(jobs::SchedulerPolicy policy = jobs::SchedulerPolicy::kAutomatic)
      : leases(base::milliseconds(1500), base::milliseconds(5), policy) {
    leases.reset(1, now, base::Duration{0});
  }

  jobs::JobSubmission& makeSubmission(const std::string& id, const std::string& tenant,
                                      const std::string& model,
                                      const std::vector<std::uint32_t>& lengths) {
    submission = {};
    submission.id = id;
    submission.tenant = tenant;
    submission.model = model;
    submission.minimumVersion = 1;
    submission.resultDeadline = base::milliseconds(7500);
    for (const std::uint32_t length : lengths) {
      submission.items.push_back(
          {id + std::to_string(submission.items.size()), "/", {}, "b", "g", length});
    }
    return submission;
  }

  /// Trains the forecast so that estimates of the model are in events.
  void trainForecast(const std::string& model) {
    jobs::ItemResult result{0, jobs::ItemState::kCompleted, base::CompressedText("t"), {1}};
    result.events = 50;
    leases.forecast().train(makeSubmission("x", "t", model, {50}), result);
  }

  void submit() {
    apply(jobs::SubmitJob{submission});
    leases.addJob(submission.id, *state.find(submission.id), now);
  }

  void apply(const jobs::JobCommand& command) {
    (void)state.apply(++index, jobs::encodeCommand(command));
  }

  std::vector<jobs::GrantedItem> lease(base::NodeId gateway = kGateway) {
    now += base::milliseconds(5);
    jobs::FreeSlots freeSlots;
    freeSlots.add("m", 1, kManySlots);
    freeSlots.add("n", 1, kManySlots);
    return leases.lease(gateway, freeSlots, state, now);
  }

  /// Leases and completes items one after the other until none is left, so that each slot is
  /// planned separately. Returns their order.
  std::vector<jobs::ItemKey> drain() {
    std::vector<jobs::ItemKey> order;
    for (auto granted = lease(); !granted.empty(); granted = lease()) {
      for (const jobs::GrantedItem& item : granted) {
        order.push_back(item.key);
        const jobs::ItemResult result{
            item.key.item, jobs::ItemState::kCompleted, base::CompressedText("t"), {1}};
        apply(jobs::CommitResults{{{item.key.job, {result}}}});
      }
      leases.refresh(state, now);
    }
    return order;
  }

  /// Resets the leases and adds the jobs in the order of submission, as a new leader does.
  void becomeLeader(std::uint64_t term, base::Duration grace, base::TimePoint seenAt) {
    leases.reset(term, now, grace);
    std::vector<std::pair<std::uint64_t, std::string>> known;
    for (const auto& [id, job] : state.jobs()) {
      known.emplace_back(job.submittedAt, id);
    }
    std::sort(known.begin(), known.end());
    for (const auto& [at, id] : known) {
      leases.addJob(id, *state.find(id), seenAt);
    }
  }

  void setEngines(std::uint32_t slots) {
    leases.setEngines({{"e", slots, {{"m", 1}, {"n", 1}}, "z"}});
    leases.onLeaseRequest(kGateway, "z", true, now);
  }

  jobs::JobState state;
  jobs::JobSubmission submission;
  std::uint64_t index = 0;
  base::TimePoint now{base::seconds(100)};
  jobs::ItemLeases leases;
};

std::vector<jobs::HeldItem> heldOf(const std::vector<jobs::GrantedItem>& granted) {
  std::vector<jobs::HeldItem> held;
  for (const jobs::GrantedItem& item : granted) {
    held.push_back({item.key, item.engine});
  }
  return held;
}

}  // namespace

Test(lease_order, one_model_and_one_tenant_keep_the_oldest_first) {
  bool ordersDiffer = false;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::vector<std::vector<jobs::ItemKey>> orders;
    for (const auto policy : {jobs::SchedulerPolicy::kOldestFirst,
                              jobs::SchedulerPolicy::kAutomatic, jobs::SchedulerPolicy::kBySlack}) {
      base::SeededRandom random(seed);
      Ledger ledger(policy);
      ledger.setEngines(3);
      for (int job = 0; job < 4; ++job) {
        std::vector<std::uint32_t> lengths;
        for (int item = 0; item < 12; ++item) {
          lengths.push_back(static_cast<std::uint32_t>(random.next() % 200));
        }
        ledger.makeSubmission("j" + std::to_string(random.next()), "t", "m", lengths);
        ledger.submit();
      }
      orders.push_back(ledger.drain());
    }
    cr_assert_eq(orders[0].size(), 48U);
    cr_assert(orders[0] == orders[1]);
    ordersDiffer = ordersDiffer || orders[0] != orders[2];
  }
  cr_assert(ordersDiffer, "the load distinguishes the schedulers");
}

Test(lease_order, long_items_of_a_job_without_slack_go_before_short_ones) {
  Ledger ledger;
  ledger.setEngines(2);
  ledger.leases.eventIntervals().addSample("m", 40);
  ledger.leases.eventIntervals().addSample("n", 40);
  ledger.trainForecast("m");
  ledger.trainForecast("n");
  ledger.makeSubmission("relaxed", "t", "m", {40, 30, 20, 10});
  ledger.submit();
  ledger.makeSubmission("tight", "t", "n", {150, 10});
  ledger.submit();
  const auto first = ledger.lease();
  cr_assert_eq(first.size(), 2U);
  cr_assert_eq(first[0].key.job, "tight");
  cr_assert_eq(first[0].key.item, 0U);
  cr_assert_eq(first[1].key.job, "relaxed", "a short item of the tight job has slack too");
}

Test(lease_order, new_leader_keeps_the_order_and_leases_nothing_twice) {
  Ledger ledger;
  ledger.setEngines(2);
  // The ids are not in the order of submission.
  for (const char* id : {"z", "y", "x"}) {
    ledger.makeSubmission(id, "t", "m", {30, 20, 10});
    ledger.submit();
  }
  const base::TimePoint submittedAt = ledger.now;
  const auto held = ledger.lease();
  cr_assert_eq(held.size(), 2U);
  cr_assert_eq(held[0].key.job, "z");
  ledger.now += base::seconds(2);
  ledger.becomeLeader(2, base::milliseconds(350), submittedAt);
  cr_assert(ledger.lease(kOtherGateway).empty(), "gateways first report the items they hold");
  const auto revoked = ledger.leases.renew(kGateway, heldOf(held), ledger.state, ledger.now);
  cr_assert(revoked.empty());
  ledger.now += base::milliseconds(400);
  ledger.setEngines(20);
  const auto granted = ledger.lease();
  std::vector<std::string> jobsInOrder;
  for (const jobs::GrantedItem& item : granted) {
    jobsInOrder.push_back(item.key.job);
    for (const jobs::GrantedItem& running : held) {
      cr_assert(item.key != running.key, "it is already running");
    }
  }
  const std::vector<std::string> expected{"z", "y", "y", "y", "x", "x", "x"};
  cr_assert(jobsInOrder == expected);
  cr_assert_lt(ledger.leases.timeUntilDue(*ledger.state.find("z"), "z", ledger.now),
               base::milliseconds(5200), "its age survives the change of leader");
}

Test(lease_order, items_of_an_unresponsive_gateway_precede_later_jobs) {
  Ledger ledger;
  ledger.setEngines(2);
  ledger.makeSubmission("old", "t", "m", {30, 20});
  ledger.submit();
  const auto held = ledger.lease();
  cr_assert_eq(held.size(), 2U);
  ledger.makeSubmission("new", "t", "m", {30, 20, 10});
  ledger.submit();
  for (int plan = 0; plan < 3; ++plan) {
    ledger.setEngines(2);
    (void)ledger.lease();  // no item of the old job is queued any more
  }
  ledger.now += base::seconds(2);
  ledger.leases.refresh(ledger.state, ledger.now);
  const auto granted = ledger.lease();
  cr_assert_eq(granted.size(), 2U);
  cr_assert_eq(granted[0].key.job, "old");
  cr_assert_eq(granted[1].key.job, "old");
}

Test(lease_order, changed_priorities_leave_leases_as_they_are) {
  Ledger ledger;
  ledger.setEngines(4);
  for (const char* tenant : {"a", "b"}) {
    ledger.makeSubmission(std::string("of-") + tenant, tenant, "m", {50, 40, 30, 20, 10, 5});
    ledger.submit();
  }
  const auto before = ledger.lease();
  cr_assert_eq(before.size(), 4U);
  cr_assert_eq(before[0].key.job, "of-a");
  ledger.leases.setTenantPriorities(jobs::TenantPriorities({{"a", {}, 5}, {"b", {}, 1}}));
  cr_assert(ledger.leases.renew(kGateway, heldOf(before), ledger.state, ledger.now).empty());
  cr_assert(ledger.lease().empty(), "all slots are used");
  std::set<jobs::ItemKey> leased;
  for (const jobs::GrantedItem& item : before) {
    cr_assert(leased.insert(item.key).second);
    const jobs::ItemResult result{
        item.key.item, jobs::ItemState::kCompleted, base::CompressedText("t"), {1}};
    ledger.apply(jobs::CommitResults{{{item.key.job, {result}}}});
  }
  ledger.leases.refresh(ledger.state, ledger.now);
  const auto after = ledger.lease();
  cr_assert_eq(after.size(), 4U);
  for (const jobs::GrantedItem& item : after) {
    cr_assert_eq(item.key.job, "of-b");
    cr_assert(leased.insert(item.key).second, "no item runs twice");
  }
}

Test(lease_order, summary_contains_jobs_and_shares_of_tenants) {
  Ledger ledger;
  ledger.setEngines(3);
  ledger.leases.setTenantPriorities(jobs::TenantPriorities({{"a", {}, 7}}));
  ledger.makeSubmission("late-name", "a", "m", {50, 40}).priority = 2;
  ledger.submit();
  ledger.makeSubmission("early-name", "b", "n", {50, 40}).priority = 2;
  ledger.submit();
  (void)ledger.lease();
  const jobs::WorkSummary summary = ledger.leases.summary(ledger.state, ledger.now);
  cr_assert_eq(summary.jobs.size(), 2U);
  cr_assert_eq(summary.jobs[0].job, "late-name", "ordered by submission");
  cr_assert_eq(summary.jobs[0].priority, 7U);
  cr_assert_eq(summary.jobs[1].priority, 2U);
  cr_assert_eq(summary.jobs[1].running, 2U);
  cr_assert_eq(summary.jobs[0].waiting, 1U);
  cr_assert_lt(summary.jobs[0].slack, base::milliseconds(7500));
  cr_assert_float_eq(summary.tenants.at("b").share, 2.0 / 3, 0.01);
}
