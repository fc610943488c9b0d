/// \file
/// Hosting platform's scaling API, served in the test's process.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http/exchange_server.h"

namespace tackpick::test {

/// Records scaling calls without starting any instance.
class FakeScalePlatform {
 public:
  struct Call {
    std::string holder;
    std::uint64_t fence = 0;
    std::string zone;
    std::uint32_t count = 0;
  };

  FakeScalePlatform();
  ~FakeScalePlatform();
  FakeScalePlatform(const FakeScalePlatform&) = delete;
  FakeScalePlatform& operator=(const FakeScalePlatform&) = delete;

  /// Sets whether scaling calls are left without a response.
  void setUnresponsive(bool unresponsive);
  [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
  [[nodiscard]] std::vector<Call> calls() const;

 private:
  void handleRequest(const http::RawRequest& request,
                     const std::shared_ptr<http::Exchange>& exchange);

  mutable std::mutex m_mutex;
  bool m_unresponsive = false;
  std::vector<Call> m_calls;
  std::vector<std::shared_ptr<http::Exchange>> m_pendingExchanges;
  asio::io_context m_context;
  http::ExchangeServer m_server;
  std::thread m_thread;
};

}  // namespace tackpick::test
