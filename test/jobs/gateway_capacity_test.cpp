/// How many slots a gateway takes, and whether it is slow.
#include "jobs/gateway_capacity.h"

#include <criterion/criterion.h>

#include <cmath>
#include <limits>

#include "base/random.h"
#include "jobs/slowness_detector.h"

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

jobs::GatewayCapacity machine(double cores) {
  jobs::GatewayCapacity capacity;
  capacity.cpuCores = cores;
  capacity.memoryMb = 160;
  capacity.fileDescriptors = 4100;
  capacity.linkMbps = 60;
  return capacity;
}

constexpr base::Duration kCall = base::milliseconds(80);
constexpr base::Duration kLate = base::milliseconds(90);

/// A gateway that calls each 80 ms.
struct Calls {
  void run(base::Duration time, base::Duration lateness, base::Duration usual = {}) {
    for (const base::TimePoint until = now + time; now < until; now += kCall) {
      const bool before = watch.isSlow();
      watch.note(lateness, usual, now);
      changes += before != watch.isSlow() ? 1 : 0;
    }
  }

  jobs::SlownessDetector watch;
  base::TimePoint now{base::seconds(1)};
  int changes = 0;
};

}  // namespace

Test(gateway_capacity, scarcest_of_what_is_known_decides_between_bounds) {
  cr_assert_not(jobs::slotsFor({}).has_value());
  const auto small = jobs::slotsFor(machine(0.09));
  const auto large = jobs::slotsFor(machine(0.2));
  cr_assert(small && large && *small < *large);
  cr_assert_eq(jobs::slotsFor(machine(0.001)), jobs::kMinGatewaySlots);
  jobs::GatewayCapacity fast = machine(4);
  fast.memoryMb = 16'000;
  fast.linkMbps = 10'000;
  cr_assert_eq(jobs::slotsFor(fast), jobs::kMaxGatewaySlots);
  fast.linkMbps = 16;
  cr_assert_lt(*jobs::slotsFor(fast), 20U, "its link is narrow");
  fast.linkMbps = 0;
  fast.fileDescriptors = 64;
  cr_assert_eq(jobs::slotsFor(fast), 8U);
}

Test(gateway_capacity, texts_that_fill_the_memory_leave_the_fewest_places) {
  jobs::GatewayCapacity capacity = machine(0.2);
  capacity.bufferedTextBytes = 41U << 20U;
  cr_assert_eq(jobs::slotsFor(capacity), jobs::kMinGatewaySlots);
}

Test(gateway_capacity, values_that_no_machine_has_count_as_unknown) {
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  for (const double cores : {-1.0, std::nan(""), kInfinity, 1e300}) {
    jobs::GatewayCapacity nonsense;
    nonsense.cpuCores = cores;
    nonsense.linkMbps = cores;
    cr_assert_not(jobs::slotsFor(nonsense).has_value());
    nonsense.memoryMb = 10;
    cr_assert_eq(jobs::slotsFor(nonsense), 10U);
  }
}

Test(slow_watch, slow_within_a_second_and_sound_again_some_seconds_later) {
  Calls calls;
  calls.run(base::seconds(5), base::milliseconds(10));
  cr_assert_not(calls.watch.isSlow());
  calls.run(base::seconds(1), kLate);
  cr_assert(calls.watch.isSlow());
  calls.run(base::milliseconds(1800), base::milliseconds(10));
  cr_assert(calls.watch.isSlow(), "it must be sound for a while");
  calls.run(base::milliseconds(500), base::milliseconds(10));
  cr_assert_not(calls.watch.isSlow());
}

Test(slow_watch, one_pause_is_not_slowness) {
  Calls calls;
  calls.run(base::milliseconds(640), kLate);
  calls.run(base::seconds(1), base::milliseconds(10));
  calls.run(base::milliseconds(640), kLate);
  cr_assert_eq(calls.changes, 0);
}

Test(slow_watch, none_is_slow_when_all_are_late) {
  Calls calls;
  calls.run(base::seconds(5), kLate, base::milliseconds(80));
  cr_assert_eq(calls.changes, 0);
  calls.run(base::seconds(2), base::milliseconds(300), base::milliseconds(80));
  cr_assert(calls.watch.isSlow());
}

// By turns slow and sound for 2 to 4 s: without longer and longer recovery it would follow each.
Test(slow_watch, does_not_flap) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    base::SeededRandom random(seed);
    Calls calls;
    while (calls.now < base::TimePoint{base::seconds(60)}) {
      calls.run(base::milliseconds(static_cast<int>(2000 + random.below(2000))), kLate);
      calls.run(base::milliseconds(static_cast<int>(2000 + random.below(2000))), {});
    }
    cr_assert_leq(calls.changes, 7, "seed %llu: %d changes", static_cast<unsigned long long>(seed),
                  calls.changes);
    calls.run(base::seconds(20), {});
    cr_assert_not(calls.watch.isSlow());
  }
}
