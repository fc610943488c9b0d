/// \file
/// ItemRunner: cancelling attempts and moving items to other engines.
#include <algorithm>
#include <utility>

#include "node/item_runner.h"
#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

using forwarding::AttemptOutcome;
using telemetry::CounterId;
using telemetry::EventFields;
using telemetry::EventId;

/// Time without a complete event after which an attempt is cancelled and its item retried.
constexpr base::Duration kReadTimeout = base::milliseconds(2500);
/// Number of events over which an event interval is averaged.
constexpr std::uint32_t kEventsPerSample = 6;
/// Running time after which an item is considered long, so that moving it is worthwhile.
constexpr base::Duration kLongRunTime = base::milliseconds(900);
/// Time without received data after which a new attempt counts as queued at its engine.
constexpr base::Duration kMaxQueueTime = base::milliseconds(500);
constexpr std::uint32_t kMaxRebalanceMoves = 3;

}  // namespace

void ItemRunner::cancelTimedOut(base::TimePoint now) {
  for (const auto& [key, item] : m_items) {
    // A restarted engine has lost its runs. If its connection was not closed, for example in a
    // network partition, waiting for the read timeout would only delay the retry.
    const bool restarted = instances_.hasRestarted(item->instance);
    const bool timedOut = now - item->lastProgressAt > kReadTimeout || restarted;
    if (item->exchange.valid() && (item->discardResponse || timedOut)) {
      node_.upstream().cancel(item->exchange);
      item->exchange = {};
      const bool malformed = item->responseInvalid;
      const bool engineFailed = malformed || !item->discardResponse;
      base::Duration retryDelay = malformed ? kMalformedRetryDelay : base::Duration{0};
      if (restarted) {
        item->brokenRuns.onBroken();
        retryDelay = std::max(retryDelay, item->brokenRuns.delay());
      }
      onAttemptFailed(key, *item,
                      engineFailed ? AttemptOutcome::kFailed : AttemptOutcome::kCancelled,
                      retryDelay);
    }
  }
}

void ItemRunner::recordEventInterval(ActiveItem& item, base::TimePoint now) {
  item.eventInterval.onEvent(now);
  if (item.intervalStart == base::TimePoint{}) {
    item.intervalStart = now;  // excludes the time to process the prompt
    return;
  }
  if (++item.intervalEvents < kEventsPerSample) {
    return;
  }
  instances_.onEventInterval(item.instance, (now - item.intervalStart) / item.intervalEvents, now);
  item.intervalStart = now;
  item.intervalEvents = 0;
}

bool ItemRunner::isLong(const ActiveItem& item) const {
  constexpr double kLongFactor = 1.5;
  return item.moves > 0 || item.run.leased().item.expectedTokens > kLongFactor * m_averageTokens;
}

jobs::RunForecast ItemRunner::forecastOf(const ActiveItem& item, base::TimePoint now) {
  const jobs::LeasedItem& leased = item.run.leased();
  const std::uint64_t events = item.run.lastEvent().value_or(0);
  const std::uint64_t atLease = leased.progress ? leased.progress->point.event : 0;
  jobs::RunForecast forecast;
  forecast.eventIntervalMs = item.eventInterval.sustainedMs(now).value_or(0);
  forecast.remainingEvents =
      jobs::remainingEventsOf(leased.remainingEvents, events - std::min(atLease, events), events);
  forecast.moves = item.moves;
  if (leased.timeUntilDue != base::Duration::max()) {
    forecast.timeUntilDue = leased.timeUntilDue - (now - item.leasedAt);
  }
  return forecast;
}

const forwarding::InstanceEntry* ItemRunner::findFaster(const ActiveItem& item,
                                                        base::TimePoint now) const {
  const jobs::RunForecast forecast = forecastOf(item, now);
  const forwarding::InstanceRequirements requirements = requirementsOf(item);
  if (!forecast.isKnown()) {
    const bool ranLong = now - item.firstSentAt > kLongRunTime;
    return ranLong ? instances_.findFaster(requirements, item.instance, jobs::kMinMoveSpeedup,
                                           node_.random(), now)
                   : nullptr;
  }
  const std::optional<double> maxEventIntervalMs = jobs::maxEventIntervalToMoveTo(forecast);
  return maxEventIntervalMs
             ? instances_.findWithinInterval(requirements, item.instance, *maxEventIntervalMs,
                                             node_.random(), now)
             : nullptr;
}

void ItemRunner::moveFromSlowEngines(base::TimePoint now) {
  for (const auto& [key, item] : m_items) {
    const bool mayMove = item->exchange.valid() && item->intervalStart != base::TimePoint{} &&
                         item->moves < jobs::kMaxMovesToFaster;
    const auto* faster = mayMove ? findFaster(*item, now) : nullptr;
    if (faster != nullptr) {
      ++item->moves;
      moveTo(key, *item, faster->record.id, "slow");
    }
  }
}

