/// The ledger role with a log on a simulated disk.
#include "jobs/job_role.h"

#include <criterion/criterion.h>

#include "simulation/simulated_disk.h"
#include "storage/segmented_log.h"

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;
namespace simulation = tackpick::simulation;
namespace storage = tackpick::storage;
namespace transport = tackpick::transport;

namespace {

constexpr base::NodeId kSelf = base::makeNodeId(1, 1);
constexpr base::NodeId kGateway = base::makeNodeId(2, 1);
constexpr base::GroupId kGroup{2};

/// A ledger group with a single member.
struct SingleLedger {
  explicit SingleLedger(jobs::JobRoleSettings initial = {}) : settings(initial) {
    log = base::recover(
        [&] {
          return storage::SegmentedLog::open(disk, {"cluster", kSelf, kGroup}, {{kSelf}, {}});
        },
        [](const base::Error&) { return std::unique_ptr<storage::SegmentedLog>(); });
    restart();
  }

  /// Restarts the process on the same disk.
  void restart() {
    role.reset();
    role = std::make_unique<jobs::JobRole>(kSelf, kGroup, settings, *log, random, now);
    run(base::seconds(3));
  }

  void run(base::Duration time) {
    for (const base::TimePoint end = now + time; now < end; now += base::milliseconds(10)) {
      role->tick(now);
      for (const auto& outgoing : role->finish(now)) {
        if (const auto* response = std::get_if<transport::CommandResponse>(&outgoing.message)) {
          replies.push_back(*base::decode<jobs::JobReply>(response->payload));
        }
      }
    }
  }

  jobs::JobReply send(const jobs::JobRequest& request) {
    transport::CommandRequest message;
    message.group = kGroup;
    message.call = base::CallId{++calls};
    message.payload = base::encode(request);
    replies.clear();
    role->handle(kGateway, message, now);
    run(base::milliseconds(200));
    cr_assert_eq(replies.size(), 1U);
    return replies.front();
  }

  const jobs::JobRoleSettings settings;
  simulation::SimulatedDisk disk;
  base::SeededRandom random{1};
  base::TimePoint now{base::seconds(100)};
  std::unique_ptr<storage::SegmentedLog> log;
  std::unique_ptr<jobs::JobRole> role;
  std::vector<jobs::JobReply> replies;
  std::uint64_t calls = 0;
};

jobs::SubmitJob submission(const std::string& tenant) {
  jobs::SubmitJob submit;
  submit.job.id = "j";
  submit.job.tenant = tenant;
  jobs::Item item;
  item.id = "i";
  item.body = "body";
  submit.job.items.push_back(item);
  return submit;
}

jobs::ReadJob read(const std::string& tenant) {
  jobs::ReadJob readRequest;
  readRequest.id = "j";
  readRequest.tenant = tenant;
  return readRequest;
}

}  // namespace

Test(job_role, job_exists_for_its_tenant_only) {
  SingleLedger ledger;
  cr_assert(ledger.send(submission("a")).status == jobs::JobStatus::kDone);
  cr_assert(ledger.send(submission("a")).status == jobs::JobStatus::kDone,
            "submitted a second time");
  cr_assert(ledger.send(submission("b")).status == jobs::JobStatus::kNotOwner);
  cr_assert(ledger.send(read("a")).status == jobs::JobStatus::kDone);
  cr_assert(ledger.send(read("b")).status == jobs::JobStatus::kNotFound);
  cr_assert(ledger.send(read("")).status == jobs::JobStatus::kNotFound);
  cr_assert_eq(ledger.send(jobs::ReadItem{"j", "i", "a"}).body, "body");
  cr_assert(ledger.send(jobs::ReadItem{"j", "i", "b"}).status == jobs::JobStatus::kNotFound);
}

Test(job_role, job_is_ended_by_its_tenant_only) {
  SingleLedger ledger;
  (void)ledger.send(submission("a"));
  cr_assert(ledger.send(jobs::EndJob{"j", "b"}).status == jobs::JobStatus::kDone);
  cr_assert_not(ledger.role->state().find("j")->ended);
  (void)ledger.send(jobs::EndJob{"j", "a"});
  cr_assert(ledger.role->state().find("j")->ended);
}

