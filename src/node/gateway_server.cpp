#include "node/gateway_server.h"

#include <algorithm>
#include <utility>

#include "base/release_memory.h"
#include "edge/timeout_responses.h"
#include "http/status.h"
#include "jobs/request_label.h"
#include "node/node.h"
#include "runtime/server_limits.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

using namespace http::status;

/// Timeout of calls to the ledgers, in addition to the caller's long-poll time.
constexpr base::Duration kLedgerCallTimeout = base::milliseconds(2500);
/// Time during which new connections still arrive after this gateway has reported not ready.
constexpr base::Duration kReadinessDelay = base::milliseconds(2500);
/// Time before the end of a planned stop at which the leases of unfinished items are returned.
/// Partial texts are saved first, so that other gateways can continue the items.
constexpr base::Duration kLeaseReleaseTime = base::milliseconds(700);

/// Time at the end of a planned stop in which callers receive the responses to requests that are
/// still running.
constexpr base::Duration kResponseFlushTime = base::milliseconds(300);

/// Additional timeout of a submission for the transfer of its items.
base::Duration transferTime(const jobs::JobRequest& request) {
  constexpr std::size_t kMinBytesPerSecond = 8U << 20U;
  const auto* submission = std::get_if<jobs::SubmitJob>(&request);
  const std::size_t bytes = submission == nullptr ? 0 : jobs::memoryOfItems(submission->job);
  return base::seconds(1) * bytes / kMinBytesPerSecond;
}

forwarding::InstanceTableSettings instanceSettings(const Node& node) {
  forwarding::InstanceTableSettings settings;
  settings.zone = node.settings().zone;
  settings.gateway = node.settings().name;
  return settings;
}

/// Value of Retry-After in seconds. Equals the maximum duration of a watch: a connected gateway
/// receives the latest configuration within this time.
constexpr const char* kRetryAfterSeconds = "0.5";

/// Responds that the request was not run and may be retried, because this gateway has no memory for
/// it, no configuration, or an outdated one.
void respondRetryLater(http::Exchange& exchange) {
  http::HeaderList headers;
  headers.add("Retry-After", kRetryAfterSeconds);
  exchange.respond(kUnavailable, headers, {});
}

http::ExchangeLimits toExchangeLimits(const directory::RequestLimits& limits,
                                      const config::ResourceLimits& process) {
  http::ExchangeLimits exchange = runtime::serverLimits(process);
  exchange.maxHeaderBytes = limits.headerBytes;
  exchange.maxBodyBytes = limits.bodyBytes;
  exchange.headerTimeout = limits.headerTimeout;
  exchange.idleTimeout = limits.idleTimeout;
  return exchange;
}

}  // namespace

GatewayServer::GatewayServer(Node& node)
    : node_(node),
      configuration_(std::make_unique<directory::Configuration>()),
      instances_(instanceSettings(node)),
      m_rejectionPolicy(node.settings().maxConfigurationLag),
      usage_(node),
      m_quarantineClient(node),
      forwarder_(node, instances_, usage_, m_quarantineClient),
      ledgers_(node),
      result_reader_(ledgers_, ledgers_, node.clock()),
      m_itemRunner(node, instances_, routes_, ledgers_, m_quarantineClient),
      m_requestServer(
          node.context(), node.settings().traffic.host, node.settings().traffic.port,
          runtime::serverLimits(node.settings().limits),
          [this](http::RawRequest request, const std::shared_ptr<http::Exchange>& exchange) {
            onRequest(std::move(request), exchange);
          }),
      m_readinessServer(
          node.context(), node.settings().readiness.host, node.settings().readiness.port,
          runtime::probeServerLimits(node.settings().limits),
          [this](const http::RawRequest&, const std::shared_ptr<http::Exchange>& exchange) {
            onReadiness(exchange);
          }) {
  node_.clusterMember().setRecentWorkSource(
      [this] { return m_itemRunner.demand().recent(node_.now()); });
}

void GatewayServer::onView(const directory::DirectoryView& view) {
  usage_.onView(view);
  m_quarantineClient.onView(view);
  if (view.isFull) {
    instances_.replaceAll(view.instances);
  } else {
    instances_.applyChanges(view.instances, view.removed);
  }
  m_itemRunner.onView(view);
}

void GatewayServer::onConfiguration(const directory::Configuration& newest) {
  // Requests in flight hold copies of their routes, so the old configuration can be destroyed.
  configuration_ = std::make_unique<directory::Configuration>(newest);
  routes_ = directory::RouteTable(*configuration_);
  tenants_ = tenancy::TenantTable(configuration_->tenants);
  m_requestServer.setLimits(toExchangeLimits(configuration_->limits, node_.settings().limits));
  telemetry::logEvent(telemetry::EventId::kConfigurationInForce,
                      "version=" + std::to_string(configuration_->version));
}

void GatewayServer::onReadiness(const std::shared_ptr<http::Exchange>& exchange) const {
  exchange->respond(ready() ? kOk : kUnavailable, {}, {});
}

