#include "node/metrics_server.h"

#include <utility>

#include "http/status.h"
#include "node/node.h"
#include "runtime/server_limits.h"
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
          node.context(), node.settings().metrics.host, node.settings().metrics.port,
          runtime::probeServerLimits(node.settings().limits),
          [this](const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange) {
            onRequest(request, exchange);
          }) {}

void MetricsServer::onRequest(const http::RawRequest& request,
                              const std::shared_ptr<http::Exchange>& exchange) {
  if (request.method != "GET" || request.path() != kMetricsPath) {
    exchange->respond(http::status::kNotFound, {}, {});
    return;
  }
  updateMetrics();
  m_node.updateGauges();
  m_loadReporter.report(m_server.load(), m_node.metrics(), m_node.now());
  http::HeaderList headers;
  headers.add("Content-Type", "text/plain; version=0.0.4");
  exchange->respond(http::status::kOk, headers, m_node.metrics().render());
}

void MetricsServer::updateMetrics() {
  telemetry::PrometheusMetrics& metrics = m_node.metrics();
  const auto addDelta = [&](CounterId id, std::uint64_t& reported, std::uint64_t value) {
    metrics.count(id, {}, value - std::exchange(reported, value));
  };
  const http::UpstreamCounters& upstream = m_node.upstream().counters();
  addDelta(CounterId::kConnectionsOpened, m_reportedCounters.connections,
           upstream.connectionsOpened);
  addDelta(CounterId::kForeignAnswers, m_reportedCounters.mismatchedResponses,
           upstream.mismatchedResponses);
  addDelta(CounterId::kInternalBytesSent, m_reportedCounters.bytesSent,
           m_node.network().bytesSent());
  addDelta(CounterId::kInternalBytesReceived, m_reportedCounters.bytesReceived,
           m_node.network().bytesReceived());
  addDelta(CounterId::kLogLinesDropped, m_reportedCounters.droppedLines,
           telemetry::logCounters().droppedLines);
  const cluster::ClusterMember& clusterMember = m_node.clusterMember();
  metrics.set(GaugeId::kConfigurationVersion,
              static_cast<double>(clusterMember.configuration().version));
  if (const auto lastContactAt = clusterMember.lastContactAt()) {
    metrics.set(GaugeId::kControllersHeardAge, base::toSeconds(m_node.now() - *lastContactAt));
  }
  if (const auto confirmedAt = clusterMember.configurationConfirmedAt()) {
    metrics.set(GaugeId::kConfigurationAge, base::toSeconds(m_node.now() - *confirmedAt));
  }
  for (const auto& [model, version] : clusterMember.view().publishedVersions) {
    metrics.set(GaugeId::kPublishedVersion, model, static_cast<double>(version));
  }
}

}  // namespace tackpick::node
