/// \file
/// Simulates a suspension of the machine for a test program by replacing the C library's function
/// that reads clocks. Include it in only one source file of a program.
#pragma once

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <ctime>

namespace tackpick::test {

/// Simulated time in suspension since the start of the program.
inline std::atomic<std::int64_t> suspendedSeconds = 0;

}  // namespace tackpick::test

extern "C" int clock_gettime(clockid_t clock, struct timespec* time) noexcept {
  const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
  const bool excludesSuspension = clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_RAW;
  if (!excludesSuspension) {
    time->tv_sec += tackpick::test::suspendedSeconds;
  }
  return result;
}
