#include "node/item_runner.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "directory/incarnation.h"
#include "http/status.h"
#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

using namespace http::status;

using forwarding::AttemptOutcome;
using telemetry::CounterId;
using telemetry::EventFields;
using telemetry::EventId;

constexpr base::Duration kLeaseInterval = base::milliseconds(80);
constexpr base::Duration kIdleLeaseInterval = base::milliseconds(160);
/// The ledgers' leader answers the calls of all gateways: with many of them each calls less often,
/// but often enough for a new leader to hear in time what runs where.
constexpr base::Duration kLeaseIntervalPerGateway = base::microseconds(2800);
constexpr base::Duration kMaxLeaseInterval = base::milliseconds(220);
/// Of a gateway that stands by: others run the items of its zone.
constexpr base::Duration kStandbyInterval = base::milliseconds(1000);
constexpr base::Duration kCallDeadline = base::seconds(2);
/// Without a renewal for so long nothing new is sent: its job may have ended.
constexpr base::Duration kLeaseTrust = base::milliseconds(2000);
constexpr base::Duration kRetryDelay = base::milliseconds(40);
/// How often a held item asks whether it may run again.
constexpr base::Duration kHeldDelay = base::milliseconds(100);
/// How often the ledgers are told how fast engines are.
constexpr base::Duration kEventIntervalRefresh = base::milliseconds(500);
/// A gateway takes up to this share of its part of all slots, in percent: some items may wait at
/// engines, and a zone's engines may have fewer gateways than their share, as when one is down.
constexpr std::uint32_t kOvercommitPercent = 220;

std::uint64_t parseVersion(const std::string& text) {
  std::uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

}  // namespace

void ItemRunner::onView(const directory::DirectoryView& view) {
  recordDraining(view, node_.now());
  if (!m_activeGatewaysKnown) {
    m_activeGateways = std::max(view.gateways, 1U);
  }
  engine_models_.clear();
  for (const directory::Service& service : node_.member().configuration().services) {
    for (const std::string& model : service.models) {
      engine_models_[service.name].insert(model);
    }
  }
}

void ItemRunner::tick() {
  const base::TimePoint now = node_.now();
  m_lateness.onTick(now);
  cutSilent(now);
  moveFromSlow(now);
  moveFromQueues(now);
  moveFromStalls(now);
  moveFromDraining(now);
  startAttempts(now);
  startScoring(now);
  commit(now);
  if (!released_) {
    progress_.tick(now);
  }
  if (!released_ && !leasing_ && now - lease_at_ >= leaseInterval()) {
    lease(now);
  }
}

base::Duration ItemRunner::leaseInterval() const {
  if (standby_ && items_.empty()) {
    return kStandbyInterval;
  }
  const base::Duration shared =
      std::min(kMaxLeaseInterval, kLeaseIntervalPerGateway * static_cast<int>(m_activeGateways));
  return std::max(shared, items_.empty() ? kIdleLeaseInterval : kLeaseInterval);
}

jobs::FreeSlots ItemRunner::wantedItems() const {
  if (stopping_) {
    return {};
  }
  jobs::FreeSlots wanted = instances_.freeSlots(engine_models_);
  wanted.share(m_activeGateways, kOvercommitPercent);
  for (const auto& [key, item] : items_) {
    if (needsEngine(*item)) {
      wanted.occupy(item->run.leased().model, item->run.leased().minimumVersion);
    }
  }
  return wanted;
}

jobs::GatewayCapacity ItemRunner::capacity() const {
  const config::ResourceLimits& limits = node_.settings().limits;
  jobs::GatewayCapacity capacity;
  capacity.cpuCores = limits.cpuCores();
  capacity.memoryMb = limits.memoryMb.value_or(0);
  capacity.fileDescriptors = limits.fileDescriptors.value_or(0);
  capacity.linkMbps = limits.networkMbps.value_or(0);
  capacity.eventLoopLag = m_lateness.average();
  for (const auto& [key, item] : items_) {
    capacity.bufferedTextBytes += item->run.textBytes();
  }
  return capacity;
}

