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
/// The lease interval grows with the number of gateways to limit the load of the ledgers' leader.
/// Its maximum ensures that a new leader soon receives the placement of all running items.
constexpr base::Duration kLeaseIntervalPerGateway = base::microseconds(2800);
constexpr base::Duration kMaxLeaseInterval = base::milliseconds(220);
/// Lease interval of a gateway on standby, whose zone's items run at other gateways.
constexpr base::Duration kStandbyInterval = base::milliseconds(1000);
constexpr base::Duration kCallTimeout = base::seconds(2);
/// Maximum time since the last lease renewal at which attempts may start. If more time has passed,
/// the job may have ended.
constexpr base::Duration kMaxRenewalAge = base::milliseconds(2000);
constexpr base::Duration kRetryDelay = base::milliseconds(40);
/// Maximum size of the body of a response with an error status.
constexpr std::size_t kMaxErrorBytes = 64U << 10U;
/// Interval at which event intervals of engines are reported to the ledgers.
constexpr base::Duration kEventIntervalRefresh = base::milliseconds(500);
/// Maximum number of items of a gateway, in percent of its even share of all slots. Exceeds 100
/// because items may queue at engines and a zone may have less than its share of the gateways.
constexpr std::uint32_t kOvercommitPercent = 220;

std::uint64_t parseVersion(const std::string& text) {
  std::uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

}  // namespace

void ItemRunner::onView(const directory::DirectoryView& view) {
  recordTerminationTimes(view, node_.now());
  if (!m_activeGatewaysKnown) {
    m_activeGateways = std::max(view.gateways, 1U);
  }
  engine_models_.clear();
  for (const directory::Service& service : node_.clusterMember().configuration().services) {
    for (const std::string& model : service.models) {
      engine_models_[service.name].insert(model);
    }
  }
}

void ItemRunner::tick() {
  const base::TimePoint now = node_.now();
  m_eventLoopLag.onTick(now);
  cancelTimedOut(now);
  moveFromSlowEngines(now);
  moveQueuedItems(now);
  moveStalledItems(now);
  moveFromDrainingEngines(now);
  startAttempts(now);
  startScoring(now);
  commit(now);
  if (!m_leasesReleased) {
    progress_.tick(now);
  }
  if (!m_leasesReleased && !leasing_ && now - m_lastLeaseCallAt >= leaseInterval()) {
    lease(now);
  }
}

base::Duration ItemRunner::leaseInterval() const {
  if (standby_ && m_items.empty()) {
    return kStandbyInterval;
  }
  const base::Duration sharedInterval =
      std::min(kMaxLeaseInterval, kLeaseIntervalPerGateway * static_cast<int>(m_activeGateways));
  return std::max(sharedInterval, m_items.empty() ? kIdleLeaseInterval : kLeaseInterval);
}

