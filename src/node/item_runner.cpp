#include "node/item_runner.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "http/status.h"
#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

using namespace http::status;

using forwarding::SendOutcome;

constexpr base::Duration kLeaseInterval = base::milliseconds(80);
constexpr base::Duration kIdleLeaseInterval = base::milliseconds(160);
constexpr base::Duration kCallDeadline = base::seconds(2);
constexpr base::Duration kCommitDeadline = base::seconds(30);
/// Without a renewal for so long nothing new is sent: its job may have ended.
constexpr base::Duration kLeaseTrust = base::milliseconds(2000);
constexpr base::Duration kRetryDelay = base::milliseconds(40);
/// An attempt without a byte for so long is broken off and continued elsewhere.
constexpr base::Duration kSilenceLimit = base::milliseconds(2500);
/// Events over which the pace of an engine is noted.
constexpr std::uint32_t kPaceEvents = 6;
/// An item that has run for so long may be one of the few that run very long: moving it pays.
constexpr base::Duration kLongRun = base::milliseconds(900);
constexpr double kMoveGain = 1.25;
constexpr std::uint32_t kMostMoves = 4;
/// Items beyond the engines' places that may wait at them, in percent.
constexpr std::uint32_t kOvercommitPercent = 110;

std::uint64_t parseVersion(const std::string& text) {
  std::uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

}  // namespace

void ItemRunner::onView(const directory::DirectoryView& view) {
  gateways_ = std::max(view.gateways, 1U);
  engine_models_.clear();
  for (const directory::Service& service : node_.member().configuration().services) {
    for (const std::string& model : service.models) {
      engine_models_[service.name].insert(model);
    }
  }
}

void ItemRunner::tick() {
  const base::TimePoint now = node_.now();
  cutSilent(now);
  moveFromSlow(now);
  startAttempts(now);
  commit(now);
  if (!released_) {
    progress_.tick(now);
  }
  const bool idleNow = items_.empty();
  if (!released_ && !leasing_ &&
      now - lease_at_ >= (idleNow ? kIdleLeaseInterval : kLeaseInterval)) {
    lease(now);
  }
}

jobs::EngineRoom ItemRunner::wantedItems() const {
  if (stopping_) {
    return {};
  }
  jobs::EngineRoom wanted = instances_.engineRoom(engine_models_);
  wanted.share(gateways_, kOvercommitPercent);
  for (const auto& [key, item] : items_) {
    if (!item->finished) {
      wanted.occupy(item->run.leased().model, item->run.leased().minimumVersion);
    }
  }
  return wanted;
}

void ItemRunner::lease(base::TimePoint now) {
  if (node_.member().view().ledgers.empty()) {
    return;
  }
  jobs::LeaseItems request;
  request.wanted = wantedItems();
  request.leaving = released_;
  for (const auto& [key, item] : items_) {
    request.held.push_back(key);
  }
  leasing_ = true;
  lease_at_ = now;
  ledgers_.call(jobs::JobRequest{request}, kCallDeadline, now,
                [this, now](const jobs::JobReply* reply) {
                  leasing_ = false;
                  if (reply != nullptr) {
                    renewed_at_ = now;
                    onLeased(*reply);
                  }
                });
}

jobs::ProgressSaver::Runs ItemRunner::unfinishedRuns() const {
  jobs::ProgressSaver::Runs runs;
  for (const auto& [key, item] : items_) {
    if (!item->finished) {
      runs.emplace(key, &item->run);
    }
  }
  return runs;
}

void ItemRunner::release() {
  stopping_ = true;
  released_ = true;
  for (const auto& [key, item] : items_) {
    cancelAttempt(*item);
  }
  progress_.saveAll(node_.now(), [this] { giveBack(); });
}

void ItemRunner::giveBack() {
  std::erase_if(items_, [](const auto& entry) { return !entry.second->finished; });
  lease(node_.now());
}

void ItemRunner::onLeased(const jobs::JobReply& reply) {
  for (const jobs::ItemKey& key : reply.revoked) {
    const auto found = items_.find(key);
    if (found != items_.end() && !found->second->finished) {
      cancelAttempt(*found->second);
      items_.erase(found);
    }
  }
  const base::TimePoint now = node_.now();
  for (const jobs::LeasedItem& leased : reply.leased) {
    if (items_.contains(leased.key)) {
      continue;
    }
    auto item = std::make_unique<Running>(leased, node_.dialect().headers().weightsField);
    item->leasedAt = now;
    constexpr double kWeight = 0.02;
    typical_tokens_ += kWeight * (leased.item.expectedTokens - typical_tokens_);
    items_.emplace(leased.key, std::move(item));
  }
  startAttempts(now);
}

