/// \file
/// ItemRunner: runs that are broken off or go on elsewhere.
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

/// An attempt without a byte for so long is broken off and continued elsewhere.
constexpr base::Duration kSilenceLimit = base::milliseconds(2500);
/// Events over which the pace of an engine is noted.
constexpr std::uint32_t kEventsPerSample = 6;
/// An item that has run for so long may be one of the few that run very long: moving it pays.
constexpr base::Duration kLongRun = base::milliseconds(900);
/// Without a byte for so long after it was sent, an item waits for a place.
constexpr base::Duration kQueueLimit = base::milliseconds(500);
constexpr std::uint32_t kMaxQueueMoves = 3;

}  // namespace

void ItemRunner::cutSilent(base::TimePoint now) {
  for (const auto& [key, item] : items_) {
    // An engine that has started again knows nothing of its runs: to wait for their silence would
    // cost the whole limit where its end was not seen, as behind a cut.
    const bool ended = instances_.hasRestarted(item->instance);
    const bool over = now - item->lastByteAt > kSilenceLimit || ended;
    if (item->exchange.valid() && (item->unusable || over)) {
      node_.upstream().cancel(item->exchange);
      item->exchange = {};
      if (ended) {
        onBroken(*item);
      }
      onAttemptFailed(key, *item,
                      item->unusable ? AttemptOutcome::kAbandoned : AttemptOutcome::kFailed, {});
    }
  }
}

void ItemRunner::recordEventInterval(Running& item, base::TimePoint now) {
  item.pace.onEvent(now);
  if (item.intervalStart == base::TimePoint{}) {
    item.intervalStart = now;  // the first event also waited for its prompt
    return;
  }
  if (++item.intervalEvents < kEventsPerSample) {
    return;
  }
  instances_.onEventInterval(item.instance, (now - item.intervalStart) / item.intervalEvents, now);
  item.intervalStart = now;
  item.intervalEvents = 0;
}

bool ItemRunner::isLong(const Running& item) const {
  constexpr double kLongFactor = 1.5;
  return item.moves > 0 || item.run.leased().item.expectedTokens > kLongFactor * typical_tokens_;
}

jobs::RunForecast ItemRunner::forecastOf(const Running& item, base::TimePoint now) {
  const jobs::LeasedItem& leased = item.run.leased();
  const std::uint64_t events = item.run.lastEvent().value_or(0);
  const std::uint64_t atLease = leased.progress ? leased.progress->point.event : 0;
  jobs::RunForecast forecast;
  forecast.eventIntervalMs = item.pace.sustainedMs(now).value_or(0);
  forecast.remainingEvents =
      jobs::remainingEventsOf(leased.remainingEvents, events - std::min(atLease, events), events);
  forecast.moves = item.moves;
  if (leased.timeUntilDue != base::Duration::max()) {
    forecast.timeUntilDue = leased.timeUntilDue - (now - item.leasedAt);
  }
  return forecast;
}

const forwarding::InstanceEntry* ItemRunner::findFaster(const Running& item,
                                                        base::TimePoint now) const {
  const jobs::RunForecast forecast = forecastOf(item, now);
  const forwarding::InstanceRequirements need = requirementsOf(item);
  if (!forecast.isKnown()) {
    const bool ranLong = now - item.firstSentAt > kLongRun;
    return ranLong ? instances_.findFaster(need, item.instance, jobs::kMinMoveSpeedup,
                                           node_.random(), now)
                   : nullptr;
  }
  const std::optional<double> maxEventIntervalMs = jobs::maxEventIntervalToMoveTo(forecast);
  return maxEventIntervalMs ? instances_.findWithinInterval(
                                  need, item.instance, *maxEventIntervalMs, node_.random(), now)
                            : nullptr;
}

void ItemRunner::moveFromSlow(base::TimePoint now) {
  for (const auto& [key, item] : items_) {
    const bool mayMove = item->exchange.valid() && !item->trial &&
                         item->intervalStart != base::TimePoint{} &&
                         item->moves < jobs::kMaxMovesToFaster;
    const auto* faster = mayMove ? findFaster(*item, now) : nullptr;
    if (faster != nullptr) {
      ++item->moves;
      moveTo(key, *item, faster->record.id, "slow");
    }
  }
}

