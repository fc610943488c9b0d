/// \file
/// Rate limiter.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace tackpick::routing {

/// Token bucket that admits `rate` requests per second on average and `burst` at once.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst, base::TimePoint now)
      : rate_(rate), burst_(burst), m_tokens(burst), updated_at_(now) {}

  /// Changes the limits; keeps the tokens up to the new `burst`.
  void configure(double rate, double burst) {
    rate_ = rate;
    burst_ = burst;
    m_tokens = std::min(m_tokens, burst);
  }

  /// Takes a token; false if none is available.
  bool tryAcquire(base::TimePoint now) {
    refill(now);
    if (m_tokens < 1.0) {
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

  /// Returns the time until a token is available.
  [[nodiscard]] base::Duration timeUntilAvailable(base::TimePoint now) {
    refill(now);
    constexpr double kMicrosecondsPerSecond = 1e6;
    const double deficit = std::max(0.0, 1.0 - m_tokens);
    return base::Duration(
        static_cast<base::Duration::rep>(deficit / rate_ * kMicrosecondsPerSecond));
  }

 private:
  void refill(base::TimePoint now) {
    m_tokens = std::min(burst_, m_tokens + rate_ * base::toSeconds(now - updated_at_));
    updated_at_ = now;
  }

  double rate_;
  double burst_;
  double m_tokens;
  base::TimePoint updated_at_;
};

}  // namespace tackpick::routing
