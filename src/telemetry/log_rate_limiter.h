/// \file
/// Bounds how often something is logged that others cause.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace tackpick::telemetry {

/// At most one line in an interval.
class LogRateLimiter {
 public:
  explicit LogRateLimiter(base::Duration interval) : m_interval(interval) {}

  /// It happened once more. When a line is due: how often since the last one.
  [[nodiscard]] std::optional<std::uint64_t> note(base::TimePoint now) {
    ++m_untold;
    if (m_toldAt && now - *m_toldAt < m_interval) {
      return std::nullopt;
    }
    const std::uint64_t times = m_untold;
    m_toldAt = now;
    m_untold = 0;
    return times;
  }

 private:
  const base::Duration m_interval;
  std::optional<base::TimePoint> m_toldAt;
  std::uint64_t m_untold = 0;
};

}  // namespace tackpick::telemetry