jobs::FreeSlots ItemRunner::wantedItems() const {
  if (stopping_) {
    return {};
  }
  jobs::FreeSlots wanted = instances_.freeSlots(engine_models_);
  wanted.divide(m_activeGateways, kOvercommitPercent);
  for (const auto& [key, item] : m_items) {
    if (needsEngine(*item)) {
      wanted.forceTake(item->run.leased().model, item->run.leased().minimumVersion);
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
  capacity.eventLoopLag = m_eventLoopLag.average();
  for (const auto& [key, item] : m_items) {
    capacity.bufferedTextBytes += item->run.textBytes();
  }
  return capacity;
}

void ItemRunner::lease(base::TimePoint now) {
  if (node_.clusterMember().view().ledgers.empty()) {
    return;
  }
  jobs::LeaseItems request;
  request.freeSlots = wantedItems();
  request.draining = m_leasesReleased;
  request.zone = node_.settings().zone;
  request.capacity = capacity();
  request.configurationVersion = node_.clusterMember().configuration().version;
  for (const auto& [key, item] : m_items) {
    request.held.push_back({key, item->exchange.valid() ? item->instance : item->nextInstance});
  }
  if (now - m_lastIntervalReportAt >= kEventIntervalRefresh) {
    m_lastIntervalReportAt = now;
    request.eventIntervals = instances_.eventIntervals(now);
  }
  leasing_ = true;
  m_lastLeaseCallAt = now;
  ledgers_.call(jobs::JobRequest{request}, kCallTimeout, now,
                [this, now](const jobs::JobReply* reply) {
                  leasing_ = false;
                  if (reply != nullptr) {
                    m_leasesRenewedAt = now;
                    onLeased(*reply);
                  }
                });
}

jobs::ProgressSaver::Runs ItemRunner::runs() const {
  jobs::ProgressSaver::Runs runs;
  for (const auto& [key, item] : m_items) {
    runs.emplace(key, &item->run);
  }
  return runs;
}

void ItemRunner::release() {
  stopping_ = true;
  m_leasesReleased = true;
  for (const auto& [key, item] : m_items) {
    cancelAttempt(*item);
    m_scoringClient.cancel(key);
  }
  progress_.flush(node_.now(), [this] { returnLeases(); });
}

void ItemRunner::returnLeases() {
  const std::size_t released =
      std::erase_if(m_items, [](const auto& entry) { return !entry.second->outcome; });
  telemetry::logEvent(EventId::kItemsReleased, EventFields().add("items", released).text());
  lease(node_.now());
}

void ItemRunner::onLeased(const jobs::JobReply& reply) {
  for (const jobs::ItemKey& key : reply.revoked) {
    const auto found = m_items.find(key);
    if (found != m_items.end() && !found->second->outcome) {
      cancelAttempt(*found->second);
      m_scoringClient.cancel(key);
      m_items.erase(found);
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
    // Makes the next lease call immediate: a new leader needs the intervals for its first
    // placement.
    m_lastLeaseCallAt = {};
  }
  logLeased(reply.leased);
  for (const auto& [engine, items] : reply.itemsByEngine) {
    instances_.onClusterLoad(engine, items, now);
  }
  for (const jobs::LeasedItem& leased : reply.leased) {
    if (m_items.contains(leased.key)) {
      continue;
    }
    auto item =
        std::make_unique<ActiveItem>(leased, node_.apiAdapter().headers().weightsVersionField);
    item->leasedAt = now;
    item->nextInstance = leased.engine;
    item->textComplete = item->run.isTextComplete();
    constexpr double kSmoothing = 0.02;
    m_averageTokens += kSmoothing * (leased.item.expectedTokens - m_averageTokens);
    m_items.emplace(leased.key, std::move(item));
  }
  startAttempts(now);
}

void ItemRunner::logLeased(const std::vector<jobs::LeasedItem>& leased) {
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

bool ItemRunner::canStart(base::TimePoint now) const {
  return !m_leasesReleased && now - m_leasesRenewedAt <= kMaxRenewalAge;
}

void ItemRunner::startAttempts(base::TimePoint now) {
  if (!canStart(now)) {
    return;
  }
  for (const auto& [key, item] : m_items) {
    if (needsEngine(*item) && !item->exchange.valid() && now >= item->notBefore) {
      startAttempt(key, *item, now);
    }
  }
}

void ItemRunner::startAttempt(const jobs::ItemKey& key, ActiveItem& item, base::TimePoint now) {
  const jobs::LeasedItem& leased = item.run.leased();
  // Items are leased only to gateways that apply the configuration under which their job was
  // accepted, so an unknown route is one that was removed since.
  const directory::Route* route = routes_.find(leased.host, leased.item.path);
  if (route == nullptr || item.run.isExpired(now - item.leasedAt)) {
    finishItem(key, item, jobs::ItemState::kTerminated);
    return;
  }
  item.service = directory::pickService(*route, node_.random());
  const forwarding::InstanceEntry* entry = chooseInstance(item, now);
  if (entry == nullptr) {
    retryLater(item, kRetryDelay);
    return;
  }
  if (item.triedInstances.contains(entry->record.id)) {
    item.triedInstances.clear();
  }
  http::UpstreamRequest request = node_.apiAdapter().itemRequest(leased, item.run.lastEvent());
  const edge::HeaderNames& names = node_.apiAdapter().headers();
  request.address = {entry->record.host, entry->record.port};
  request.headers.set(names.expectedInstance, directory::instanceName(entry->record.id));
  request.headers.set(names.urgency, std::to_string(jobs::urgencyOf(runStateOf(item, now))));
  request.echoHeader = names.requestId;
  request.echoValue = leased.item.id;
  item.triedInstances.insert(entry->record.id);
  item.instance = entry->record.id;
  item.sentAt = now;
  item.firstSentAt = item.attempts == 0 ? now : item.firstSentAt;
  ++item.attempts;
  item.lastProgressAt = now;
  item.status = 0;
  item.notExecuted = false;
  item.discardResponse = false;
  item.responseInvalid = false;
  item.errorBytes = 0;
  item.parser = jobs::StreamEventParser(names.weightsVersionField);
  item.intervalStart = {};
  item.intervalEvents = 0;
  item.eventInterval = {};
  instances_.onSent(item.instance);
  http::UpstreamEvents events;
  events.onHead = [this, key](int status, const http::HeaderList& headers) {
    onHead(key, status, headers);
  };
  events.onData = [this, key](std::string_view data) { onData(key, data); };
  events.onEnd = [this, key](const http::UpstreamResult& end) { onEnd(key, end); };
  item.exchange = node_.upstream().start(std::move(request), std::move(events));
}

jobs::RunState ItemRunner::runStateOf(const ActiveItem& item, base::TimePoint now) const {
  jobs::RunState state;
  state.expectedLong = isLong(item);
  state.moved = item.moves > 0;
  state.events = item.run.lastEvent().value_or(0);
  state.started = item.exchange.valid() && item.intervalStart != base::TimePoint{};
  state.idleTime = now - item.lastProgressAt;
  state.moves = item.rebalanceMoves;
  return state;
}

forwarding::InstanceRequirements ItemRunner::requirementsOf(const ActiveItem& item) const {
  const jobs::LeasedItem& leased = item.run.leased();
  return {item.service, leased.model, leased.minimumVersion, isLong(item),
          item.brokenRuns.isSuspect()};
}

const forwarding::InstanceEntry* ItemRunner::chooseInstance(ActiveItem& item, base::TimePoint now) {
  const forwarding::InstanceRequirements requirements = requirementsOf(item);
  const std::string preferred = std::exchange(item.nextInstance, {});
  if (!preferred.empty() && !item.brokenRuns.isSuspect() &&
      instances_.isUsable(preferred, requirements, now)) {
    return instances_.find(preferred);
  }
  return instances_.select(requirements, item.triedInstances, node_.random(), now);
}

void ItemRunner::onHead(const jobs::ItemKey& key, int status, const http::HeaderList& headers) {
  const auto found = m_items.find(key);
  if (found == m_items.end()) {
    return;
  }
  ActiveItem& item = *found->second;
  const edge::HeaderNames& names = node_.apiAdapter().headers();
  item.status = status;
  item.lastProgressAt = node_.now();
  item.notExecuted = headers.has(names.notExecuted);
  m_quarantineClient.onAnswered(item.instance, item.sentAt);
  if (const auto load = node_.apiAdapter().load(headers.value(names.load))) {
    instances_.onLoad(item.instance, *load, node_.now());
  }
  const std::string version = headers.value(names.weightsVersion);
  if (!version.empty()) {
    instances_.onVersion(item.instance, item.run.leased().model, parseVersion(version));
  }
  if (status == kOk && !item.run.onHead(parseVersion(version))) {
    item.discardResponse = true;
  }
}

void ItemRunner::onData(const jobs::ItemKey& key, std::string_view data) {
  const auto found = m_items.find(key);
  if (found == m_items.end()) {
    return;
  }
  ActiveItem& item = *found->second;
  if (item.discardResponse) {
    return;
  }
  if (item.status != kOk) {
    item.errorBytes += data.size();
    if (item.errorBytes > kMaxErrorBytes) {
      rejectResponse(item);
    }
    return;
  }
  item.parser.feed(data);
  while (const auto event = item.parser.next()) {
    if (!addEvent(item, *event)) {
      return;
    }
  }
  if (item.parser.isMalformed()) {
    rejectResponse(item);
  }
}

bool ItemRunner::addEvent(ActiveItem& item, const jobs::StreamEvent& event) {
  item.lastProgressAt = node_.now();
  if (item.run.exceedsMaxLength(event)) {
    item.run.discardText();
    rejectResponse(item);
    return false;
  }
  if (!item.run.onEvent(event)) {
    item.discardResponse = true;
    return false;
  }
  demand_.add(item.run.leased().model, 1.0, item.lastProgressAt);
  if (item.timeToFirstEvent == base::Duration{0}) {
    item.timeToFirstEvent = item.lastProgressAt - item.firstSentAt;
  }
  recordEventInterval(item, item.lastProgressAt);
  return true;
}

void ItemRunner::rejectResponse(ActiveItem& item) {
  item.discardResponse = true;
  item.responseInvalid = true;
}

void ItemRunner::onEnd(const jobs::ItemKey& key, const http::UpstreamResult& end) {
  const auto found = m_items.find(key);
  if (found == m_items.end()) {
    return;
  }
  ActiveItem& item = *found->second;
  item.exchange = {};
  const base::TimePoint now = node_.now();
  if (!end.complete) {
    onIncomplete(key, item, end);
  } else if (item.status == kMisdirected) {
    onAttemptFailed(key, item, AttemptOutcome::kWrongInstance, {});
  } else if (item.notExecuted) {
    onAttemptFailed(key, item, AttemptOutcome::kRejected, kRetryDelay);
  } else if (item.status == kOk && isTextComplete(item)) {
    instances_.onEnded(item.instance, AttemptOutcome::kSucceeded, now - item.sentAt, now);
    node_.metrics().count(CounterId::kItemAttemptsEnded, toString(AttemptOutcome::kSucceeded));
    onTextComplete(key, item);
  } else {
    onAttemptFailed(key, item, AttemptOutcome::kFailed, kRetryDelay);
    if (item.status == kUnprocessable || (item.status == kServerError && item.run.onFailure())) {
      finishItem(key, item, jobs::ItemState::kTerminated);
    }
  }
}

void ItemRunner::onIncomplete(const jobs::ItemKey& key, ActiveItem& item,
                              const http::UpstreamResult& end) {
  if (end.verdict == base::Verdict::kNotRun) {
    onAttemptFailed(key, item, AttemptOutcome::kConnectFailed, base::Duration{0});
  } else if (end.malformed) {
    item.responseInvalid = true;
    onAttemptFailed(key, item, AttemptOutcome::kFailed, kMalformedRetryDelay);
  } else {
    item.brokenRuns.onBroken();
    onAttemptFailed(key, item, AttemptOutcome::kFailed, item.brokenRuns.delay());
  }
}

bool ItemRunner::isTextComplete(const ActiveItem& item) {
  return !item.discardResponse && !item.parser.hasPartialEvent() && item.run.lastEvent();
}

void ItemRunner::onAttemptFailed(const jobs::ItemKey& key, ActiveItem& item, AttemptOutcome outcome,
                                 base::Duration delay) {
  const base::TimePoint now = node_.now();
  instances_.onEnded(item.instance, outcome, now - item.sentAt, now);
  node_.metrics().count(CounterId::kItemAttemptsEnded, toString(outcome));
  // Rejections by full engines are frequent, so they are only counted.
  if (outcome != AttemptOutcome::kRejected) {
    telemetry::logEvent(EventId::kAttemptFailed,
                        EventFields()
                            .add("job", key.job)
                            .add("item", item.run.leased().item.id)
                            .add("instance", item.instance)
                            .add("outcome", toString(outcome))
                            .add("status", static_cast<std::uint64_t>(item.status))
                            .add("events", item.run.lastEvent().value_or(0))
                            .add("after_ms", now - item.sentAt)
                            .add("malformed", std::uint64_t{item.responseInvalid})
                            .text());
  }
  retryLater(item, delay);
}

void ItemRunner::retryLater(ActiveItem& item, base::Duration delay) {
  item.notBefore = node_.now() + delay;
}

void ItemRunner::cancelAttempt(ActiveItem& item) {
  if (item.exchange.valid()) {
    node_.upstream().cancel(item.exchange);
    item.exchange = {};
    instances_.onEnded(item.instance, AttemptOutcome::kCancelled, base::Duration{0}, node_.now());
  }
}

}  // namespace tackpick::node