void ItemRunner::moveFromQueues(base::TimePoint now) {
  for (const auto& [key, item] : items_) {
    const bool waits = item->exchange.valid() && !item->trial && item->lastByteAt == item->sentAt &&
                       now - item->sentAt > kQueueLimit && item->queueMoves < kMaxQueueMoves;
    if (!waits) {
      continue;
    }
    const auto* idle = instances_.findIdle(requirementsOf(*item), item->tried, node_.random(), now);
    if (idle != nullptr) {
      ++item->queueMoves;
      moveTo(key, *item, idle->record.id, "full");
    }
  }
}

void ItemRunner::moveFromStalls(base::TimePoint now) {
  for (const auto& [key, item] : items_) {
    if (item->trial || !jobs::isStalled(runStateOf(*item, now))) {
      continue;
    }
    const auto* idle =
        instances_.findIdle(requirementsOf(*item), {item->instance}, node_.random(), now);
    if (idle != nullptr) {
      ++item->queueMoves;
      moveTo(key, *item, idle->record.id, "stalled");
    }
  }
}

void ItemRunner::recordDraining(const directory::DirectoryView& view, base::TimePoint now) {
  for (const std::string& id : view.removed) {
    m_terminationTimes.erase(id);
  }
  std::map<std::string, base::TimePoint> told;
  for (const directory::InstanceView& instance : view.instances) {
    const base::Duration timeToTermination = instance.record.timeToTermination;
    if (timeToTermination > base::Duration{0}) {
      told.emplace(instance.record.id, now + timeToTermination);
    }
  }
  // What was noted first is nearest to when it was said.
  if (view.isFull) {
    std::erase_if(m_terminationTimes,
                  [&](const auto& entry) { return !told.contains(entry.first); });
  }
  m_terminationTimes.merge(told);
}

void ItemRunner::moveFromDraining(base::TimePoint now) {
  if (m_terminationTimes.empty()) {
    return;
  }
  for (const auto& [key, item] : items_) {
    const auto ending = m_terminationTimes.find(item->instance);
    if (ending == m_terminationTimes.end() || !item->exchange.valid() || item->trial) {
      continue;
    }
    const double made = static_cast<double>(item->run.lastEvent().value_or(0)) -
                        static_cast<double>(item->eventsAtLease);
    const auto* entry = instances_.find(item->instance);
    jobs::TerminatingRun run;
    run.timeToShutdown = ending->second - now;
    run.remainingEvents = std::max(0.0, item->run.leased().remainingEvents - made);
    run.eventInterval = entry == nullptr
                            ? base::Duration{0}
                            : base::Duration(static_cast<base::Duration::rep>(
                                  entry->eventIntervalMs * base::milliseconds(1).count()));
    if (!jobs::mustMove(run)) {
      continue;
    }
    const auto* idle =
        instances_.findIdle(requirementsOf(*item), {item->instance}, node_.random(), now);
    moveTo(key, *item, idle == nullptr ? std::string() : idle->record.id, "leaving");
  }
}

void ItemRunner::moveTo(const jobs::ItemKey& key, Running& item, const std::string& instance,
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
  item.tried.insert(item.instance);
  item.next = instance;
  retryLater(item, base::Duration{0});
}

void ItemRunner::reportFigures(telemetry::Metrics& metrics) const {
  const auto waiting = std::count_if(items_.begin(), items_.end(), [](const auto& entry) {
    return entry.second->outcome.has_value();
  });
  metrics.set(telemetry::GaugeId::kItemsRunning, static_cast<double>(items_.size()));
  metrics.set(telemetry::GaugeId::kResultsWaiting, static_cast<double>(waiting));
  constexpr double kMicrosPerSecond = 1e6;
  metrics.set(telemetry::GaugeId::kTickLateness,
              static_cast<double>(m_lateness.average().count()) / kMicrosPerSecond);
  metrics.set(telemetry::GaugeId::kScoringCalls, static_cast<double>(scores_.size()));
}

}  // namespace tackpick::node
