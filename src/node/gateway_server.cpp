#include "node/gateway_server.h"

#include <algorithm>
#include <utility>

#include "edge/timeout_responses.h"
#include "http/status.h"
#include "jobs/request_label.h"
#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

using namespace http::status;

/// For calls to the ledgers, beyond the time that the caller wants to be held.
constexpr base::Duration kLedgerDeadline = base::milliseconds(2500);
/// New connections come for so long after this gateway said that it is not ready.
constexpr base::Duration kUnreadyNotice = base::milliseconds(2500);
/// Before the end of a stop, items still running are given back with the texts they have, so that
/// others continue them at once.
constexpr base::Duration kReleaseTime = base::milliseconds(700);

forwarding::InstanceTableSettings instanceSettings(const Node& node) {
  forwarding::InstanceTableSettings settings;
  settings.zone = node.settings().zone;
  settings.gateway = node.settings().name;
  return settings;
}

/// A gateway in touch with the controllers hears of a change within a watch, which lasts so long.
constexpr const char* kNextWatchSeconds = "0.5";

/// Not run: this gateway lacks a configuration, or one that is new enough.
void respondLater(http::Exchange& exchange) {
  http::HeaderList headers;
  headers.add("Retry-After", kNextWatchSeconds);
  exchange.respond(kUnavailable, headers, {});
}

/// Of the process's memory, for answers that callers have not read yet.
constexpr std::size_t kMemoryPerUnread = 8;

