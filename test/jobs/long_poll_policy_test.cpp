/// Long polls for results.
#include "jobs/long_poll_policy.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr base::Duration kDeadline = base::milliseconds(7500);
constexpr base::Duration kWait = base::seconds(1);

/// Two groups of two items, of which one is required.
jobs::JobSubmission submission(const std::string& id) {
  jobs::JobSubmission job;
  job.id = id;
  job.model = "m";
  job.requiredGroups = 1;
  job.resultDeadline = kDeadline;
  for (const char* group : {"a", "a", "b", "b"}) {
    jobs::Item item;
    item.id = id + std::to_string(job.items.size());
    item.group = group;
    job.items.push_back(item);
  }
  return job;
}

struct Fixture {
  void submit(const std::string& id, const std::set<std::string>& resubmitted = {}) {
    apply(jobs::SubmitJob{submission(id)});
    policy.addJob(id, *state.find(id), resubmitted);
  }
  void addResult(const std::string& id, std::uint32_t item, base::Duration age) {
    apply(jobs::CommitResults{{{id, {{item, jobs::ItemState::kCompleted, {}, {1}}}}}});
    policy.observe(state, [&](const std::string&) { return age; });
  }
  /// Submits a job of the model whose required group is complete after `age`.
  void completeAfter(const std::string& id, base::Duration age) {
    submit(id);
    addResult(id, 0, age);
    addResult(id, 1, age);
  }
  /// Whether a read that arrived at `requestAge` is held when the job has the given age.
  [[nodiscard]] bool shouldHold(const std::string& id, base::Duration requestAge,
                                base::Duration age) const {
    return policy.shouldHold(id, *state.find(id), age, requestAge, requestAge + kWait - age);
  }

  jobs::JobState state;
  jobs::LongPollPolicy policy{jobs::LongPollSettings{}};

 private:
  void apply(const jobs::JobCommand& command) {
    (void)state.apply(1, jobs::encodeCommand(command));
  }
};

}  // namespace

Test(long_poll_policy, deadline_is_used_before_any_job_has_completed) {
  Fixture fixture;
  fixture.submit("j");
  fixture.addResult("j", 0, base::seconds(1));
  cr_assert_not(fixture.shouldHold("j", base::seconds(6), base::seconds(6)));
  cr_assert(fixture.shouldHold("j", base::seconds(7), base::seconds(7)));
}

Test(long_poll_policy, read_is_held_when_completion_is_near) {
  Fixture fixture;
  fixture.completeAfter("first", base::milliseconds(7200));
  fixture.submit("j");
  fixture.addResult("j", 0, base::seconds(1));
  cr_assert_not(fixture.shouldHold("j", base::seconds(5), base::seconds(5)));
  cr_assert_not(fixture.shouldHold("j", base::milliseconds(6100), base::milliseconds(6100)));
  cr_assert(fixture.shouldHold("j", base::milliseconds(6300), base::milliseconds(6300)));
  cr_assert(fixture.shouldHold("j", base::milliseconds(7300), base::milliseconds(7300)), "overdue");
}

Test(long_poll_policy, read_is_answered_when_required_groups_are_complete) {
  Fixture fixture;
  fixture.completeAfter("first", base::milliseconds(7200));
  fixture.submit("j");
  fixture.addResult("j", 0, base::seconds(1));
  fixture.addResult("j", 2, base::seconds(2));
  cr_assert(fixture.shouldHold("j", base::seconds(7), base::seconds(7)));
  fixture.addResult("j", 3, base::seconds(7));
  cr_assert_not(fixture.shouldHold("j", base::seconds(7), base::seconds(7)));
}

Test(long_poll_policy, resubmitted_groups_are_waited_for) {
  Fixture fixture;
  fixture.completeAfter("first", base::milliseconds(7200));
  fixture.submit("j", {"b"});
  fixture.addResult("j", 0, base::seconds(1));
  fixture.addResult("j", 1, base::seconds(1));
  cr_assert(fixture.shouldHold("j", base::seconds(7), base::seconds(7)));
  fixture.addResult("j", 2, base::seconds(7));
  fixture.addResult("j", 3, base::seconds(7));
  cr_assert_not(fixture.shouldHold("j", base::seconds(7), base::seconds(7)));
}

Test(long_poll_policy, read_is_answered_at_the_deadline) {
  Fixture fixture;
  fixture.completeAfter("first", base::milliseconds(7200));
  fixture.submit("j");
  fixture.addResult("j", 0, base::seconds(1));
  const base::Duration answerBy = kDeadline + base::milliseconds(300);
  cr_assert(fixture.shouldHold("j", base::seconds(7), answerBy - base::milliseconds(1)));
  cr_assert_not(fixture.shouldHold("j", base::seconds(7), answerBy));
  cr_assert(fixture.shouldHold("j", answerBy, answerBy + base::milliseconds(100)),
            "the read arrived after the deadline");
}
