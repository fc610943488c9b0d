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
  /// Minimum interval between two decreases. Overload within it decreases the limit only once.
  base::Duration decreaseInterval = base::milliseconds(60);
};

/// Limits the number of concurrent calls by additive increase, multiplicative decrease (AIMD). The
/// limit decreases while servers are overloaded, because queued requests delay callers.
/// Deterministic.
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