Test(job_role, job_without_tenant_is_visible_to_all) {
  SingleLedger ledger;
  (void)ledger.send(submission(""));
  cr_assert(ledger.send(read("a")).status == jobs::JobStatus::kDone);
}

Test(job_role, open_jobs_are_listed_by_model) {
  SingleLedger ledger;
  jobs::SubmitJob submit = submission("a");
  submit.job.model = "m";
  submit.job.items.resize(3, submit.job.items[0]);
  for (std::size_t i = 0; i < submit.job.items.size(); ++i) {
    submit.job.items[i].id = "i" + std::to_string(i);
  }
  (void)ledger.send(submit);
  const std::uint64_t submitted = ledger.role->workRevision();
  const jobs::OpenJobsByModel before = *ledger.role->openJobs(ledger.now);
  cr_assert_eq(before.at("m").front().items, 3U);
  cr_assert_eq(before.at("m").front().waiting, 3U);
  cr_assert(before.at("m").front().slack == base::Duration::max(), "no due time");
  const base::CompressedText text("t");
  (void)ledger.send(jobs::CommitResults{{{"j", {{1, jobs::ItemState::kCompleted, text, {1}}}}}});
  cr_assert_eq(ledger.role->openJobs(ledger.now)->at("m").front().items, 2U);
  cr_assert_eq(ledger.role->workRevision(), submitted);
  (void)ledger.send(jobs::EndJob{"j", "a"});
  cr_assert(ledger.role->openJobs(ledger.now)->empty());
  cr_assert_gt(ledger.role->workRevision(), submitted);
}

// After a restart the jobs' ages are unknown, so the order must come from the log.
Test(job_role, open_jobs_are_in_the_order_of_submission_after_a_restart) {
  SingleLedger ledger;
  for (const char* id : {"z", "a"}) {
    jobs::SubmitJob submit = submission("a");
    submit.job.id = id;
    (void)ledger.send(submit);
  }
  ledger.restart();
  const jobs::OpenJobsByModel jobsByModel = *ledger.role->openJobs(ledger.now);
  cr_assert_eq(jobsByModel.at("").size(), 2U);
  cr_assert_eq(jobsByModel.at("").front().job, "z");
}

Test(job_role, new_leader_requests_event_intervals_and_uses_them) {
  SingleLedger ledger;
  jobs::LeaseItems call;
  call.zone = "z";
  cr_assert(ledger.send(call).wantsEventIntervals);
  call.eventIntervals = {{"fast", {40}}, {"slow", {140}}};
  cr_assert_not(ledger.send(call).wantsEventIntervals);
  call.eventIntervals.clear();
  cr_assert_not(ledger.send(call).wantsEventIntervals, "reported in this term");
  ledger.restart();
  ledger.role->setEngines({{"a-slow", 4, {{"", 1}}, "z"}, {"fast", 4, {{"", 1}}, "z"}});
  cr_assert(ledger.send(call).wantsEventIntervals);
  (void)ledger.send(submission("a"));
  call.eventIntervals = {{"fast", {40}}, {"a-slow", {140, base::seconds(1)}}};
  call.freeSlots.add("", 1, 4);
  const jobs::JobReply reply = ledger.send(call);
  cr_assert_not(reply.wantsEventIntervals);
  cr_assert_eq(reply.leased.size(), 1U);
  cr_assert_eq(reply.leased.front().engine, "fast");
}

Test(job_role, leased_item_names_its_tenant) {
  SingleLedger ledger;
  (void)ledger.send(submission("a"));
  ledger.role->setEngines({{"e", 4, {{"", 1}}, "z"}});
  jobs::LeaseItems lease;
  lease.freeSlots.add("", 1, 4);
  lease.zone = "z";
  for (int tries = 0; tries < 10; ++tries) {
    const jobs::JobReply reply = ledger.send(lease);
    if (!reply.leased.empty()) {
      cr_assert_eq(reply.leased.front().tenant, "a");
      return;
    }
  }
  cr_assert_fail("no item was leased");
}

