/// \file
/// Suspends the machine of a test program, as far as it can tell: takes the place of the C
/// library's function that reads clocks. To be included by one source of a program.
#pragma once

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <ctime>

namespace tackpick::test {

/// How long the machine has been suspended since its start.
inline std::atomic<std::int64_t> suspendedSeconds = 0;

}  // namespace tackpick::test

extern "C" int clock_gettime(clockid_t clock, struct timespec* time) noexcept {
  const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
  const bool standsStill = clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_RAW;
  if (!standsStill) {
    time->tv_sec += tackpick::test::suspendedSeconds;
  }
  return result;
}
