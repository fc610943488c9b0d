/// \file
/// Metrics and log events about what a listener holds, rejects and closes.
#pragma once

#include <array>
#include <string>

#include "http/exchange_server.h"
#include "telemetry/log_rate_limiter.h"

namespace tackpick::telemetry {
class Metrics;
}  // namespace tackpick::telemetry

namespace tackpick::node {

/// Reports the load of one listener. Owned by the event loop.
class ServerLoadReporter {
 public:
  /// `listener` is the listener's name in metrics and logs.
  explicit ServerLoadReporter(std::string listener) : m_listener(std::move(listener)) {}

  /// Sets the gauges, counts what was rejected or closed since the last call and logs it at most
  /// once per second.
  void report(const http::ServerLoad& load, telemetry::Metrics& metrics, base::TimePoint now);

 private:
  const std::string m_listener;
  std::array<std::uint64_t, http::kShedReasons> m_reported{};
  telemetry::LogRateLimiter m_logLimiter{base::seconds(1)};
};

}  // namespace tackpick::node
