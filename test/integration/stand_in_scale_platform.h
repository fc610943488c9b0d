/// \file
/// A platform that takes calls which set numbers of instances.
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

/// Starts nothing: it only takes note.
class StandInScalePlatform {
 public:
  struct Call {
    std::string holder;
    std::uint64_t fence = 0;
    std::string zone;
    std::uint32_t count = 0;
  };

  StandInScalePlatform();
  ~StandInScalePlatform();
  StandInScalePlatform(const StandInScalePlatform&) = delete;
  StandInScalePlatform& operator=(const StandInScalePlatform&) = delete;

  /// Gives no answer from now on, or answers again.
  void setUnresponsive(bool unresponsive);
  [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
  [[nodiscard]] std::vector<Call> calls() const;

 private:
  void answer(const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange);

  mutable std::mutex m_mutex;
  bool m_unresponsive = false;
  std::vector<Call> m_calls;
  std::vector<std::shared_ptr<http::Exchange>> m_unanswered;
  asio::io_context m_context;
  http::ExchangeServer m_server;
  std::thread m_thread;
};

}  // namespace tackpick::test
