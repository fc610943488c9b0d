/// \file
/// Serves a process's figures to scrapers.
#pragma once

#include <cstdint>
#include <memory>

#include "http/exchange_server.h"

namespace tackpick::node {

class Node;

/// Figures that other modules count themselves are read when a scraper asks.
class MetricsServer {
 public:
  explicit MetricsServer(Node& node);

 private:
  /// What was told last of figures that are counted elsewhere.
  struct Told {
    std::uint64_t connections = 0;
    std::uint64_t mismatchedResponses = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t droppedLines = 0;
  };

  void onRequest(const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange);
  void refresh();

  Node& m_node;
  Told m_told;
  http::ExchangeServer m_server;
};

}  // namespace tackpick::node
