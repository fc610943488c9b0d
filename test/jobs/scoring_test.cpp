/// Complete texts without a score: saving, scoring calls and results.
#include <criterion/criterion.h>

#include "jobs/fake_ledger_client.h"
#include "jobs/item_leases.h"
#include "jobs/item_run.h"
#include "jobs/job_state.h"
#include "jobs/progress_saver.h"
#include "jobs/scoring_attempts.h"

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;
using tackpick::test::FakeLedgerClient;

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
  const auto progress = run.takeProgress(minEvents);
  cr_assert(progress.has_value());
  apply(state, jobs::SaveProgress{{{"j", {*progress}}}});
  run.onProgressSaved(true);
}

void commit(jobs::JobState& state, const jobs::ItemResult& result) {
  apply(state, jobs::CommitResults{{{"j", {result}}}});
}

jobs::ScorerResponse response(int status, const std::string& signature = "",
                              bool notExecuted = false) {
  return {true, notExecuted, status, signature};
}

}  // namespace

Test(job_state, result_continues_the_saved_text) {
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

Test(job_state, result_never_continues_another_text) {
  jobs::JobState state = stateWithJob();
  jobs::ItemRun first(leased(1, state));
  addEvents(first, 4);
  save(state, first);
  jobs::ItemRun second(leased(2, state));
  addEvents(second, 1);
  save(state, second);
  addEvents(first, 2);
  commit(state, first.completedAfterSaved());
  cr_assert(state.find("j")->results.empty());
  commit(state, first.completed());
  cr_assert_eq(state.find("j")->results.at(0).text, first.completed().text);
}

Test(item_run, complete_text_of_any_length_is_saved_without_its_score) {
  jobs::JobState state = stateWithJob();
  jobs::ItemRun run(leased(1, state));
  addEvents(run, 2);
  cr_assert_not(run.takeProgress(8).has_value());
  run.onTextComplete(kNow);
  save(state, run, 8);
  cr_assert_not(run.takeProgress(1).has_value(), "already saved");
  cr_assert(state.find("j")->hasCompleteText(0));

  jobs::ItemRun successor(leased(2, state));
  cr_assert(successor.isTextComplete());
  successor.onScore("s");
  const jobs::ItemResult result = successor.completedAfterSaved();
  cr_assert_eq(result.text.length(), 0U);
  commit(state, result);
  cr_assert_eq(state.find("j")->results.at(0).text, "a\na");
}

Test(item_leases, complete_texts_need_no_slot) {
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

Test(progress_saver, complete_text_is_saved_if_its_score_is_late) {
  FakeLedgerClient ledgers;
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
  cr_assert(ledgers.requests[0].jobs.at(0).items.at(0).delta.textComplete);
}

Test(progress_saver, item_that_finishes_during_a_save_is_free_when_the_save_ends) {
  FakeLedgerClient ledgers;
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
  ledgers.finishCall(true);
  cr_assert_not(run.isSaving());
  saver.tick(kNow + base::seconds(1));
  cr_assert_eq(ledgers.requests.size(), 1U, "finished items are not saved");
}

Test(scoring_attempts, only_a_signed_success_is_a_score) {
  using Action = jobs::ScoringAction;
  jobs::ScoringAttempts attempts(3);
  cr_assert(attempts.onResponse(response(200)) == Action::kRetry);
  cr_assert(attempts.onResponse({false, false, 200, "cut"}) == Action::kRetry);
  cr_assert(attempts.onResponse(response(503, "s", true)) == Action::kRetry);
  cr_assert(attempts.onResponse(response(421, "s", true)) == Action::kRetry);
  cr_assert(attempts.onResponse(response(504, "s")) == Action::kRetry);
  cr_assert(attempts.onResponse(response(200, "s")) == Action::kScored);
}

// Guards against storing a score that cannot be part of a JSON response.
Test(scoring_attempts, score_that_is_not_utf8_is_requested_again) {
  jobs::ScoringAttempts attempts(1);
  cr_assert(attempts.onResponse(response(200, "s\xb1")) == jobs::ScoringAction::kRetry);
  cr_assert(attempts.onResponse(response(200, "s")) == jobs::ScoringAction::kScored);
}

Test(scoring_attempts, only_complete_failure_responses_count) {
  using Action = jobs::ScoringAction;
  jobs::ScoringAttempts attempts(2);
  for (int i = 0; i < 9; ++i) {
    cr_assert(attempts.onResponse({false, false, 500, ""}) == Action::kRetry);
    cr_assert(attempts.onResponse(response(500, "", true)) == Action::kRetry);
  }
  cr_assert_gt(attempts.delay().count(), 0);
  cr_assert(attempts.onResponse(response(500)) == Action::kRetry);
  cr_assert_eq(attempts.delay().count(), 0, "another server may not share the failure");
  cr_assert(attempts.onResponse(response(500)) == Action::kGivenUp);
}
