/// Calls that give way to callers.
#include "forwarding/concurrency_limiter.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace forwarding = tackpick::forwarding;

Test(concurrency_limiter, shrinks_once_for_a_burst_and_never_closes) {
  forwarding::ConcurrencyLimiter window;
  base::TimePoint now{base::seconds(1)};
  const double before = window.size();
  window.onEnded(true, now);
  const double after = window.size();
  cr_assert_lt(after, before);
  window.onEnded(true, now + base::milliseconds(1));
  cr_assert_eq(window.size(), after);
  for (int i = 0; i < 100; ++i) {
    now += base::seconds(1);
    window.onEnded(true, now);
  }
  cr_assert(window.hasFreeSlot());
  window.onSent();
  cr_assert_not(window.hasFreeSlot());
}

Test(concurrency_limiter, grows_while_servers_have_room) {
  forwarding::ConcurrencyLimiter window;
  const base::TimePoint now{base::seconds(1)};
  int sent = 0;
  for (int i = 0; i < 1000; ++i) {
    while (window.hasFreeSlot()) {
      window.onSent();
      ++sent;
    }
    window.onEnded(false, now);
  }
  cr_assert_gt(window.size(), 20);
  cr_assert_leq(window.size(), 32);
}