void ItemRunner::lease(base::TimePoint now) {
  if (node_.member().view().ledgers.empty()) {
    return;
  }
  jobs::LeaseItems request;
  request.wanted = wantedItems();
  request.draining = released_;
  request.zone = node_.settings().zone;
  request.capacity = capacity();
  for (const auto& [key, item] : items_) {
    request.held.push_back({key, item->exchange.valid() ? item->instance : item->next});
  }
  if (now - m_lastIntervalReportAt >= kEventIntervalRefresh) {
    m_lastIntervalReportAt = now;
    request.eventIntervals = instances_.eventIntervals(now);
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

jobs::ProgressSaver::Runs ItemRunner::runs() const {
  jobs::ProgressSaver::Runs runs;
  for (const auto& [key, item] : items_) {
    runs.emplace(key, &item->run);
  }
  return runs;
}

void ItemRunner::release() {
  stopping_ = true;
  released_ = true;
  for (const auto& [key, item] : items_) {
    cancelAttempt(*item);
    scores_.cancel(key);
  }
  progress_.saveAll(node_.now(), [this] { giveBack(); });
}

void ItemRunner::giveBack() {
  const std::size_t released =
      std::erase_if(items_, [](const auto& entry) { return !entry.second->outcome; });
  telemetry::logEvent(EventId::kItemsReleased, EventFields().add("items", released).text());
  lease(node_.now());
}

void ItemRunner::onLeased(const jobs::JobReply& reply) {
  for (const jobs::ItemKey& key : reply.revoked) {
    const auto found = items_.find(key);
    if (found != items_.end() && !found->second->outcome) {
      cancelAttempt(*found->second);
      scores_.cancel(key);
      items_.erase(found);
    }
  }
  standby_ = reply.standby;
  if (reply.activeGateways > 0) {
    m_activeGateways = reply.activeGateways;
    m_activeGatewaysKnown = true;
  }
  const base::TimePoint now = node_.now();
  if (reply.wantsEventIntervals && !instances_.eventIntervals(now).empty()) {
    m_lastIntervalReportAt = {};
    lease_at_ = {};  // at once: a new leader places by them from its first plan on
  }
  noteLeased(reply.leased);
  for (const auto& [engine, items] : reply.itemsByEngine) {
    instances_.onSharedLoad(engine, items, now);
  }
  for (const jobs::LeasedItem& leased : reply.leased) {
    if (items_.contains(leased.key)) {
      continue;
    }
    auto item = std::make_unique<Running>(leased, node_.apiAdapter().headers().weightsField);
    item->leasedAt = now;
    item->next = leased.engine;
    item->whole = item->run.isTextComplete();
    constexpr double kWeight = 0.02;
    typical_tokens_ += kWeight * (leased.item.expectedTokens - typical_tokens_);
    items_.emplace(leased.key, std::move(item));
  }
  startAttempts(now);
}

void ItemRunner::noteLeased(const std::vector<jobs::LeasedItem>& leased) {
  std::map<std::string, std::uint64_t> items;
  std::map<std::string, std::uint64_t> continued;
  for (const jobs::LeasedItem& item : leased) {
    ++items[item.key.job];
    continued[item.key.job] += item.progress ? 1 : 0;
  }
  for (const auto& [job, count] : items) {
    telemetry::logEvent(
        EventId::kItemLeased,
        EventFields().add("job", job).add("items", count).add("continued", continued[job]).text());
  }
}

bool ItemRunner::mayStart(base::TimePoint now) const {
  return !released_ && now - renewed_at_ <= kLeaseTrust;
}

void ItemRunner::startAttempts(base::TimePoint now) {
  if (!mayStart(now)) {
    return;
  }
  for (const auto& [key, item] : items_) {
    if (needsEngine(*item) && !item->exchange.valid() && now >= item->notBefore) {
      startAttempt(key, *item, now);
    }
  }
}

void ItemRunner::startAttempt(const jobs::ItemKey& key, Running& item, base::TimePoint now) {
  const jobs::LeasedItem& leased = item.run.leased();
  const directory::Route* route = routes_.find(leased.host, leased.item.path);
  if (route == nullptr || item.run.isExpired(now - item.leasedAt)) {
    finishItem(key, item, jobs::ItemState::kTerminated);
    return;
  }
  if (!admit(item)) {
    retryLater(item, kHeldDelay);
    return;
  }
  item.service = directory::pickService(*route, node_.random());
  const forwarding::InstanceEntry* entry = chooseInstance(item, now);
  if (entry == nullptr) {
    retryLater(item, kRetryDelay);
    return;
  }
  if (item.tried.contains(entry->record.id)) {
    item.tried.clear();
  }
  http::UpstreamRequest request = node_.apiAdapter().itemRequest(leased, item.run.lastEvent());
  const edge::HeaderNames& names = node_.apiAdapter().headers();
  request.address = {entry->record.host, entry->record.port};
  request.headers.set(names.expectedInstance, directory::instanceName(entry->record.id));
  request.headers.set(names.urgency, std::to_string(jobs::urgencyOf(runStateOf(item, now))));
  request.echoHeader = names.requestId;
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
  item.intervalStart = {};
  item.intervalEvents = 0;
  item.pace = {};
  instances_.onSent(item.instance);
  http::UpstreamEvents events;
  events.onHead = [this, key](int status, const http::HeaderList& headers) {
    onHead(key, status, headers);
  };
  events.onData = [this, key](std::string_view data) { onData(key, data); };
  events.onEnd = [this, key](const http::UpstreamResult& end) { onEnd(key, end); };
  item.exchange = node_.upstream().start(std::move(request), std::move(events));
}

jobs::RunState ItemRunner::runStateOf(const Running& item, base::TimePoint now) const {
  jobs::RunState state;
  state.expectedLong = isLong(item);
  state.moved = item.moves > 0;
  state.events = item.run.lastEvent().value_or(0);
  state.begun = item.exchange.valid() && item.intervalStart != base::TimePoint{};
  state.silence = now - item.lastByteAt;
  state.moves = item.queueMoves;
  return state;
}

forwarding::InstanceRequirements ItemRunner::requirementsOf(const Running& item) const {
  const jobs::LeasedItem& leased = item.run.leased();
  return {item.service, leased.model, leased.minimumVersion, isLong(item), item.trial};
}

const forwarding::InstanceEntry* ItemRunner::chooseInstance(Running& item, base::TimePoint now) {
  const forwarding::InstanceRequirements need = requirementsOf(item);
  const std::string next = std::exchange(item.next, {});
  if (!next.empty() && !item.trial && instances_.isUsable(next, need, now)) {
    return instances_.find(next);
  }
  return instances_.select(need, item.tried, node_.random(), now);
}

void ItemRunner::onHead(const jobs::ItemKey& key, int status, const http::HeaderList& headers) {
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return;
  }
  Running& item = *found->second;
  const edge::HeaderNames& names = node_.apiAdapter().headers();
  item.status = status;
  item.lastByteAt = node_.now();
  item.notExecuted = headers.has(names.notExecuted);
  m_guard.onAnswered(item.instance, item.sentAt);
  if (const auto load = node_.apiAdapter().load(headers.value(names.load))) {
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
    if (item.begunAfter == base::Duration{0}) {
      item.begunAfter = item.lastByteAt - item.firstSentAt;
    }
    recordEventInterval(item, item.lastByteAt);
  }
}

void ItemRunner::onEnd(const jobs::ItemKey& key, const http::UpstreamResult& end) {
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return;
  }
  Running& item = *found->second;
  item.exchange = {};
  const base::TimePoint now = node_.now();
  if (!end.complete) {
    const bool unreached = end.verdict == base::Verdict::kNotRun;
    if (!unreached) {
      onBroken(item);
    }
    onAttemptFailed(key, item, unreached ? AttemptOutcome::kUnreached : AttemptOutcome::kFailed,
                    {});
  } else if (item.status == kMisdirected) {
    onAttemptFailed(key, item, AttemptOutcome::kGone, {});
  } else if (item.notExecuted) {
    onAttemptFailed(key, item, AttemptOutcome::kFull, kRetryDelay);
  } else if (item.status == kOk && isTextComplete(item)) {
    instances_.onEnded(item.instance, AttemptOutcome::kServed, now - item.sentAt, now);
    node_.metrics().count(CounterId::kItemAttemptsEnded, toString(AttemptOutcome::kServed));
    if (item.fingerprint) {
      m_guard.onBorne(*item.fingerprint);
    }
    onTextComplete(key, item);
  } else {
    onAttemptFailed(key, item, AttemptOutcome::kFailed, kRetryDelay);
    if (item.status == kUnprocessable || (item.status == kServerError && item.run.onFailure())) {
      finishItem(key, item, jobs::ItemState::kTerminated);
    }
  }
}

