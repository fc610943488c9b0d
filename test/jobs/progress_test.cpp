/// Texts of unfinished items: saved state and saving by gateways.
#include <criterion/criterion.h>

#include <algorithm>
#include <memory>

#include "base/random.h"
#include "jobs/fake_ledger_client.h"
#include "jobs/item_run.h"
#include "jobs/job_state.h"
#include "jobs/progress_saver.h"

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;
using tackpick::test::FakeLedgerClient;

namespace {

void apply(jobs::JobState& state, const jobs::JobCommand& command) {
  (void)state.apply(1, jobs::encodeCommand(command));
}

jobs::JobState stateWithJob(std::uint32_t items = 2) {
  jobs::JobSubmission job;
  job.id = "j";
  for (std::uint32_t i = 0; i < items; ++i) {
    job.items.push_back({"item" + std::to_string(i), "/p", {}, "body", "g", 10});
  }
  jobs::JobState state;
  apply(state, jobs::SubmitJob{job});
  return state;
}

jobs::ItemProgress makeProgress(std::optional<jobs::ProgressPoint> after,
                                jobs::ProgressPoint reached, const std::string& text,
                                std::uint64_t version = 2) {
  return {0, after, {reached, base::CompressedText(text), {version}}};
}

void save(jobs::JobState& state, const jobs::ItemProgress& progress) {
  apply(state, jobs::SaveProgress{{{"j", {progress}}}});
}

const jobs::PartialText* savedText(const jobs::JobState& state) {
  const auto& partial = state.find("j")->partial;
  const auto found = partial.find(0);
  return found == partial.end() ? nullptr : &found->second;
}

jobs::LeasedItem leased(std::uint64_t lease, const jobs::JobState& state) {
  jobs::LeasedItem item;
  item.key = {"j", 0};
  item.lease = lease;
  item.minimumVersion = 2;
  item.attempts = 3;
  item.queueTimeout = base::seconds(40);
  if (const jobs::PartialText* partial = savedText(state)) {
    item.progress = *partial;
  }
  return item;
}

void addEvents(jobs::ItemRun& run, std::uint64_t count, const std::string& mark) {
  cr_assert(run.onHead(2));
  for (std::uint64_t i = 0; i < count; ++i) {
    const std::uint64_t id = run.lastEvent() ? *run.lastEvent() + 1 : 0;
    cr_assert(run.onEvent({id, mark, std::nullopt}));
  }
}

}  // namespace

Test(job_state, progress_is_saved_only_when_contiguous) {
  jobs::JobState state = stateWithJob();
  save(state, makeProgress(std::nullopt, {1, 4}, "a"));
  save(state, makeProgress(jobs::ProgressPoint{1, 4}, {1, 7}, "\nb", 3));
  save(state, makeProgress(jobs::ProgressPoint{1, 4}, {1, 9}, "\nlate"));
  cr_assert_eq(savedText(state)->text, "a\nb");
  cr_assert(savedText(state)->point == (jobs::ProgressPoint{1, 7}));
  cr_assert(savedText(state)->versions == (std::set<std::uint64_t>{2, 3}));
}

Test(job_state, progress_of_an_earlier_lease_never_joins_that_of_a_later_one) {
  jobs::JobState state = stateWithJob();
  save(state, makeProgress(std::nullopt, {1, 4}, "a"));
  save(state, makeProgress(jobs::ProgressPoint{1, 4}, {2, 6}, "\nb"));
  save(state, makeProgress(jobs::ProgressPoint{1, 4}, {1, 8}, "\nold"));
  save(state, makeProgress(std::nullopt, {1, 9}, "old"));
  cr_assert_eq(savedText(state)->text, "a\nb");
  save(state, makeProgress(std::nullopt, {3, 2}, "anew"));
  cr_assert_eq(savedText(state)->text, "anew");
}

Test(job_state, finished_items_and_ended_jobs_keep_no_progress) {
  jobs::JobState state = stateWithJob();
  save(state, makeProgress(std::nullopt, {1, 4}, "a"));
  apply(state,
        jobs::CommitResults{
            {{"j", {{0, jobs::ItemState::kCompleted, base::CompressedText("whole"), {2}}}}}});
  cr_assert_null(savedText(state));
  save(state, makeProgress(std::nullopt, {2, 4}, "a"));
  cr_assert_null(savedText(state));
  apply(state,
        jobs::SaveProgress{
            {{"j", {{1, std::nullopt, {{1, 4}, base::CompressedText("a"), {2}}}, {7, {}, {}}}}}});
  cr_assert_eq(state.find("j")->partial.size(), 1U);
  apply(state, jobs::EndJob{"j"});
  cr_assert(state.find("j")->partial.empty());
}

Test(job_state, snapshot_holds_progress) {
  jobs::JobState state = stateWithJob();
  save(state, makeProgress(std::nullopt, {1, 4}, "a"));
  jobs::JobState loaded;
  loaded.loadSnapshot(state.takeSnapshot());
  cr_assert_eq(savedText(loaded)->text, "a");
  cr_assert(savedText(loaded)->point == (jobs::ProgressPoint{1, 4}));
}

