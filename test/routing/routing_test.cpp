#include <criterion/criterion.h>

#include "routing/dispatch_queue.h"
#include "routing/engine_selector.h"
#include "routing/outlier_detector.h"
#include "routing/retry_budget.h"
#include "routing/token_bucket.h"

namespace base = tackpick::base;
namespace routing = tackpick::routing;

namespace {

constexpr base::TimePoint kStart{base::seconds(100)};

routing::DispatchQueue::Entry makeEntry(std::uint64_t task, std::uint32_t priority,
                                        const std::string& workload, std::uint32_t tokens) {
  routing::DispatchQueue::Entry entry;
  entry.task = {task};
  entry.priority = priority;
  entry.workload = {workload};
  entry.expectedTokens = tokens;
  entry.enqueuedAt = kStart;
  return entry;
}

std::uint64_t dispatchNext(routing::DispatchQueue& queue, base::TimePoint now) {
  const routing::TaskId task = queue.candidates(now).front().task;
  queue.removeDispatched(task, now);
  return task.value;
}

/// Returns a table with two engines of one model and current status.
routing::EngineTable makeTwoEngineTable() {
  routing::EngineTable table({});
  tackpick::control::ControlDelta delta;
  for (const std::uint64_t id : {1U, 2U}) {
    tackpick::control::EngineRecord record;
    record.engine = {id};
    record.incarnation = {1};
    record.model = "m";
    record.zone = "a";
    delta.engines.push_back(record);
  }
  table.apply(delta);
  for (const std::uint64_t id : {1U, 2U}) {
    tackpick::engine::EngineStatus status;
    status.engine = {id};
    status.incarnation = {1};
    status.model = "m";
    status.activeVersion = {id};
    status.slots = 4;
    table.onPollSent({id}, kStart);
    table.onStatus(status, kStart);
  }
  return table;
}

}  // namespace

Test(token_bucket, admits_the_burst_and_then_the_rate) {
  routing::TokenBucket bucket(10.0, 2.0, kStart);
  cr_assert(bucket.tryAcquire(kStart));
  cr_assert(bucket.tryAcquire(kStart));
  cr_assert_not(bucket.tryAcquire(kStart));
  cr_assert_eq(bucket.timeUntilAvailable(kStart).count(),
               base::Duration(base::milliseconds(100)).count());
  cr_assert(bucket.tryAcquire(kStart + base::milliseconds(100)));
}

Test(retry_budget, bounds_retries_by_first_attempts) {
  routing::RetryBudget budget(0.5, 1.0);
  cr_assert(budget.tryAcquire());
  cr_assert_not(budget.tryAcquire());
  budget.onFirstAttempt();
  cr_assert_not(budget.tryAcquire());
  budget.onFirstAttempt();
  cr_assert(budget.tryAcquire());
}

Test(dispatch_queue, higher_priorities_go_first_without_starvation) {
  routing::DispatchQueue queue({});
  queue.push(makeEntry(1, 5, "t/slow", 10));
  for (std::uint64_t task = 2; task < 40; ++task) {
    queue.push(makeEntry(task, 0, "t/fast", 10));
  }
  cr_assert_neq(dispatchNext(queue, kStart), 1U);
  // After the starvation timeout, one dispatch in ten goes to the oldest task.
  const base::TimePoint late = kStart + base::seconds(21);
  bool served = false;
  for (int i = 0; i < 12 && !served; ++i) {
    served = dispatchNext(queue, late) == 1U;
  }
  cr_assert(served);
}

Test(dispatch_queue, workloads_of_a_class_share_by_tokens) {
  routing::DispatchQueue queue({});
  for (std::uint64_t i = 0; i < 10; ++i) {
    queue.push(makeEntry(100 + i, 1, "t/long", 30));
    queue.push(makeEntry(200 + i, 1, "t/short", 10));
  }
  std::size_t shortTasks = 0;
  for (int i = 0; i < 8; ++i) {
    shortTasks += dispatchNext(queue, kStart) >= 200 ? 1 : 0;
  }
  cr_assert_eq(shortTasks, 6U, "three short tasks for each long one");
}

Test(dispatch_queue, longest_first_within_a_workload) {
  routing::DispatchQueue queue({});
  for (const std::uint32_t tokens : {5U, 50U, 20U}) {
    auto entry = makeEntry(tokens, 1, "t/w", tokens);
    entry.longestFirst = true;
    queue.push(entry);
  }
  cr_assert_eq(dispatchNext(queue, kStart), 50U);
  cr_assert_eq(dispatchNext(queue, kStart), 20U);
  cr_assert_eq(dispatchNext(queue, kStart), 5U);
}

Test(outlier_detector, ejects_after_failures_and_becomes_half_open) {
  routing::OutlierDetector outliers({});
  const base::EngineId engine{7};
  outliers.onFailure(engine, kStart);
  outliers.onFailure(engine, kStart);
  cr_assert_not(outliers.isEjected(engine, kStart));
  outliers.onFailure(engine, kStart);
  cr_assert(outliers.isEjected(engine, kStart));
  const base::TimePoint afterEjection = kStart + base::milliseconds(1001);
  cr_assert_not(outliers.isEjected(engine, afterEjection));
  cr_assert(outliers.isHalfOpen(engine));
  outliers.onSuccess(engine);
  cr_assert_not(outliers.isHalfOpen(engine));
}

Test(engine_selector, respects_versions_draining_and_status_age) {
  base::SeededRandom random(1);
  routing::EngineTable table = makeTwoEngineTable();
  routing::EngineSelector selector({}, random);
  const routing::OutlierDetector outliers({});
  routing::SelectionCriteria criteria;
  criteria.model = "m";
  criteria.minimumVersion = {2};
  cr_assert_eq(selector.select(table, outliers, criteria, kStart)->value, 2U);
  criteria.minimumVersion = {3};
  cr_assert_not(selector.select(table, outliers, criteria, kStart).has_value());
  criteria.minimumVersion = {};
  cr_assert(selector.select(table, outliers, criteria, kStart).has_value());
  cr_assert_not(selector.select(table, outliers, criteria, kStart + base::seconds(3)).has_value(),
                "an engine with outdated status may be draining");
  tackpick::engine::EngineStatus draining = table.find({1})->status;
  draining.draining = true;
  table.onStatus(draining, kStart);
  draining.draining = false;
  table.onStatus(draining, kStart);  // a status without the draining flag
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(selector.select(table, outliers, criteria, kStart)->value, 2U,
                 "draining lasts until the next incarnation");
  }
}

// Guards against a suspended gateway treating the response to an old poll as current and sending
// work to an engine that has begun draining since.
Test(engine_table, status_is_dated_by_its_poll) {
  routing::EngineTable table = makeTwoEngineTable();
  const auto eligible = [&](base::TimePoint now) {
    return table.isEligible(*table.find({1}), "m", {1}, now);
  };
  cr_assert(eligible(kStart));
  table.onPollSent({1}, kStart + base::seconds(1));
  const base::TimePoint resumedAt = kStart + base::seconds(9);
  table.onPollSent({1}, resumedAt);
  tackpick::engine::EngineStatus status = table.find({1})->status;
  table.onStatus(status, resumedAt);
  cr_assert_not(eligible(resumedAt), "the response may belong to the poll of eight seconds ago");
  table.onPollSent({1}, resumedAt);
  table.onStatus(status, resumedAt);
  cr_assert(eligible(resumedAt));
}
