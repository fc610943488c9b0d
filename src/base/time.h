/// \file
/// Time as the decision modules see it: a monotonic clock with microsecond resolution.
/// Decision modules never read a clock; the driver (runtime or simulator) passes `now` in.
#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

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

/// This machine's time since its boot, suspensions included: the only place where a monotonic clock
/// is read. CLOCK_MONOTONIC, which std::chrono::steady_clock reads, stands still while a machine is
/// suspended: a lease that has long passed to another would seem young after the resume.
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
