/// Whole texts that wait for their score: what the ledgers keep, who is asked, what is listed.
#include <criterion/criterion.h>

#include "jobs/item_leases.h"
#include "jobs/item_run.h"
#include "jobs/job_state.h"
#include "jobs/progress_saver.h"
#include "jobs/recording_ledgers.h"
#include "jobs/scoring_attempts.h"

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;
using tackpick::test::RecordingLedgers;

namespace {

constexpr base::TimePoint kNow{base::seconds(10)};

void apply(jobs::JobState& state, const jobs::JobCommand& command) {
  (void)state.apply(1, jobs::encodeCommand(command));
}

jobs::JobState stateWithJob() {
  jobs::JobSubmission job;
  job.id = "j";
  jobs::Item item;
  item.id = "i";
  item.scoring = jobs::ScoringCall{"call", "h", "/score", "body"};
  job.items = {item, item};
  jobs::JobState state;
  apply(state, jobs::SubmitJob{job});
  return state;
}

jobs::LeasedItem leased(std::uint64_t lease, const jobs::JobState& state) {
  jobs::LeasedItem item;
  item.key = {"j", 0};
  item.lease = lease;
  item.queueTimeout = base::seconds(40);
  item.item = state.find("j")->submission.items[0];
  const auto& partial = state.find("j")->partial;
  if (partial.contains(0)) {
    item.progress = partial.at(0);
  }
  return item;
}

void addEvents(jobs::ItemRun& run, std::uint64_t count) {
  cr_assert(run.onHead(2));
  for (std::uint64_t i = 0; i < count; ++i) {
    cr_assert(run.onEvent({run.lastEvent() ? *run.lastEvent() + 1 : 0, "a", std::nullopt}));
  }
}

void save(jobs::JobState& state, jobs::ItemRun& run, std::uint64_t minEvents = 1) {
  const auto progress = run.offerProgress(minEvents);
  cr_assert(progress.has_value());
  apply(state, jobs::SaveProgress{{{"j", {*progress}}}});
  run.onProgressSaved(true);
}

void commit(jobs::JobState& state, const jobs::ItemResult& result) {
  apply(state, jobs::CommitResults{{{"j", {result}}}});
}

jobs::ScorerResponse answer(int status, const std::string& signature = "", bool notRun = false) {
  return {true, notRun, status, signature};
}

}  // namespace

Test(job_state, result_joins_the_kept_text_that_it_follows) {
  jobs::JobState state = stateWithJob();
  jobs::ItemRun run(leased(1, state));
  addEvents(run, 4);
  save(state, run);
  addEvents(run, 2);
  run.onTextComplete(kNow);
  run.onScore("s");
  const jobs::ItemResult result = run.completedAfterSaved();
  cr_assert_eq(result.text, "\na\na");
  commit(state, result);
  const jobs::Job& job = *state.find("j");
  cr_assert_eq(job.results.at(0).text, run.completed().text);
  cr_assert_eq(job.results.at(0).score, "s");
  cr_assert_not(job.results.at(0).after.has_value());
  cr_assert(job.partial.empty());
}

Test(job_state, result_never_joins_another_text) {
  jobs::JobState state = stateWithJob();
  jobs::ItemRun former(leased(1, state));
  addEvents(former, 4);
  save(state, former);
  jobs::ItemRun latter(leased(2, state));
  addEvents(latter, 1);
  save(state, latter);
  addEvents(former, 2);
  commit(state, former.completedAfterSaved());
  cr_assert(state.find("j")->results.empty());
  commit(state, former.completed());
  cr_assert_eq(state.find("j")->results.at(0).text, former.completed().text);
}

Test(item_run, whole_text_is_kept_whatever_its_length_and_only_its_score_is_missing) {
  jobs::JobState state = stateWithJob();
  jobs::ItemRun run(leased(1, state));
  addEvents(run, 2);
  cr_assert_not(run.offerProgress(8).has_value());
  run.onTextComplete(kNow);
  save(state, run, 8);
  cr_assert_not(run.offerProgress(1).has_value(), "it is kept");
  cr_assert(state.find("j")->hasWholeText(0));

  jobs::ItemRun successor(leased(2, state));
  cr_assert(successor.isTextComplete());
  successor.onScore("s");
  const jobs::ItemResult result = successor.completedAfterSaved();
  cr_assert_eq(result.text.length(), 0U);
  commit(state, result);
  cr_assert_eq(state.find("j")->results.at(0).text, "a\na");
}