Test(job_role, items_go_by_the_priority_of_their_tenant) {
  SingleLedger ledger;
  for (const char* tenant : {"a", "b"}) {
    jobs::SubmitJob submit = submission(tenant);
    submit.job.id = tenant;
    submit.job.items.resize(4, submit.job.items[0]);
    (void)ledger.send(submit);
  }
  ledger.role->setTenantPriorities(jobs::TenantPriorities({{"a", {}, 2}, {"b", {}, 1}}));
  ledger.role->setEngines({{"e", 2, {{"", 1}}, "z"}});
  jobs::LeaseItems lease;
  lease.freeSlots.add("", 1, 4);
  lease.zone = "z";
  std::vector<jobs::LeasedItem> leased;
  for (int tries = 0; tries < 10 && leased.empty(); ++tries) {
    leased = ledger.send(lease).leased;
  }
  cr_assert_eq(leased.size(), 2U);
  cr_assert_eq(leased[0].tenant, "b");
  cr_assert_eq(leased[1].tenant, "b");
  const jobs::WorkSummary summary = *ledger.role->workSummary(ledger.now);
  cr_assert_eq(summary.jobs.size(), 2U);
  cr_assert_eq(summary.jobs[0].tenant, "a");
  cr_assert_eq(summary.jobs[0].priority, 2U);
  cr_assert_eq(summary.jobs[1].running, 2U);
}

Test(job_role, lengths_and_event_intervals_determine_the_slack) {
  SingleLedger ledger;
  jobs::SubmitJob submit = submission("a");
  submit.job.resultDeadline = base::seconds(60);
  submit.job.items.resize(40, submit.job.items[0]);
  for (std::size_t i = 0; i < submit.job.items.size(); ++i) {
    submit.job.items[i].id = "i" + std::to_string(i);
    submit.job.items[i].expectedTokens = 100;
  }
  (void)ledger.send(submit);
  const auto slack = [&] { return ledger.role->openJobs(ledger.now)->at("").front().slack; };
  const base::Duration before = slack();
  jobs::JobResults results{"j", {}};
  for (std::uint32_t item = 0; item < 30; ++item) {
    results.results.push_back({item, jobs::ItemState::kCompleted, base::CompressedText("t"), {1}});
    results.results.back().events = 400;
  }
  (void)ledger.send(jobs::CommitResults{{results}});
  cr_assert_lt(slack(), before - base::seconds(3));
  cr_assert_gt(ledger.role->forecast().errors().at(""), 0);
  // An engine with an event interval of 100 ms runs an item.
  jobs::LeaseItems lease;
  lease.held = {{{"j", 35}, "e"}};
  ledger.role->setEngines({{"e", 8, {{"", 1}}, "z"}});
  lease.eventIntervals["e"].eventIntervalMs = 100;
  const base::Duration atDefault = slack();
  (void)ledger.send(lease);
  cr_assert_lt(slack(), atDefault - base::seconds(10));
  // A new leader learns from the stored results.
  ledger.restart();
  cr_assert_lt(slack(), before - base::seconds(3));
}

Test(job_role, full_queue_is_the_same_after_a_restart) {
  SingleLedger ledger;
  // The ids are not in the order of submission.
  for (const char* id : {"z", "y", "x"}) {
    jobs::SubmitJob submit = submission("a");
    submit.job.id = id;
    submit.job.items.resize(4, submit.job.items[0]);
    (void)ledger.send(submit);
  }
  (void)ledger.send(jobs::CommitResults{
      {{"z", {{0, jobs::ItemState::kCompleted, base::CompressedText("t"), {1}}}}}});
  ledger.restart();
  ledger.role->setEngines({{"e", 20, {{"", 1}}, "z"}});
  jobs::LeaseItems lease;
  lease.freeSlots.add("", 1, 100);
  lease.zone = "z";
  std::vector<jobs::LeasedItem> leased;
  for (int tries = 0; tries < 10 && leased.empty(); ++tries) {
    leased = ledger.send(lease).leased;
  }
  std::string order;
  for (const jobs::LeasedItem& item : leased) {
    order += item.key.job;
  }
  cr_assert_str_eq(order.c_str(), "zzzyyyyxxxx");
}

