/// \file
/// Limits the concurrent low-priority calls of a gateway at a service.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace tackpick::forwarding {

/// Settings of ConcurrencyLimiter.
struct ConcurrencyLimiterSettings {
  double initialLimit = 4;
  double minLimit = 1;
  double maxLimit = 32;
  /// Minimum interval between two decreases: responses within it report the same burst.
  base::Duration decreaseInterval = base::milliseconds(60);
};

/// Additive increase, multiplicative decrease (AIMD) of the number of concurrent calls, by the load
/// that servers report: requests that queue there delay callers. Deterministic.
class ConcurrencyLimiter {
 public:
  explicit ConcurrencyLimiter(ConcurrencyLimiterSettings settings = {})
      : m_settings(settings), m_limit(settings.initialLimit) {}

  [[nodiscard]] bool hasFreeSlot() const { return m_running < static_cast<std::uint32_t>(m_limit); }
  [[nodiscard]] double limit() const { return m_limit; }
  void onSent() { ++m_running; }
  /// Records the end of a call. `overloaded`: requests queue at its server, or the server rejected
  /// it.
  void onEnded(bool overloaded, base::TimePoint now);

 private:
  const ConcurrencyLimiterSettings m_settings;
  double m_limit;
  std::uint32_t m_running = 0;
  base::TimePoint m_lastDecreaseAt{};
};

}  // namespace tackpick::forwarding
