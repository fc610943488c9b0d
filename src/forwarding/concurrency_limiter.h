/// \file
/// How many calls of lesser urgency a gateway may have at a service at once.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace tackpick::forwarding {

/// Knobs of ConcurrencyLimiter.
struct ConcurrencyLimiterSettings {
  double initial = 4;
  double least = 1;
  double most = 32;
  /// The window shrinks at most once in this time: answers under way tell of the same burst.
  base::Duration shrinkInterval = base::milliseconds(60);
};

/// Additive increase, multiplicative decrease, by what answers tell of the servers' load: requests
/// that wait there delay callers too. Deterministic.
class ConcurrencyLimiter {
 public:
  explicit ConcurrencyLimiter(ConcurrencyLimiterSettings settings = {})
      : m_settings(settings), m_size(settings.initial) {}

  [[nodiscard]] bool hasFreeSlot() const { return m_running < static_cast<std::uint32_t>(m_size); }
  [[nodiscard]] double size() const { return m_size; }
  void onSent() { ++m_running; }
  /// A call ended. `crowded`: requests waited at its server, or the server refused it.
  void onEnded(bool crowded, base::TimePoint now);

 private:
  const ConcurrencyLimiterSettings m_settings;
  double m_size;
  std::uint32_t m_running = 0;
  base::TimePoint m_shrunkAt{};
};

}  // namespace tackpick::forwarding
