/// When a held read of results is answered.
#include "jobs/long_poll_policy.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr base::Duration kDue = base::milliseconds(7500);
constexpr base::Duration kWait = base::seconds(1);

/// Two groups of two items; the caller waits for one of them.
jobs::JobSubmission submission(const std::string& id) {
  jobs::JobSubmission job;
  job.id = id;
  job.model = "m";
  job.requiredGroups = 1;
  job.resultDeadline = kDue;
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
    gathering.addJob(id, *state.find(id), resubmitted);
  }
  void list(const std::string& id, std::uint32_t item, base::Duration age) {
    apply(jobs::CommitResults{{{id, {{item, jobs::ItemState::kCompleted, {}, {1}}}}}});
    gathering.observe(state, [&](const std::string&) { return age; });
  }
  /// A job of the model whose wanted group is whole after `age`.
  void wholeAfter(const std::string& id, base::Duration age) {
    submit(id);
    list(id, 0, age);
    list(id, 1, age);
  }
  /// A read that came at `asked`, looked at when the job has this age.
  [[nodiscard]] bool holds(const std::string& id, base::Duration asked, base::Duration age) const {
    return gathering.holds(id, *state.find(id), age, asked, asked + kWait - age);
  }

  jobs::JobState state;
  jobs::LongPollPolicy gathering{jobs::LongPollSettings{}};

 private:
  void apply(const jobs::JobCommand& command) {
    (void)state.apply(1, jobs::encodeCommand(command));
  }
};

}  // namespace

Test(long_poll_policy, until_a_job_was_whole_the_due_time_counts) {
  Fixture fixture;
  fixture.submit("j");
  fixture.list("j", 0, base::seconds(1));
  cr_assert_not(fixture.holds("j", base::seconds(6), base::seconds(6)));
  cr_assert(fixture.holds("j", base::seconds(7), base::seconds(7)));
}

Test(long_poll_policy, read_is_held_when_the_rest_is_near) {
  Fixture fixture;
  fixture.wholeAfter("first", base::milliseconds(7200));
  fixture.submit("j");
  fixture.list("j", 0, base::seconds(1));
  cr_assert_not(fixture.holds("j", base::seconds(5), base::seconds(5)));
  cr_assert_not(fixture.holds("j", base::milliseconds(6100), base::milliseconds(6100)));
  cr_assert(fixture.holds("j", base::milliseconds(6300), base::milliseconds(6300)));
  cr_assert(fixture.holds("j", base::milliseconds(7300), base::milliseconds(7300)), "overdue");
}

Test(long_poll_policy, wanted_groups_that_are_whole_end_it) {
  Fixture fixture;
  fixture.wholeAfter("first", base::milliseconds(7200));
  fixture.submit("j");
  fixture.list("j", 0, base::seconds(1));
  fixture.list("j", 2, base::seconds(2));
  cr_assert(fixture.holds("j", base::seconds(7), base::seconds(7)));
  fixture.list("j", 3, base::seconds(7));
  cr_assert_not(fixture.holds("j", base::seconds(7), base::seconds(7)));
}

Test(long_poll_policy, groups_that_come_again_are_waited_for) {
  Fixture fixture;
  fixture.wholeAfter("first", base::milliseconds(7200));
  fixture.submit("j", {"b"});
  fixture.list("j", 0, base::seconds(1));
  fixture.list("j", 1, base::seconds(1));
  cr_assert(fixture.holds("j", base::seconds(7), base::seconds(7)));
  fixture.list("j", 2, base::seconds(7));
  fixture.list("j", 3, base::seconds(7));
  cr_assert_not(fixture.holds("j", base::seconds(7), base::seconds(7)));
}

Test(long_poll_policy, what_is_due_is_told_whatever_is_missing) {
  Fixture fixture;
  fixture.wholeAfter("first", base::milliseconds(7200));
  fixture.submit("j");
  fixture.list("j", 0, base::seconds(1));
  const base::Duration latest = kDue + base::milliseconds(300);
  cr_assert(fixture.holds("j", base::seconds(7), latest - base::milliseconds(1)));
  cr_assert_not(fixture.holds("j", base::seconds(7), latest));
  cr_assert(fixture.holds("j", latest, latest + base::milliseconds(100)), "it is late already");
}
