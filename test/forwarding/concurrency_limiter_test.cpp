/// Tests of ConcurrencyLimiter.
#include "forwarding/concurrency_limiter.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace forwarding = tackpick::forwarding;

Test(concurrency_limiter, decreases_once_per_burst_and_never_to_zero) {
  forwarding::ConcurrencyLimiter limiter;
  base::TimePoint now{base::seconds(1)};
  const double before = limiter.limit();
  limiter.onEnded(true, now);
  const double after = limiter.limit();
  cr_assert_lt(after, before);
  limiter.onEnded(true, now + base::milliseconds(1));
  cr_assert_eq(limiter.limit(), after);
  for (int i = 0; i < 100; ++i) {
    now += base::seconds(1);
    limiter.onEnded(true, now);
  }
  cr_assert(limiter.hasFreeSlot());
  limiter.onSent();
  cr_assert_not(limiter.hasFreeSlot());
}

Test(concurrency_limiter, increases_while_servers_are_not_overloaded) {
  forwarding::ConcurrencyLimiter limiter;
  const base::TimePoint now{base::seconds(1)};
  int sent = 0;
  for (int i = 0; i < 1000; ++i) {
    while (limiter.hasFreeSlot()) {
      limiter.onSent();
      ++sent;
    }
    limiter.onEnded(false, now);
  }
  cr_assert_gt(limiter.limit(), 20);
  cr_assert_leq(limiter.limit(), 32);
}
