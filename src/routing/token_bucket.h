/// \file
/// Rate limit.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace tackpick::routing {

/// Admits `rate` per second on average and `burst` at once.
class TokenBucket {
 public:
  TokenBucket(double rate, double burst, base::TimePoint now)
      : rate_(rate), burst_(burst), level_(burst), updated_at_(now) {}

  /// Changes the limits; keeps the level.
  void configure(double rate, double burst) {
    rate_ = rate;
    burst_ = burst;
    level_ = std::min(level_, burst);
  }

  /// Takes one; false when there is none.
  bool take(base::TimePoint now) {
    refill(now);
    if (level_ < 1.0) {
      return false;
    }
    level_ -= 1.0;
    return true;
  }

  /// How long until one will be there.
  [[nodiscard]] base::Duration untilNext(base::TimePoint now) {
    refill(now);
    constexpr double kMicrosecondsPerSecond = 1e6;
    const double missing = std::max(0.0, 1.0 - level_);
    return base::Duration(
        static_cast<base::Duration::rep>(missing / rate_ * kMicrosecondsPerSecond));
  }

 private:
  void refill(base::TimePoint now) {
    level_ = std::min(burst_, level_ + rate_ * base::toSeconds(now - updated_at_));
    updated_at_ = now;
  }

  double rate_;
  double burst_;
  double level_;
  base::TimePoint updated_at_;
};

}  // namespace tackpick::routing