void GatewayServer::onRequest(http::RawRequest request,
                              const std::shared_ptr<http::Exchange>& exchange) {
  if (configuration_->version == 0) {
    respondRetryLater(*exchange);
    return;
  }
  const directory::Route* route = routes_.find(request.headers.value("Host"), request.target);
  const bool isBatch = route != nullptr && route->kind == directory::RouteKind::kBatch;
  // The items and the messages that submit them take twice as much as the text, which is freed once
  // it is parsed.
  if (isBatch && !exchange->reserveMemory(request.body.size())) {
    node_.metrics().count(telemetry::CounterId::kClientsShed,
                          toString(http::ShedReason::kNoMemory));
    respondRetryLater(*exchange);
    return;
  }
  edge::GatewayCall call = node_.apiAdapter().gatewayCall(request, route);
  if (route == nullptr && std::holds_alternative<edge::ForwardCall>(call)) {
    rejectUnknown(kNotFound, exchange);
    return;
  }
  const std::optional<std::string> tenant = authenticate(request, route, exchange);
  if (!tenant) {
    return;
  }
  if (auto* job = std::get_if<edge::JobCall>(&call)) {
    base::releaseMemory(request.body);
    handleJobCall(std::move(job->request), *tenant, exchange);
  } else if (std::holds_alternative<edge::MalformedCall>(call)) {
    exchange->respond(kBadRequest, {}, {});
  } else {
    std::erase_if(request.headers.fields(),
                  [&](const http::HeaderField& field) { return isTenantHeader(field.name); });
    forwarder_.forward(std::move(request), exchange, *route, *tenant);
  }
}

void GatewayServer::rejectUnknown(int status, const std::shared_ptr<http::Exchange>& exchange) {
  const std::optional<base::TimePoint> confirmedAt =
      node_.clusterMember().configurationConfirmedAt();
  const bool final =
      m_rejectionPolicy.classify(confirmedAt, node_.now()) == directory::RejectionKind::kPermanent;
  const int responseStatus = final ? status : kUnavailable;
  const auto age = confirmedAt ? std::optional(node_.now() - *confirmedAt) : std::nullopt;
  m_rejectionLog.log(responseStatus, configuration_->version, age, node_.now());
  node_.metrics().count(telemetry::CounterId::kRequestsAnswered, std::to_string(responseStatus));
  if (final) {
    exchange->respond(status, {}, {});
  } else {
    respondRetryLater(*exchange);
  }
}

std::optional<std::string> GatewayServer::authenticate(
    const http::RawRequest& request, const directory::Route* route,
    const std::shared_ptr<http::Exchange>& exchange) {
  const bool keyRequired = route == nullptr || !route->open;
  const tenancy::TenantTable::AccessDecision authResult =
      tenants_.authorize(node_.apiAdapter().apiKey(request.headers), keyRequired);
  if (authResult.allowed) {
    return authResult.tenant;
  }
  rejectUnknown(kUnauthorized, exchange);
  return std::nullopt;
}

bool GatewayServer::isTenantHeader(std::string_view name) const {
  const edge::HeaderNames& names = node_.apiAdapter().headers();
  return tenants_.hasTenants() && (http::equalsHeaderName(name, names.credential) ||
                                   http::equalsHeaderName(name, names.tenant));
}

void GatewayServer::handleJobCall(jobs::JobRequest request, const std::string& tenant,
                                  const std::shared_ptr<http::Exchange>& exchange) {
  jobs::setTenant(request, tenant);
  if (auto* submission = std::get_if<jobs::SubmitJob>(&request)) {
    submission->job.configurationVersion = configuration_->version;
    for (jobs::Item& item : submission->job.items) {
      std::erase_if(item.headers, [&](const auto& field) { return isTenantHeader(field.first); });
    }
  }
  callLedgers(request, exchange);
}

void GatewayServer::callLedgers(const jobs::JobRequest& request,
                                const std::shared_ptr<http::Exchange>& exchange) {
  const base::TimePoint startedAt = node_.now();
  const auto onReply = [this, outline = jobs::outlineOf(request), exchange,
                        startedAt](const jobs::JobReply* reply) {
    edge::Response response = jobResponse(outline, reply);
    const std::size_t bytes = response.body.size();
    if (bytes > 0 && !m_requestServer.hasRoomForResponse(bytes)) {
      // Responses that are not read by then are aborted, so this one may fit later.
      response = edge::controlTimeoutResponse();
      response.headers.add("Retry-After", kRetryAfterSeconds);
    }
    exchange->respond(response.status, response.headers, response.body);
    recordJobReply(outline, reply, response, node_.now() - startedAt);
  };
  if (const auto* read = std::get_if<jobs::ReadJob>(&request)) {
    result_reader_.read(*read, kLedgerCallTimeout + read->maxWait, onReply);
  } else {
    ledgers_.call(request, kLedgerCallTimeout + transferTime(request), startedAt, onReply);
  }
}

edge::Response GatewayServer::jobResponse(const jobs::JobRequest& request,
                                          const jobs::JobReply* reply) const {
  if (reply == nullptr) {
    return edge::jobTimeoutResponse(request);
  }
  if (reply->status == jobs::JobStatus::kOverloaded) {
    return edge::jobOverloadedResponse(*reply);
  }
  return node_.apiAdapter().jobResponse(request, *reply);
}

