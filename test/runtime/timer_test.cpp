/// Guards against timers that do not count the time in which the machine is suspended.
#include "base/timer.h"

#include <criterion/criterion.h>

#include <asio.hpp>
#include <chrono>
#include <functional>

#include "base/suspended_machine.h"

namespace base = tackpick::base;
using tackpick::test::suspendedSeconds;

Test(timer, deadline_passed_during_suspension_expires_at_resume) {
  asio::io_context context;
  base::Timer deadline(context);
  base::Timer ticker(context);
  bool expired = false;
  int ticks = 0;
  deadline.expires_after(base::seconds(30));
  deadline.async_wait([&](const asio::error_code& error) {
    expired = !error;
    ticker.cancel();
  });
  std::function<void()> tick = [&] {
    suspendedSeconds = ++ticks == 2 ? 40 : suspendedSeconds.load();
    if (expired || ticks > 50) {
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
  cr_assert(expired, "the deadline was 30 s away, and the machine was suspended for 40 s");
}