http::ExchangeLimits toExchangeLimits(const directory::CallerLimits& limits,
                                      const config::ResourceLimits& process) {
  constexpr unsigned kMegabyteBits = 20;
  http::ExchangeLimits exchange;
  if (process.memoryMb) {
    const auto memory = static_cast<std::size_t>(*process.memoryMb) << kMegabyteBits;
    exchange.maxTotalUnsentBytes = memory / kMemoryPerUnread;
  }
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
      m_refusalPolicy(node.settings().maxConfigurationLag),
      usage_(node),
      m_guard(node),
      forwarder_(node, instances_, usage_, m_guard),
      ledgers_(node),
      result_reader_(ledgers_, ledgers_, node.clock()),
      items_(node, instances_, routes_, ledgers_, m_guard),
      traffic_(node.context(), node.settings().traffic.host, node.settings().traffic.port, {},
               [this](http::RawRequest request, const std::shared_ptr<http::Exchange>& exchange) {
                 onRequest(std::move(request), exchange);
               }),
      readiness_(node.context(), node.settings().readiness.host, node.settings().readiness.port, {},
                 [this](const http::RawRequest&, const std::shared_ptr<http::Exchange>& exchange) {
                   onReadiness(exchange);
                 }) {
  node_.member().setRecentWorkSource([this] { return items_.demand().recent(node_.now()); });
}

void GatewayServer::onView(const directory::DirectoryView& view) {
  usage_.onView(view);
  m_guard.onView(view);
  if (view.isFull) {
    instances_.update(view.instances);
  } else {
    instances_.change(view.instances, view.removed);
  }
  items_.onView(view);
}

void GatewayServer::onConfiguration(const directory::Configuration& newest) {
  // Routes in use are copied by those that use them, so the old configuration may go.
  configuration_ = std::make_unique<directory::Configuration>(newest);
  routes_ = directory::RouteTable(*configuration_);
  tenants_ = tenancy::TenantTable(configuration_->tenants);
  traffic_.setLimits(toExchangeLimits(configuration_->limits, node_.settings().limits));
  telemetry::logEvent(telemetry::EventId::kConfigurationInForce,
                      "version=" + std::to_string(configuration_->version));
}

void GatewayServer::onReadiness(const std::shared_ptr<http::Exchange>& exchange) const {
  exchange->respond(ready() ? kOk : kUnavailable, {}, {});
}

void GatewayServer::onRequest(http::RawRequest request,
                              const std::shared_ptr<http::Exchange>& exchange) {
  if (configuration_->version == 0) {
    respondLater(*exchange);
    return;
  }
  const directory::Route* route = routes_.find(request.headers.value("Host"), request.target);
  edge::GatewayCall call = node_.apiAdapter().gatewayCall(request, route);
  if (route == nullptr && std::holds_alternative<edge::ForwardCall>(call)) {
    refuseUnknown(kNotFound, exchange);
    return;
  }
  const std::optional<std::string> tenant = identifyTenant(request, route, exchange);
  if (!tenant) {
    return;
  }
  if (auto* job = std::get_if<edge::JobCall>(&call)) {
    takeJobCall(std::move(job->request), *tenant, exchange);
  } else if (std::holds_alternative<edge::MalformedCall>(call)) {
    exchange->respond(kBadRequest, {}, {});
  } else {
    std::erase_if(request.headers.fields(),
                  [&](const http::HeaderField& field) { return isTenantField(field.name); });
    forwarder_.forward(std::move(request), exchange, *route, *tenant);
  }
}

void GatewayServer::refuseUnknown(int status, const std::shared_ptr<http::Exchange>& exchange) {
  const std::optional<base::TimePoint> confirmedAt = node_.member().confirmedAt();
  const bool final =
      m_refusalPolicy.judge(confirmedAt, node_.now()) == directory::RejectionKind::kFinal;
  const int answered = final ? status : kUnavailable;
  const auto age = confirmedAt ? std::optional(node_.now() - *confirmedAt) : std::nullopt;
  m_refusals.note(answered, configuration_->version, age, node_.now());
  node_.metrics().count(telemetry::CounterId::kRequestsAnswered, std::to_string(answered));
  if (final) {
    exchange->respond(status, {}, {});
  } else {
    respondLater(*exchange);
  }
}

std::optional<std::string> GatewayServer::identifyTenant(
    const http::RawRequest& request, const directory::Route* route,
    const std::shared_ptr<http::Exchange>& exchange) {
  const bool keyRequired = route == nullptr || !route->open;
  const tenancy::TenantTable::Verdict verdict =
      tenants_.judge(node_.apiAdapter().apiKey(request.headers), keyRequired);
  if (verdict.allowed) {
    return verdict.tenant;
  }
  refuseUnknown(kUnauthorized, exchange);
  return std::nullopt;
}

bool GatewayServer::isTenantField(std::string_view name) const {
  const edge::HeaderNames& names = node_.apiAdapter().headers();
  return tenants_.hasTenants() && (http::equalsHeaderName(name, names.credential) ||
                                   http::equalsHeaderName(name, names.tenant));
}

void GatewayServer::takeJobCall(jobs::JobRequest request, const std::string& tenant,
                                const std::shared_ptr<http::Exchange>& exchange) {
  jobs::setTenant(request, tenant);
  if (auto* submission = std::get_if<jobs::SubmitJob>(&request)) {
    for (jobs::Item& item : submission->job.items) {
      std::erase_if(item.headers, [&](const auto& field) { return isTenantField(field.first); });
    }
  }
  callLedgers(request, exchange);
}

void GatewayServer::callLedgers(const jobs::JobRequest& request,
                                const std::shared_ptr<http::Exchange>& exchange) {
  const base::TimePoint begun = node_.now();
  const auto onReply = [this, request, exchange, begun](const jobs::JobReply* reply) {
    const edge::Response answer = reply == nullptr
                                      ? edge::jobTimeoutResponse(request)
                                      : node_.apiAdapter().jobResponse(request, *reply);
    exchange->respond(answer.status, answer.headers, answer.body);
    onJobReply(request, reply, answer, node_.now() - begun);
  };
  if (const auto* read = std::get_if<jobs::ReadJob>(&request)) {
    result_reader_.read(*read, kLedgerDeadline + read->hold, onReply);
  } else {
    ledgers_.call(request, kLedgerDeadline, begun, onReply);
  }
}

void GatewayServer::onJobReply(const jobs::JobRequest& request, const jobs::JobReply* reply,
                               const edge::Response& answer, base::Duration took) {
  const jobs::RequestLabel name = jobs::labelOf(request);
  node_.metrics().count(telemetry::CounterId::kLedgerCalls,
                        std::string(name.call) + "_" + std::to_string(answer.status));
  const auto* read = std::get_if<jobs::ReadJob>(&request);
  if (read == nullptr) {
    node_.metrics().observe(telemetry::HistogramId::kLedgerCallTime, took);
  }
  telemetry::EventFields detail;
  detail.add("job", name.job).add("call", name.call);
  detail.add("status", static_cast<std::uint64_t>(answer.status)).add("took_ms", took);
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

void GatewayServer::reportFigures(telemetry::Metrics& metrics) const {
  std::map<std::string, double> states = {
      {"ready", 0}, {"leaving", 0}, {"loading", 0}, {"avoided", 0}, {"reserve", 0}};
  for (const auto& [id, entry] : instances_.entries()) {
    if (entry.record.draining || entry.gone) {
      ++states["leaving"];
    } else if (entry.loading) {
      ++states["loading"];
    } else if (entry.standby) {
      ++states["reserve"];
    } else {
      ++states[node_.now() < entry.avoidUntil ? "avoided" : "ready"];
    }
  }
  for (const auto& [state, count] : states) {
    metrics.set(telemetry::GaugeId::kInstances, state, count);
  }
  metrics.set(telemetry::GaugeId::kOpenExchanges, static_cast<double>(traffic_.openExchanges()));
  metrics.set(telemetry::GaugeId::kUnreadBytes,
              static_cast<double>(traffic_.unreadResponses().bytes));
  items_.reportFigures(metrics);
}

void GatewayServer::beginStop() {
  stopping_ = true;
  stop_begun_ = node_.now();
  items_.beginStop();
}

void GatewayServer::tick() {
  items_.tick();
  usage_.tick();
  m_guard.tick();
  logSlowReaders();
  if (!stopping_) {
    return;
  }
  const base::Duration stopped = node_.now() - stop_begun_;
  if (!draining_ && stopped > kUnreadyNotice) {
    // Whoever still comes is not sent by the platform any more. What would be taken now could be
    // cut by the end of the stop.
    draining_ = true;
    traffic_.beginDrain();
  }
  if (!released_ && stopped > maxStop() - kReleaseTime) {
    released_ = true;
    items_.release();
  }
}

void GatewayServer::logSlowReaders() {
  const http::UnreadResponses unread = traffic_.unreadResponses();
  for (; m_toldCuts < unread.disconnectCount; ++m_toldCuts) {
    node_.metrics().count(telemetry::CounterId::kSlowReaders, "cut");
    if (const auto times = m_cutReaders.shouldLog(node_.now())) {
      telemetry::logEvent(
          telemetry::EventId::kSlowReaderCut,
          telemetry::EventFields().add("times", *times).add("unread_bytes", unread.bytes).text());
    }
  }
}

base::Duration GatewayServer::maxStop() const {
  constexpr int kSixths = 6;
  constexpr int kUsedSixths = 5;
  return node_.settings().gracePeriod * kUsedSixths / kSixths;
}

bool GatewayServer::stopComplete() const {
  const base::Duration stopped = node_.now() - stop_begun_;
  const bool quiet = traffic_.openExchanges() == 0 && items_.idle() && usage_.isTold();
  return stopped > maxStop() || (draining_ && quiet);
}

}  // namespace tackpick::node