void ItemRunner::startAttempts(base::TimePoint now) {
  if (released_ || now - renewed_at_ > kLeaseTrust) {
    return;
  }
  for (const auto& [key, item] : items_) {
    if (!item->finished && !item->exchange.valid() && now >= item->notBefore) {
      startAttempt(key, *item, now);
    }
  }
}

void ItemRunner::startAttempt(const jobs::ItemKey& key, Running& item, base::TimePoint now) {
  const jobs::LeasedItem& leased = item.run.leased();
  const directory::Route* route = routes_.find(leased.host, leased.item.path);
  if (route == nullptr || item.run.outOfTime(now - item.leasedAt)) {
    finishItem(key, item, item.run.terminated());
    return;
  }
  item.service = directory::drawService(*route, node_.random());
  const forwarding::InstanceNeed need{item.service, leased.model, leased.minimumVersion,
                                      isLong(item)};
  const auto* entry = instances_.select(need, item.tried, node_.random(), now);
  if (entry == nullptr) {
    retryLater(item, kRetryDelay);
    return;
  }
  if (item.tried.contains(entry->record.id)) {
    item.tried.clear();
  }
  http::UpstreamRequest request = node_.dialect().itemRequest(leased, item.run.lastEvent());
  const edge::HeaderNames& names = node_.dialect().headers();
  request.address = {entry->record.host, entry->record.port};
  request.headers.set(names.expectedInstance, entry->record.id);
  request.echoName = names.requestId;
  request.echoValue = leased.item.id;
  item.tried.insert(entry->record.id);
  item.instance = entry->record.id;
  item.sentAt = now;
  item.firstSentAt = item.attempts == 0 ? now : item.firstSentAt;
  ++item.attempts;
  item.lastByteAt = now;
  item.status = 0;
  item.notExecuted = false;
  item.unusable = false;
  item.parser = jobs::StreamEventParser(names.weightsField);
  item.paceSince = {};
  item.paceEvents = 0;
  instances_.onSent(item.instance);
  http::UpstreamEvents events;
  events.onHead = [this, key](int status, const http::HeaderList& headers) {
    onHead(key, status, headers);
  };
  events.onData = [this, key](std::string_view data) { onData(key, data); };
  events.onEnd = [this, key](const http::UpstreamEnd& end) { onEnd(key, end); };
  item.exchange = node_.upstream().start(std::move(request), std::move(events));
}

void ItemRunner::onHead(const jobs::ItemKey& key, int status, const http::HeaderList& headers) {
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return;
  }
  Running& item = *found->second;
  const edge::HeaderNames& names = node_.dialect().headers();
  item.status = status;
  item.lastByteAt = node_.now();
  item.notExecuted = headers.has(names.notExecuted);
  if (const auto load = node_.dialect().load(headers.value(names.load))) {
    instances_.onLoad(item.instance, *load, node_.now());
  }
  const std::string version = headers.value(names.weightsVersion);
  if (!version.empty()) {
    instances_.onVersion(item.instance, item.run.leased().model, parseVersion(version));
  }
  if (status == kOk && !item.run.onHead(parseVersion(version))) {
    item.unusable = true;
  }
}

void ItemRunner::onData(const jobs::ItemKey& key, std::string_view data) {
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return;
  }
  Running& item = *found->second;
  item.lastByteAt = node_.now();
  if (item.status != kOk || item.unusable) {
    return;
  }
  item.parser.feed(data);
  while (const auto event = item.parser.next()) {
    if (!item.run.onEvent(*event)) {
      item.unusable = true;
      return;
    }
    demand_.add(item.run.leased().model, 1.0, item.lastByteAt);
    notePace(item, item.lastByteAt);
  }
}

void ItemRunner::onEnd(const jobs::ItemKey& key, const http::UpstreamEnd& end) {
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return;
  }
  Running& item = *found->second;
  item.exchange = {};
  const base::TimePoint now = node_.now();
  const auto ended = [&](SendOutcome outcome) {
    instances_.onEnded(item.instance, outcome, now - item.sentAt, now);
  };
  if (!end.complete) {
    ended(end.verdict == base::Verdict::kNotRun ? SendOutcome::kUnreached : SendOutcome::kFailed);
    retryLater(item, base::Duration{0});
  } else if (item.status == kMisdirected) {
    ended(SendOutcome::kGone);
    retryLater(item, base::Duration{0});
  } else if (item.notExecuted) {
    ended(SendOutcome::kFull);
    retryLater(item, kRetryDelay);
  } else {
    ended(item.status == kOk ? SendOutcome::kServed : SendOutcome::kFailed);
    onWholeAnswer(key, item);
  }
}

void ItemRunner::onWholeAnswer(const jobs::ItemKey& key, Running& item) {
  if (item.status == kOk) {
    const bool whole = !item.unusable && !item.parser.hasRest() && item.run.lastEvent();
    if (whole) {
      finishItem(key, item, item.run.completed());
    } else {
      retryLater(item, kRetryDelay);
    }
  } else if (item.status == kUnprocessable ||
             (item.status == kServerError && item.run.onFailure())) {
    finishItem(key, item, item.run.terminated());
  } else {
    retryLater(item, kRetryDelay);
  }
}