void GatewayServer::recordJobReply(const jobs::JobRequest& request, const jobs::JobReply* reply,
                                   const edge::Response& response, base::Duration took) {
  const jobs::RequestLabel name = jobs::labelOf(request);
  node_.metrics().count(telemetry::CounterId::kLedgerCalls,
                        std::string(name.call) + "_" + std::to_string(response.status));
  const auto* read = std::get_if<jobs::ReadJob>(&request);
  if (read == nullptr) {
    node_.metrics().observe(telemetry::HistogramId::kLedgerCallTime, took);
  }
  telemetry::EventFields detail;
  detail.add("job", name.job).add("call", name.call);
  detail.add("status", static_cast<std::uint64_t>(response.status)).add("took_ms", took);
  if (reply == nullptr) {
    telemetry::logEvent(telemetry::EventId::kJobCallUnanswered, detail.text());
  } else if (const auto* submission = std::get_if<jobs::SubmitJob>(&request)) {
    detail.add("items", submission->job.items.size()).add("model", submission->job.model);
    detail.add("minimum_version", submission->job.minimumVersion);
    detail.add("wanted_groups", std::uint64_t{submission->job.requiredGroups});
    telemetry::logEvent(telemetry::EventId::kJobSubmitted, detail.text());
  } else if (std::holds_alternative<jobs::EndJob>(request)) {
    telemetry::logEvent(telemetry::EventId::kJobEnded, detail.text());
  }
}

void GatewayServer::updateGauges(telemetry::Metrics& metrics) const {
  std::map<std::string, double> states = {
      {"ready", 0}, {"leaving", 0}, {"loading", 0}, {"avoided", 0}, {"reserve", 0}};
  for (const auto& [id, entry] : instances_.entries()) {
    if (entry.record.draining || entry.isRemoved) {
      ++states["leaving"];
    } else if (entry.loading) {
      ++states["loading"];
    } else if (entry.standby) {
      ++states["reserve"];
    } else {
      ++states[node_.now() < entry.ejectedUntil ? "avoided" : "ready"];
    }
  }
  for (const auto& [state, count] : states) {
    metrics.set(telemetry::GaugeId::kInstances, state, count);
  }
  metrics.set(telemetry::GaugeId::kOpenExchanges,
              static_cast<double>(m_requestServer.openExchanges()));
  metrics.set(telemetry::GaugeId::kUnreadBytes,
              static_cast<double>(m_requestServer.unreadResponses().bytes));
  m_itemRunner.updateGauges(metrics);
}

void GatewayServer::beginStop() {
  stopping_ = true;
  m_stopStartedAt = node_.now();
  m_itemRunner.beginStop();
}

void GatewayServer::tick() {
  m_itemRunner.tick();
  usage_.tick();
  m_quarantineClient.tick();
  logSlowReaders();
  m_requestLoadReporter.report(m_requestServer.load(), node_.metrics(), node_.now());
  m_readinessLoadReporter.report(m_readinessServer.load(), node_.metrics(), node_.now());
  if (!stopping_) {
    return;
  }
  const base::Duration sinceStop = node_.now() - m_stopStartedAt;
  if (!draining_ && sinceStop > kReadinessDelay) {
    // The platform no longer routes callers here, and a request accepted now could be cut off by
    // the end of the stop.
    draining_ = true;
    m_requestServer.beginDrain();
  }
  if (!m_leasesReleased && sinceStop > maxStop() - kLeaseReleaseTime) {
    m_leasesReleased = true;
    m_itemRunner.release();
  }
  if (!m_exchangesEnded && sinceStop > maxStop()) {
    // Without a response, callers could not tell that their requests may have run.
    m_exchangesEnded = true;
    m_requestServer.endExchanges(kGatewayTimeout);
  }
}

void GatewayServer::logSlowReaders() {
  const http::UnreadResponses unread = m_requestServer.unreadResponses();
  for (; m_loggedDisconnects < unread.disconnectCount; ++m_loggedDisconnects) {
    node_.metrics().count(telemetry::CounterId::kSlowReaders, "cut");
    if (const auto times = m_slowReaderLogLimiter.shouldLog(node_.now())) {
      telemetry::logEvent(
          telemetry::EventId::kSlowReaderCut,
          telemetry::EventFields().add("times", *times).add("unread_bytes", unread.bytes).text());
    }
  }
}

base::Duration GatewayServer::maxStop() const {
  constexpr int kStopDenominator = 6;
  constexpr int kStopNumerator = 5;
  return node_.settings().gracePeriod * kStopNumerator / kStopDenominator;
}

bool GatewayServer::stopComplete() const {
  const base::Duration sinceStop = node_.now() - m_stopStartedAt;
  const bool allWritten =
      m_requestServer.openExchanges() == 0 && m_requestServer.unreadResponses().bytes == 0;
  const bool allIdle = allWritten && m_itemRunner.idle() && usage_.isReported();
  return sinceStop > maxStop() + kResponseFlushTime || (draining_ && allIdle);
}

}  // namespace tackpick::node
