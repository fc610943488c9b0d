#include "node/metrics_server.h"

#include <utility>

#include "http/status.h"
#include "node/node.h"
#include "telemetry/log.h"

namespace tackpick::node {
namespace {

using telemetry::CounterId;
using telemetry::GaugeId;

constexpr const char* kMetricsPath = "/metrics";

}  // namespace

MetricsServer::MetricsServer(Node& node)
    : m_node(node),
      m_server(
          node.context(), node.settings().metrics.host, node.settings().metrics.port, {},
          [this](const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange) {
            onRequest(request, exchange);
          }) {}

void MetricsServer::onRequest(const http::RawRequest& request,
                              const std::shared_ptr<http::Exchange>& exchange) {
  if (request.method != "GET" || request.path() != kMetricsPath) {
    exchange->respond(http::status::kNotFound, {}, {});
    return;
  }
  refresh();
  m_node.reportFigures();
  http::HeaderList headers;
  headers.add("Content-Type", "text/plain; version=0.0.4");
  exchange->respond(http::status::kOk, headers, m_node.metrics().render());
}

void MetricsServer::refresh() {
  telemetry::PrometheusMetrics& metrics = m_node.metrics();
  const auto tell = [&](CounterId id, std::uint64_t& told, std::uint64_t value) {
    metrics.count(id, {}, value - std::exchange(told, value));
  };
  const http::UpstreamCounters& upstream = m_node.upstream().counters();
  tell(CounterId::kConnectionsOpened, m_told.connections, upstream.connectionsOpened);
  tell(CounterId::kForeignAnswers, m_told.mismatchedResponses, upstream.mismatchedResponses);
  tell(CounterId::kInternalBytesSent, m_told.bytesSent, m_node.network().bytesSent());
  tell(CounterId::kInternalBytesReceived, m_told.bytesReceived, m_node.network().bytesReceived());
  tell(CounterId::kLogLinesDropped, m_told.droppedLines, telemetry::logCounters().droppedLines);
  const cluster::ClusterMember& member = m_node.member();
  metrics.set(GaugeId::kConfigurationVersion, static_cast<double>(member.configuration().version));
  if (const auto lastContactAt = member.lastContactAt()) {
    metrics.set(GaugeId::kControllersHeardAge, base::toSeconds(m_node.now() - *lastContactAt));
  }
  if (const auto confirmedAt = member.confirmedAt()) {
    metrics.set(GaugeId::kConfigurationAge, base::toSeconds(m_node.now() - *confirmedAt));
  }
  for (const auto& [model, version] : member.view().publishedVersions) {
    metrics.set(GaugeId::kPublishedVersion, model, static_cast<double>(version));
  }
}

}  // namespace tackpick::node