const quarantine::RequestFingerprint& ItemRunner::fingerprintOf(Running& item) const {
  if (!item.fingerprint) {
    const jobs::LeasedItem& leased = item.run.leased();
    item.fingerprint = m_guard.fingerprint(
        {"POST", leased.host, leased.item.path, leased.tenant, leased.item.body});
  }
  return *item.fingerprint;
}

bool ItemRunner::admit(Running& item) {
  item.trial = false;
  if (m_guard.idle()) {
    return true;
  }
  const RequestGuard::RunAdmission admission = m_guard.admitRun(fingerprintOf(item));
  item.trial = admission == RequestGuard::RunAdmission::kTrial;
  return admission != RequestGuard::RunAdmission::kWait;
}

void ItemRunner::onBroken(Running& item) {
  m_guard.onBroken({fingerprintOf(item), item.service, item.instance}, item.run.leased().item.id,
                   item.sentAt);
}

bool ItemRunner::isTextComplete(const Running& item) {
  return !item.unusable && !item.parser.hasPartialEvent() && item.run.lastEvent();
}

void ItemRunner::onAttemptFailed(const jobs::ItemKey& key, Running& item, AttemptOutcome outcome,
                                 base::Duration delay) {
  const base::TimePoint now = node_.now();
  instances_.onEnded(item.instance, outcome, now - item.sentAt, now);
  node_.metrics().count(CounterId::kItemAttemptsEnded, toString(outcome));
  // Refusals for want of room are many and repeated soon: they are counted only.
  if (outcome != AttemptOutcome::kFull) {
    telemetry::logEvent(EventId::kAttemptFailed,
                        EventFields()
                            .add("job", key.job)
                            .add("item", item.run.leased().item.id)
                            .add("instance", item.instance)
                            .add("outcome", toString(outcome))
                            .add("status", static_cast<std::uint64_t>(item.status))
                            .add("events", item.run.lastEvent().value_or(0))
                            .add("after_ms", now - item.sentAt)
                            .text());
  }
  retryLater(item, delay);
}

void ItemRunner::retryLater(Running& item, base::Duration delay) {
  item.notBefore = node_.now() + delay;
}

void ItemRunner::cancelAttempt(Running& item) {
  if (item.exchange.valid()) {
    node_.upstream().cancel(item.exchange);
    item.exchange = {};
    instances_.onEnded(item.instance, AttemptOutcome::kAbandoned, base::Duration{0}, node_.now());
  }
}

}  // namespace tackpick::node