void ItemRunner::retryLater(Running& item, base::Duration delay) {
  item.notBefore = node_.now() + delay;
}

void ItemRunner::cancelAttempt(Running& item) {
  if (item.exchange.valid()) {
    node_.upstream().cancel(item.exchange);
    item.exchange = {};
    instances_.onEnded(item.instance, SendOutcome::kAbandoned, base::Duration{0}, node_.now());
  }
}

void ItemRunner::cutSilent(base::TimePoint now) {
  for (const auto& [key, item] : items_) {
    if (item->exchange.valid() && (item->unusable || now - item->lastByteAt > kSilenceLimit)) {
      node_.upstream().cancel(item->exchange);
      item->exchange = {};
      instances_.onEnded(item->instance,
                         item->unusable ? SendOutcome::kAbandoned : SendOutcome::kFailed,
                         now - item->sentAt, now);
    }
  }
}

void ItemRunner::notePace(Running& item, base::TimePoint now) {
  if (item.paceSince == base::TimePoint{}) {
    item.paceSince = now;  // the first event also waited for its prompt
    return;
  }
  if (++item.paceEvents < kPaceEvents) {
    return;
  }
  instances_.onPace(item.instance, (now - item.paceSince) / item.paceEvents);
  item.paceSince = now;
  item.paceEvents = 0;
}

bool ItemRunner::isLong(const Running& item) const {
  constexpr double kLongFactor = 1.5;
  return item.moves > 0 || item.run.leased().item.expectedTokens > kLongFactor * typical_tokens_;
}

void ItemRunner::moveFromSlow(base::TimePoint now) {
  for (const auto& [key, item] : items_) {
    const bool mayMove = item->exchange.valid() && item->paceSince != base::TimePoint{} &&
                         item->moves < kMostMoves && now - item->firstSentAt > kLongRun;
    if (!mayMove) {
      continue;
    }
    const jobs::LeasedItem& leased = item->run.leased();
    const forwarding::InstanceNeed need{item->service, leased.model, leased.minimumVersion, true};
    const auto* faster = instances_.findFaster(need, item->instance, kMoveGain, now);
    if (faster == nullptr) {
      continue;
    }
    telemetry::logEvent(telemetry::EventId::kItemMoved,
                        "job=" + key.job + " item=" + leased.item.id + " from=" + item->instance +
                            " to=" + faster->record.id);
    ++item->moves;
    cancelAttempt(*item);
    item->tried.insert(item->instance);
    retryLater(*item, base::Duration{0});
  }
}

void ItemRunner::finishItem(const jobs::ItemKey& key, Running& item, jobs::ItemResult result) {
  item.finished = true;
  if (result.state == jobs::ItemState::kTerminated) {
    telemetry::logEvent(telemetry::EventId::kItemGivenUp,
                        "job=" + key.job + " item=" + item.run.leased().item.id +
                            " status=" + std::to_string(item.status));
  } else {
    const auto millis = [](base::Duration time) {
      return std::to_string(static_cast<int>(base::toMilliseconds(time)));
    };
    const base::TimePoint now = node_.now();
    telemetry::logEvent(
        telemetry::EventId::kItemFinished,
        "job=" + key.job + " item=" + item.run.leased().item.id + " instance=" + item.instance +
            " lease_age_ms=" + millis(item.run.leased().age) + " wait_ms=" +
            millis(item.firstSentAt - item.leasedAt) + " run_ms=" + millis(now - item.firstSentAt) +
            " last_ms=" + millis(now - item.sentAt) + " attempts=" + std::to_string(item.attempts) +
            " events=" + std::to_string(item.run.lastEvent().value_or(0)) +
            " hint=" + std::to_string(item.run.leased().item.expectedTokens));
  }
  results_[key.job].push_back(std::move(result));
}

void ItemRunner::commit(base::TimePoint now) {
  if (committing_ || results_.empty()) {
    return;
  }
  jobs::CommitResults request;
  for (auto& [job, results] : std::exchange(results_, {})) {
    request.jobs.push_back({job, std::move(results)});
  }
  committing_ = true;
  ledgers_.call(jobs::JobRequest{request}, kCommitDeadline, now,
                [this, request](const jobs::JobReply* reply) {
                  committing_ = false;
                  for (const jobs::JobResults& job : request.jobs) {
                    for (const jobs::ItemResult& result : job.results) {
                      if (reply != nullptr) {
                        items_.erase({job.job, result.item});
                      } else {
                        results_[job.job].push_back(result);
                      }
                    }
                  }
                });
}

}  // namespace tackpick::node
