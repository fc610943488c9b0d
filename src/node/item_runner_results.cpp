/// \file
/// ItemRunner: from an item's whole text to its committed result.
#include <utility>

#include "node/item_runner.h"
#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

using telemetry::CounterId;
using telemetry::EventFields;
using telemetry::EventId;
using telemetry::HistogramId;

constexpr base::Duration kCommitDeadline = base::seconds(30);

}  // namespace

void ItemRunner::onTextComplete(const jobs::ItemKey& key, Running& item) {
  item.whole = true;
  item.wholeAt = node_.now();
  item.run.onTextComplete(item.wholeAt);
  if (item.run.leased().item.scoring) {
    startScoring(node_.now());
  } else {
    finishItem(key, item, jobs::ItemState::kCompleted);
  }
}

void ItemRunner::startScoring(base::TimePoint now) {
  if (!mayStart(now)) {
    return;
  }
  for (const auto& [key, item] : items_) {
    if (!item->whole || item->outcome || item->scoring) {
      continue;
    }
    item->scoring = true;
    const jobs::LeasedItem& leased = item->run.leased();
    const base::TimePoint deadline = item->leasedAt + leased.queueTimeout - leased.age;
    scores_.add(leased, deadline,
                [this, key = key](const std::string* score) { onScore(key, score); });
  }
  scores_.start(now);
}

void ItemRunner::onScore(const jobs::ItemKey& key, const std::string* score) {
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return;
  }
  Running& item = *found->second;
  if (score != nullptr) {
    item.run.onScore(*score);
  }
  finishItem(key, item,
             score != nullptr ? jobs::ItemState::kCompleted : jobs::ItemState::kTerminated);
}

void ItemRunner::finishItem(const jobs::ItemKey& key, Running& item, jobs::ItemState outcome) {
  item.outcome = outcome;
  item.run.onFinished();
  logFinished(key, item);
  commit(node_.now());
}

void ItemRunner::logFinished(const jobs::ItemKey& key, const Running& item) const {
  const bool completed = item.outcome == jobs::ItemState::kCompleted;
  node_.metrics().count(CounterId::kItemsFinished, completed ? "completed" : "terminated");
  const base::TimePoint now = node_.now();
  const jobs::LeasedItem& leased = item.run.leased();
  EventFields detail;
  detail.add("job", key.job).add("item", leased.item.id).add("group", leased.item.group);
  detail.add("instance", item.instance).add("status", static_cast<std::uint64_t>(item.status));
  detail.add("lease_age_ms", leased.age).add("wait_ms", item.firstSentAt - item.leasedAt);
  detail.add("run_ms", now - item.firstSentAt).add("begun_ms", item.begunAfter);
  detail.add("last_ms", now - item.sentAt).add("attempts", std::uint64_t{item.attempts});
  detail.add("score_ms", item.whole && item.wholeAt != base::TimePoint{} ? now - item.wholeAt
                                                                         : base::Duration{0});
  detail.add("events", item.run.lastEvent().value_or(0));
  detail.add("hint", std::uint64_t{leased.item.expectedTokens});
  telemetry::logEvent(completed ? EventId::kItemFinished : EventId::kItemGivenUp, detail.text());
  if (completed && item.attempts > 0) {
    const base::Duration begun = item.firstSentAt - item.leasedAt + item.begunAfter;
    node_.metrics().observe(HistogramId::kItemWait, leased.age + begun);
    node_.metrics().observe(HistogramId::kItemRun, now - item.firstSentAt - item.begunAfter);
  }
}

void ItemRunner::commit(base::TimePoint now) {
  if (committing_) {
    return;
  }
  jobs::CommitResults request = takeResults();
  if (request.jobs.empty()) {
    return;
  }
  committing_ = true;
  ledgers_.call(jobs::JobRequest{request}, kCommitDeadline, now,
                [this, request](const jobs::JobReply* reply) {
                  committing_ = false;
                  onCommitted(request, reply != nullptr);
                  commit(node_.now());
                });
}

jobs::CommitResults ItemRunner::takeResults() {
  jobs::CommitResults request;
  for (const auto& [key, item] : items_) {
    if (!item->outcome || item->run.isSaving()) {
      continue;
    }
    // Items are in order of their jobs.
    if (request.jobs.empty() || request.jobs.back().job != key.job) {
      request.jobs.push_back({key.job, {}});
    }
    std::vector<jobs::ItemResult>& results = request.jobs.back().results;
    if (item->outcome == jobs::ItemState::kTerminated) {
      results.push_back(item->run.terminated());
    } else {
      results.push_back(item->committed ? item->run.completed() : item->run.completedAfterSaved());
    }
    item->committed = true;
  }
  return request;
}

void ItemRunner::onCommitted(const jobs::CommitResults& request, bool known) {
  if (!known) {
    return;  // handed in again
  }
  for (const jobs::JobResults& job : request.jobs) {
    for (const jobs::ItemResult& result : job.results) {
      items_.erase({job.job, result.item});
    }
  }
}

}  // namespace tackpick::node
