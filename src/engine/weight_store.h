/// \file
/// The platform's weight store as its readers see it: a shared, limited rate.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace tackpick::engine {

/// Serves fetches one after another at a fixed total rate.
class WeightStore {
 public:
  /// `bytesPerSecond` is the rate over all readers.
  explicit WeightStore(std::uint64_t bytesPerSecond) : bytes_per_second_(bytesPerSecond) {}

  /// Begins a fetch; returns when it will be complete.
  base::TimePoint fetch(std::uint64_t bytes, base::TimePoint now) {
    constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;
    const auto micros = bytes * kMicrosecondsPerSecond / bytes_per_second_;
    free_at_ = std::max(free_at_, now) + base::Duration(static_cast<base::Duration::rep>(micros));
    return free_at_;
  }

 private:
  std::uint64_t bytes_per_second_;
  base::TimePoint free_at_{};
};

}  // namespace tackpick::engine