// Guards against a resubmitted job that inherits the age of the removed job and expires at once.
Test(job_role, removed_job_may_be_submitted_again) {
  SingleLedger ledger;
  (void)ledger.send(submission("a"));
  ledger.run(jobs::JobRoleSettings{}.retention + base::seconds(1));
  cr_assert_null(ledger.role->state().find("j"));
  (void)ledger.send(submission("a"));
  ledger.run(base::seconds(1));
  cr_assert_not_null(ledger.role->state().find("j"));
}

Test(job_role, resubmitted_groups_are_known_after_a_restart) {
  SingleLedger ledger;
  for (const char* id : {"z", "a"}) {
    jobs::SubmitJob submit = submission("t");
    submit.job.id = id;
    const jobs::Item item = submit.job.items[0];
    submit.job.items = {item, item};
    submit.job.items[0].id = id == std::string("z") ? "other" : "longest";
    submit.job.items[0].group = "new";
    submit.job.items[0].expectedTokens = 100;
    submit.job.items[1].group = "again";
    (void)ledger.send(submit);
  }
  ledger.restart();
  ledger.role->setEngines({{"e", 20, {{"", 1}}, "z"}});
  jobs::LeaseItems lease;
  lease.freeSlots.add("", 1, 100);
  lease.zone = "z";
  std::vector<jobs::LeasedItem> leased;
  for (int tries = 0; tries < 10 && leased.empty(); ++tries) {
    leased = ledger.send(lease).leased;
  }
  cr_assert_eq(leased.size(), 4U);
  cr_assert_eq(leased[2].key.job, "a");
  cr_assert_eq(leased[2].item.id, "i", "resubmitted from the earlier job");
}

Test(job_role, operators_see_the_version_that_a_job_waits_for) {
  SingleLedger ledger;
  ledger.role->setEngines({{"e", 4, {{"m", 6}}}});
  jobs::SubmitJob submit = submission("a");
  submit.job.model = "m";
  submit.job.minimumVersion = 7;
  (void)ledger.send(submit);
  const jobs::JobReply waiting = ledger.send(jobs::GetWorkReport{});
  cr_assert(waiting.work.has_value());
  cr_assert_eq(waiting.work->totalJobs, 1U);
  cr_assert_eq(waiting.work->jobs[0].waiting, 1U);
  cr_assert_eq(waiting.work->jobs[0].minimumVersion, 7U);
  cr_assert_eq(waiting.work->jobs[0].readySlots, 0U);
  cr_assert_eq(waiting.work->tenants.at("a").waiting, 1U);
  cr_assert_eq(waiting.work->totalEngines, 1U);

  ledger.role->setEngines({{"e", 4, {{"m", 7}}}});
  cr_assert_eq(ledger.send(jobs::GetWorkReport{}).work->jobs[0].readySlots, 4U);
}

Test(job_role, submission_beyond_the_memory_for_items_is_rejected_until_others_end) {
  jobs::JobRoleSettings settings;
  jobs::SubmitJob first = submission("a");
  first.job.items.front().body = std::string(1000, 'x');
  settings.maxItemBytes = jobs::memoryOfItems(first.job) + 500;
  SingleLedger ledger(settings);
  cr_assert(ledger.send(first).status == jobs::JobStatus::kDone);
  jobs::SubmitJob second = first;
  second.job.id = "k";
  cr_assert(ledger.send(second).status == jobs::JobStatus::kOverloaded);
  cr_assert(ledger.send(first).status == jobs::JobStatus::kDone, "a repeated submission");
  ledger.restart();
  cr_assert(ledger.send(second).status == jobs::JobStatus::kOverloaded);
  cr_assert(ledger.send(jobs::EndJob{"j", "a"}).status == jobs::JobStatus::kDone);
  second.job.items.front().body.resize(500);
  cr_assert(ledger.send(second).status == jobs::JobStatus::kDone);
}