Test(item_leases, whole_texts_need_no_place_at_an_engine) {
  jobs::JobState state = stateWithJob();
  jobs::ItemRun run(leased(1, state));
  addEvents(run, 2);
  run.onTextComplete(kNow);
  save(state, run);
  jobs::ItemLeases leases(base::seconds(2));
  leases.reset(1, kNow, base::Duration{0});
  leases.addJob("j", *state.find("j"), kNow);
  const auto granted = leases.lease(base::makeNodeId(1, 1), {}, state, kNow);
  cr_assert_eq(granted.size(), 1U);
  cr_assert_eq(granted[0].key.item, 0U);
  cr_assert(leases.itemsByEngine().empty());
}

Test(progress_saver, whole_text_is_kept_when_its_score_does_not_come_soon) {
  RecordingLedgers ledgers;
  jobs::ItemRun run(leased(1, stateWithJob()));
  jobs::ProgressSaver saver(ledgers,
                            [&] {
                              return jobs::ProgressSaver::Runs{{{"j", 0}, &run}};
                            },
                            {});
  saver.tick(kNow);
  addEvents(run, 2);
  run.onTextComplete(kNow);
  saver.tick(kNow + base::milliseconds(30));
  cr_assert(ledgers.requests.empty());
  saver.tick(kNow + base::milliseconds(70));
  cr_assert_eq(ledgers.requests.size(), 1U);
  cr_assert(ledgers.requests[0].jobs.at(0).items.at(0).added.whole);
}

Test(progress_saver, item_that_finishes_during_a_save_is_free_when_the_save_ends) {
  RecordingLedgers ledgers;
  jobs::ItemRun run(leased(1, stateWithJob()));
  jobs::ProgressSaver saver(ledgers,
                            [&] {
                              return jobs::ProgressSaver::Runs{{{"j", 0}, &run}};
                            },
                            {});
  addEvents(run, 12);
  saver.tick(kNow);
  cr_assert(run.isSaving());
  run.onTextComplete(kNow);
  run.onScore("s");
  run.onFinished();
  ledgers.answer(true);
  cr_assert_not(run.isSaving());
  saver.tick(kNow + base::seconds(1));
  cr_assert_eq(ledgers.requests.size(), 1U, "nothing of a finished item is kept");
}

Test(scoring_attempts, only_a_signed_success_is_a_score) {
  using Step = jobs::ScoringStep;
  jobs::ScoringAttempts attempts(3);
  cr_assert(attempts.onResponse(answer(200)) == Step::kRepeat);
  cr_assert(attempts.onResponse({false, false, 200, "cut"}) == Step::kRepeat);
  cr_assert(attempts.onResponse(answer(503, "s", true)) == Step::kRepeat);
  cr_assert(attempts.onResponse(answer(421, "s", true)) == Step::kRepeat);
  cr_assert(attempts.onResponse(answer(504, "s")) == Step::kRepeat);
  cr_assert(attempts.onResponse(answer(200, "s")) == Step::kScored);
}

Test(scoring_attempts, only_whole_failures_of_the_scorer_count) {
  using Step = jobs::ScoringStep;
  jobs::ScoringAttempts attempts(2);
  for (int i = 0; i < 9; ++i) {
    cr_assert(attempts.onResponse({false, false, 500, ""}) == Step::kRepeat);
    cr_assert(attempts.onResponse(answer(500, "", true)) == Step::kRepeat);
  }
  cr_assert_gt(attempts.delay().count(), 0);
  cr_assert(attempts.onResponse(answer(500)) == Step::kRepeat);
  cr_assert_eq(attempts.delay().count(), 0, "another server may not share the failure");
  cr_assert(attempts.onResponse(answer(500)) == Step::kGivenUp);
}
