/// \file
/// ItemRunner: from an item's complete text to its committed result.
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

constexpr base::Duration kCommitTimeout = base::seconds(30);

}  // namespace

void ItemRunner::onTextComplete(const jobs::ItemKey& key, ActiveItem& item) {
  item.textComplete = true;
  item.textCompletedAt = node_.now();
  item.run.onTextComplete(item.textCompletedAt);
  if (item.run.leased().item.scoring) {
    startScoring(node_.now());
  } else {
    finishItem(key, item, jobs::ItemState::kCompleted);
  }
}

void ItemRunner::startScoring(base::TimePoint now) {
  if (!canStart(now)) {
    return;
  }
  for (const auto& [key, item] : m_items) {
    if (!item->textComplete || item->outcome || item->scoring) {
      continue;
    }
    item->scoring = true;
    const jobs::LeasedItem& leased = item->run.leased();
    const base::TimePoint deadline = item->leasedAt + leased.queueTimeout - leased.age;
    m_scoringClient.add(leased, deadline,
                        [this, key = key](const std::string* score) { onScore(key, score); });
  }
  m_scoringClient.sendPending(now);
}

void ItemRunner::onScore(const jobs::ItemKey& key, const std::string* score) {
  const auto found = m_items.find(key);
  if (found == m_items.end()) {
    return;
  }
  ActiveItem& item = *found->second;
  if (score != nullptr) {
    item.run.onScore(*score);
  }
  finishItem(key, item,
             score != nullptr ? jobs::ItemState::kCompleted : jobs::ItemState::kTerminated);
}

void ItemRunner::finishItem(const jobs::ItemKey& key, ActiveItem& item, jobs::ItemState outcome) {
  item.outcome = outcome;
  item.run.onFinished();
  logFinished(key, item);
  commit(node_.now());
}

void ItemRunner::logFinished(const jobs::ItemKey& key, const ActiveItem& item) const {
  const bool completed = item.outcome == jobs::ItemState::kCompleted;
  node_.metrics().count(CounterId::kItemsFinished, completed ? "completed" : "terminated");
  const base::TimePoint now = node_.now();
  const jobs::LeasedItem& leased = item.run.leased();
  EventFields detail;
  detail.add("job", key.job).add("item", leased.item.id).add("group", leased.item.group);
  detail.add("instance", item.instance).add("status", static_cast<std::uint64_t>(item.status));
  detail.add("lease_age_ms", leased.age).add("wait_ms", item.firstSentAt - item.leasedAt);
  detail.add("run_ms", now - item.firstSentAt).add("begun_ms", item.timeToFirstEvent);
  detail.add("last_ms", now - item.sentAt).add("attempts", std::uint64_t{item.attempts});
  detail.add("score_ms", item.textComplete && item.textCompletedAt != base::TimePoint{}
                             ? now - item.textCompletedAt
                             : base::Duration{0});
  detail.add("events", item.run.lastEvent().value_or(0));
  detail.add("hint", std::uint64_t{leased.item.expectedTokens});
  telemetry::logEvent(completed ? EventId::kItemFinished : EventId::kItemGivenUp, detail.text());
  if (completed && item.attempts > 0) {
    const base::Duration waitToFirstEvent =
        item.firstSentAt - item.leasedAt + item.timeToFirstEvent;
    node_.metrics().observe(HistogramId::kItemWait, leased.age + waitToFirstEvent);
    node_.metrics().observe(HistogramId::kItemRun, now - item.firstSentAt - item.timeToFirstEvent);
  }
}

void ItemRunner::commit(base::TimePoint now) {
  if (committing_) {
    return;
  }
  jobs::CommitResults request = collectResults();
  if (request.jobs.empty()) {
    return;
  }
  committing_ = true;
  ledgers_.call(jobs::JobRequest{request}, kCommitTimeout, now,
                [this, request](const jobs::JobReply* reply) {
                  committing_ = false;
                  onCommitted(request, reply != nullptr);
                  commit(node_.now());
                });
}

jobs::CommitResults ItemRunner::collectResults() {
  jobs::CommitResults request;
  for (const auto& [key, item] : m_items) {
    if (!item->outcome || item->run.isSaving()) {
      continue;
    }
    // m_items is sorted by job, so the results of a job are adjacent.
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

void ItemRunner::onCommitted(const jobs::CommitResults& request, bool acknowledged) {
  if (!acknowledged) {
    return;  // committed again by the next call
  }
  for (const jobs::JobResults& job : request.jobs) {
    for (const jobs::ItemResult& result : job.results) {
      m_items.erase({job.job, result.item});
    }
  }
}

}  // namespace tackpick::node
