/// Timers of an event loop on a machine that is suspended for some seconds. The machine is
/// suspended by a stand-in for the system call that reads clocks.
#include "base/timer.h"

#include <criterion/criterion.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <ctime>
#include <functional>

namespace base = tackpick::base;

namespace {

/// How long the machine has been suspended since its start.
std::atomic<std::int64_t> suspendedSeconds = 0;

}  // namespace

// Takes the place of the C library's function in this program.
extern "C" int clock_gettime(clockid_t clock, struct timespec* time) noexcept {
  const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
  const bool standsStill = clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_RAW;
  if (!standsStill) {
    time->tv_sec += suspendedSeconds;
  }
  return result;
}

Test(timer, deadline_that_passed_in_a_suspension_is_over_at_the_resume) {
  asio::io_context context;
  base::Timer deadline(context);
  base::Timer ticker(context);
  bool over = false;
  int ticks = 0;
  deadline.expires_after(base::seconds(30));
  deadline.async_wait([&](const asio::error_code& error) {
    over = !error;
    ticker.cancel();
  });
  std::function<void()> tick = [&] {
    suspendedSeconds = ++ticks == 2 ? 40 : suspendedSeconds.load();
    if (over || ticks > 50) {
      deadline.cancel();
      return;
    }
    ticker.expires_after(base::milliseconds(20));
    ticker.async_wait([&](const asio::error_code& error) {
      if (!error) {
        tick();
      }
    });
  };
  tick();
  context.run();
  cr_assert(over, "the deadline was 30 s away, and the machine was suspended for 40 s");
}
