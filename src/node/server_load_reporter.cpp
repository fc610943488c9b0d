#include "node/server_load_reporter.h"

#include <utility>

#include "telemetry/log.h"
#include "telemetry/metric.h"

namespace tackpick::node {

void ServerLoadReporter::report(const http::ServerLoad& load, telemetry::Metrics& metrics,
                                base::TimePoint now) {
  using telemetry::GaugeId;
  metrics.set(GaugeId::kRequestBytes, m_listener, static_cast<double>(load.requestBytes));
  metrics.set(GaugeId::kUnfinishedBytes, m_listener, static_cast<double>(load.unfinishedBytes));
  metrics.set(GaugeId::kClientConnections, m_listener, static_cast<double>(load.connections));
  for (std::size_t i = 0; i < load.shed.size(); ++i) {
    const std::uint64_t added = load.shed[i] - std::exchange(m_reported[i], load.shed[i]);
    if (added == 0) {
      continue;
    }
    const std::string_view reason = toString(static_cast<http::ShedReason>(i));
    metrics.count(telemetry::CounterId::kClientsShed, reason, added);
    if (m_logLimiter.shouldLog(now)) {
      telemetry::logEvent(telemetry::EventId::kClientsShed,
                          telemetry::EventFields()
                              .add("listener", m_listener)
                              .add("reason", reason)
                              .add("total", load.shed[i])
                              .add("request_bytes", load.requestBytes)
                              .add("unfinished_bytes", load.unfinishedBytes)
                              .add("connections", load.connections)
                              .text());
    }
  }
}

}  // namespace tackpick::node
