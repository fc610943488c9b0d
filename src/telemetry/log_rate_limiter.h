/// \file
/// Rate limit for log lines that are caused by other processes.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace tackpick::telemetry {

/// Allows at most one log line per interval and counts the occurrences since the last one.
class LogRateLimiter {
 public:
  explicit LogRateLimiter(base::Duration interval) : m_interval(interval) {}

  /// Counts one occurrence. Returns the number of occurrences since the last logged line if a line
  /// may be logged now, std::nullopt otherwise.
  [[nodiscard]] std::optional<std::uint64_t> shouldLog(base::TimePoint now) {
    ++m_suppressed;
    if (m_lastLoggedAt && now - *m_lastLoggedAt < m_interval) {
      return std::nullopt;
    }
    const std::uint64_t count = m_suppressed;
    m_lastLoggedAt = now;
    m_suppressed = 0;
    return count;
  }

 private:
  const base::Duration m_interval;
  std::optional<base::TimePoint> m_lastLoggedAt;
  std::uint64_t m_suppressed = 0;
};

}  // namespace tackpick::telemetry