Test(item_run, continues_the_saved_text_and_saves_only_new_text) {
  jobs::JobState state = stateWithJob();
  jobs::ItemRun first(leased(1, state));
  addEvents(first, 5, "a");
  cr_assert_not(first.takeProgress(8).has_value());
  save(state, *first.takeProgress(1));
  first.onProgressSaved(true);
  addEvents(first, 3, "a");
  const auto more = first.takeProgress(1);
  cr_assert_eq(more->delta.text, "\na\na\na");
  save(state, *more);

  jobs::ItemRun second(leased(2, state));
  cr_assert_eq(*second.lastEvent(), 7U);
  cr_assert_not(second.takeProgress(1).has_value());
  addEvents(second, 2, "b");
  save(state, *second.takeProgress(1));
  cr_assert_eq(savedText(state)->text, "a\na\na\na\na\na\na\na\nb\nb");
  cr_assert_eq(second.completed().text, savedText(state)->text);
}

Test(item_run, restarted_text_is_not_saved) {
  jobs::LeasedItem item = leased(1, stateWithJob());
  item.singleVersion = true;
  item.progress = jobs::PartialText{{0, 6}, base::CompressedText("old"), {2}};
  jobs::ItemRun run(item);
  cr_assert_not(run.onHead(3), "the text so far was generated by version 2");
  cr_assert(run.onHead(3));
  cr_assert(run.onEvent({0, "x", std::nullopt}));
  cr_assert_eq(run.completed().text, "x");
  cr_assert_not(run.takeProgress(1).has_value());
}

Test(progress_saver, one_call_at_a_time_and_only_for_long_texts) {
  FakeLedgerClient ledgers;
  jobs::ItemRun run(leased(1, stateWithJob()));
  jobs::ProgressSaver saver(ledgers,
                            [&] {
                              return jobs::ProgressSaver::Runs{{{"j", 0}, &run}};
                            },
                            {});
  base::TimePoint now{base::seconds(10)};
  addEvents(run, 4, "a");
  saver.tick(now);
  cr_assert(ledgers.requests.empty());
  addEvents(run, 8, "a");
  now += base::seconds(1);
  saver.tick(now);
  now += base::seconds(1);
  saver.tick(now);
  cr_assert_eq(ledgers.requests.size(), 1U);
  ledgers.finishCall(true);
  addEvents(run, 8, "b");
  saver.tick(now);
  const jobs::ItemProgress& second = ledgers.requests.at(1).jobs.at(0).items.at(0);
  cr_assert(second.after.has_value());
  cr_assert_eq(second.delta.point.event, 19U);
}

Test(progress_saver, complete_text_is_sent_after_a_call_without_reply) {
  FakeLedgerClient ledgers;
  jobs::ItemRun run(leased(1, stateWithJob()));
  jobs::ProgressSaver saver(ledgers,
                            [&] {
                              return jobs::ProgressSaver::Runs{{{"j", 0}, &run}};
                            },
                            {});
  addEvents(run, 12, "a");
  saver.tick(base::TimePoint{base::seconds(10)});
  ledgers.finishCall(false);
  addEvents(run, 12, "b");
  bool done = false;
  saver.flush(base::TimePoint{base::seconds(11)}, [&] { done = true; });
  const jobs::ItemProgress& again = ledgers.requests.at(1).jobs.at(0).items.at(0);
  cr_assert_not(again.after.has_value());
  cr_assert_eq(again.delta.text, run.completed().text);
  ledgers.finishCall(false);
  cr_assert(done, "called also after a failed save");
}

// Guards against saved texts that mix runs when gateways lose leases and their saves are delayed,
// repeated or lost.
Test(job_state, saves_in_any_order_never_mix_runs) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    base::SeededRandom random(seed);
    jobs::JobState state = stateWithJob();
    std::vector<std::unique_ptr<jobs::ItemRun>> runs;
    std::vector<jobs::ItemProgress> inFlight;
    for (int step = 0; step < 60; ++step) {
      if (runs.empty() || random.below(8) == 0) {
        runs.push_back(std::make_unique<jobs::ItemRun>(leased(runs.size() + 1, state)));
      }
      const std::size_t at = random.below(runs.size());
      addEvents(*runs[at], 1 + random.below(3), std::to_string(at));
      if (const auto offered = runs[at]->takeProgress(1)) {
        inFlight.push_back(*offered);
        runs[at]->onProgressSaved(random.below(3) != 0);
      }
      while (!inFlight.empty() && random.below(2) == 0) {
        const std::size_t which = random.below(inFlight.size());
        save(state, inFlight[which]);
        if (random.below(4) != 0) {
          inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(which));
        }
      }
      if (const jobs::PartialText* partial = savedText(state)) {
        // Each line is one event; the text must also be a prefix of some gateway's text.
        const std::string text = partial->text.decompressedText().value();
        const auto lines = std::count(text.begin(), text.end(), '\n') + 1;
        cr_assert_eq(static_cast<std::uint64_t>(lines), partial->point.event + 1);
        const bool own = std::any_of(runs.begin(), runs.end(), [&](const auto& run) {
          return run->completed().text.decompressedText()->starts_with(text);
        });
        cr_assert(own, "seed %lu step %d", static_cast<unsigned long>(seed), step);
      }
    }
  }
}
