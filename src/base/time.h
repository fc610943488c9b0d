/// \file
/// Time types and clocks with microsecond resolution. Decision modules never read a clock; the
/// runtime or the simulator passes the current time to them.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace tackpick::base {

using Duration = std::chrono::microseconds;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Clock type of monotonic time points. The epoch differs between machines, so only durations are
/// sent over the network.
struct MonotonicClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

using TimePoint = MonotonicClock::time_point;

/// Wall-clock time since 1970. Wall clocks differ between machines and may be adjusted at run time.
using WallTime = std::chrono::sys_time<Duration>;

/// Provides the current wall-clock time.
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

/// Provides the current monotonic time. The runtime reads the clock of the operating system; the
/// simulator advances a virtual clock.
class TimeSource {
 public:
  virtual ~TimeSource() = default;
  [[nodiscard]] virtual TimePoint now() const = 0;
};

/// Time since the machine booted, including time in suspension. std::chrono::steady_clock must not
/// be used instead: it stops while the machine is suspended, so that an expired lease would appear
/// to be valid after the resume.
struct BootClock : MonotonicClock {
  [[nodiscard]] static TimePoint now() {
    std::timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto sinceBoot =
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return TimePoint{std::chrono::duration_cast<Duration>(sinceBoot)};
  }
};

/// Reads BootClock.
class MonotonicTimeSource final : public TimeSource {
 public:
  [[nodiscard]] TimePoint now() const override { return BootClock::now(); }
};

/// Returns the duration in milliseconds, for reports and metrics.
[[nodiscard]] inline double toMilliseconds(Duration duration) {
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  return static_cast<double>(duration.count()) / kMicrosecondsPerMillisecond;
}

/// Returns the duration in seconds, for reports and metrics.
[[nodiscard]] inline double toSeconds(Duration duration) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

}  // namespace tackpick::base
