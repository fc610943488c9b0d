/// \file
/// Time as the decision modules see it: a monotonic clock with microsecond resolution.
/// Decision modules never read a clock; the driver (runtime or simulator) passes `now` in.
#pragma once

#include <chrono>
#include <cstdint>

namespace tackpick::base {

using Duration = std::chrono::microseconds;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tag of the monotonic clock. Its epoch is arbitrary and differs between machines, so time points
/// of one machine mean nothing on another: only durations cross the network.
struct MonotonicClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

using TimePoint = MonotonicClock::time_point;

/// The time of day, since 1970. Clocks of machines differ, and may be set while they run.
using WallTime = std::chrono::sys_time<Duration>;

/// Supplies what this machine's clock shows.
class WallTimeSource {
 public:
  virtual ~WallTimeSource() = default;
  [[nodiscard]] virtual WallTime wallNow() const = 0;
};

/// Reads std::chrono::system_clock.
class SystemWallTimeSource final : public WallTimeSource {
 public:
  [[nodiscard]] WallTime wallNow() const override {
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
  }
};

/// Supplies the current monotonic time. The runtime reads the operating system's clock; the
/// simulator advances a virtual one.
class TimeSource {
 public:
  virtual ~TimeSource() = default;
  [[nodiscard]] virtual TimePoint now() const = 0;
};

/// Reads std::chrono::steady_clock.
class SteadyTimeSource final : public TimeSource {
 public:
  [[nodiscard]] TimePoint now() const override {
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint{std::chrono::duration_cast<Duration>(sinceEpoch)};
  }
};

/// Milliseconds as a floating point number, for reports and metrics.
[[nodiscard]] inline double toMilliseconds(Duration duration) {
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  return static_cast<double>(duration.count()) / kMicrosecondsPerMillisecond;
}

/// Seconds as a floating point number, for reports and metrics.
[[nodiscard]] inline double toSeconds(Duration duration) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

}  // namespace tackpick::base