void ItemRunner::moveQueuedItems(base::TimePoint now) {
  for (const auto& [key, item] : m_items) {
    const bool isQueued = item->exchange.valid() && item->lastProgressAt == item->sentAt &&
                          now - item->sentAt > kMaxQueueTime &&
                          item->rebalanceMoves < kMaxRebalanceMoves;
    if (!isQueued) {
      continue;
    }
    const auto* idle = instances_.findWithFreeSlot(requirementsOf(*item), item->triedInstances,
                                                   node_.random(), now);
    if (idle != nullptr) {
      ++item->rebalanceMoves;
      moveTo(key, *item, idle->record.id, "full");
    }
  }
}

void ItemRunner::moveStalledItems(base::TimePoint now) {
  for (const auto& [key, item] : m_items) {
    if (!jobs::isStalled(runStateOf(*item, now))) {
      continue;
    }
    const auto* idle =
        instances_.findWithFreeSlot(requirementsOf(*item), {item->instance}, node_.random(), now);
    if (idle != nullptr) {
      ++item->rebalanceMoves;
      moveTo(key, *item, idle->record.id, "stalled");
    }
  }
}

void ItemRunner::recordTerminationTimes(const directory::DirectoryView& view, base::TimePoint now) {
  for (const std::string& id : view.removed) {
    m_terminationTimes.erase(id);
  }
  std::map<std::string, base::TimePoint> reported;
  for (const directory::InstanceView& instance : view.instances) {
    const base::Duration timeToTermination = instance.record.timeToTermination;
    if (timeToTermination > base::Duration{0}) {
      reported.emplace(instance.record.id, now + timeToTermination);
    }
  }
  if (view.isFull) {
    std::erase_if(m_terminationTimes,
                  [&](const auto& entry) { return !reported.contains(entry.first); });
  }
  // merge() keeps existing entries: the earliest record of a termination time is the most accurate.
  m_terminationTimes.merge(reported);
}

void ItemRunner::moveFromDrainingEngines(base::TimePoint now) {
  if (m_terminationTimes.empty()) {
    return;
  }
  for (const auto& [key, item] : m_items) {
    const auto termination = m_terminationTimes.find(item->instance);
    if (termination == m_terminationTimes.end() || !item->exchange.valid()) {
      continue;
    }
    const double eventsProduced = static_cast<double>(item->run.lastEvent().value_or(0)) -
                                  static_cast<double>(item->eventsAtLeaseStart);
    const auto* entry = instances_.find(item->instance);
    jobs::TerminatingRun run;
    run.timeToShutdown = termination->second - now;
    run.remainingEvents = std::max(0.0, item->run.leased().remainingEvents - eventsProduced);
    run.eventInterval = entry == nullptr
                            ? base::Duration{0}
                            : base::Duration(static_cast<base::Duration::rep>(
                                  entry->eventIntervalMs * base::milliseconds(1).count()));
    if (!jobs::mustMove(run)) {
      continue;
    }
    const auto* idle =
        instances_.findWithFreeSlot(requirementsOf(*item), {item->instance}, node_.random(), now);
    moveTo(key, *item, idle == nullptr ? std::string() : idle->record.id, "leaving");
  }
}

void ItemRunner::moveTo(const jobs::ItemKey& key, ActiveItem& item, const std::string& instance,
                        std::string_view reason) {
  node_.metrics().count(CounterId::kItemsMoved, reason);
  telemetry::logEvent(EventId::kItemMoved, EventFields()
                                               .add("job", key.job)
                                               .add("item", item.run.leased().item.id)
                                               .add("from", item.instance)
                                               .add("to", instance)
                                               .add("reason", reason)
                                               .add("events", item.run.lastEvent().value_or(0))
                                               .text());
  cancelAttempt(item);
  item.triedInstances.insert(item.instance);
  item.nextInstance = instance;
  retryLater(item, base::Duration{0});
}

void ItemRunner::updateGauges(telemetry::Metrics& metrics) const {
  const auto waiting = std::count_if(m_items.begin(), m_items.end(), [](const auto& entry) {
    return entry.second->outcome.has_value();
  });
  metrics.set(telemetry::GaugeId::kItemsRunning, static_cast<double>(m_items.size()));
  metrics.set(telemetry::GaugeId::kResultsWaiting, static_cast<double>(waiting));
  constexpr double kMicrosPerSecond = 1e6;
  metrics.set(telemetry::GaugeId::kTickLateness,
              static_cast<double>(m_eventLoopLag.average().count()) / kMicrosPerSecond);
  metrics.set(telemetry::GaugeId::kScoringCalls, static_cast<double>(m_scoringClient.size()));
}

}  // namespace tackpick::node
