/// \file
/// Serves a process's metrics over HTTP.
#pragma once

#include <cstdint>
#include <memory>

#include "http/exchange_server.h"
#include "node/server_load_reporter.h"

namespace tackpick::node {

class Node;

/// Responds to `GET /metrics`. Values that other modules count themselves are read on each request.
class MetricsServer {
 public:
  explicit MetricsServer(Node& node);

 private:
  /// Values of counters kept elsewhere that have been added to the metrics so far.
  struct ReportedCounters {
    std::uint64_t connections = 0;
    std::uint64_t mismatchedResponses = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t droppedLines = 0;
  };

  void onRequest(const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange);
  /// Adds the increments of counters kept elsewhere and sets the gauges of the cluster membership.
  void updateMetrics();

  Node& m_node;
  ReportedCounters m_reportedCounters;
  http::ExchangeServer m_server;
  ServerLoadReporter m_loadReporter{"metrics"};
};

}  // namespace tackpick::node
