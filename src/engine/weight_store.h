/// \file
/// Model of the weight store of the platform.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace tackpick::engine {

/// Processes fetches sequentially at a fixed rate.
class WeightStore {
 public:
  /// `bytesPerSecond` is the total rate for all engines.
  explicit WeightStore(std::uint64_t bytesPerSecond) : bytes_per_second_(bytesPerSecond) {}

  /// Starts a fetch and returns its completion time.
  base::TimePoint fetch(std::uint64_t bytes, base::TimePoint now) {
    constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;
    const auto fetchMicroseconds = bytes * kMicrosecondsPerSecond / bytes_per_second_;
    m_busyUntil = std::max(m_busyUntil, now) +
                  base::Duration(static_cast<base::Duration::rep>(fetchMicroseconds));
    return m_busyUntil;
  }

 private:
  std::uint64_t bytes_per_second_;
  base::TimePoint m_busyUntil{};
};

}  // namespace tackpick::engine
