/// Slots of a gateway, and detection of slow gateways.
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

/// A gateway that sends a request every kCall.
struct Calls {
  void run(base::Duration time, base::Duration lag, base::Duration baseline = {}) {
    for (const base::TimePoint until = now + time; now < until; now += kCall) {
      const bool before = detector.isSlow();
      detector.addSample(lag, baseline, now);
      changes += before != detector.isSlow() ? 1 : 0;
    }
  }

  jobs::SlownessDetector detector;
  base::TimePoint now{base::seconds(1)};
  int changes = 0;
};

}  // namespace

Test(gateway_capacity, scarcest_known_resource_decides_within_bounds) {
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
  cr_assert_lt(*jobs::slotsFor(fast), 20U, "limited by its link");
  fast.linkMbps = 0;
  fast.fileDescriptors = 64;
  cr_assert_eq(jobs::slotsFor(fast), 8U);
}

Test(gateway_capacity, texts_that_fill_the_memory_leave_the_minimum_of_slots) {
  jobs::GatewayCapacity capacity = machine(0.2);
  capacity.bufferedTextBytes = 41U << 20U;
  cr_assert_eq(jobs::slotsFor(capacity), jobs::kMinGatewaySlots);
}

Test(gateway_capacity, values_that_no_machine_has_count_as_unknown) {
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  for (const double cores : {-1.0, std::nan(""), kInfinity, 1e300}) {
    jobs::GatewayCapacity implausible;
    implausible.cpuCores = cores;
    implausible.linkMbps = cores;
    cr_assert_not(jobs::slotsFor(implausible).has_value());
    implausible.memoryMb = 10;
    cr_assert_eq(jobs::slotsFor(implausible), 10U);
  }
}

Test(slowness_detector, slow_within_a_second_and_recovered_some_seconds_later) {
  Calls calls;
  calls.run(base::seconds(5), base::milliseconds(10));
  cr_assert_not(calls.detector.isSlow());
  calls.run(base::seconds(1), kLate);
  cr_assert(calls.detector.isSlow());
  calls.run(base::milliseconds(1800), base::milliseconds(10));
  cr_assert(calls.detector.isSlow(), "the recovery time has not passed");
  calls.run(base::milliseconds(500), base::milliseconds(10));
  cr_assert_not(calls.detector.isSlow());
}

Test(slowness_detector, one_pause_is_not_slowness) {
  Calls calls;
  calls.run(base::milliseconds(640), kLate);
  calls.run(base::seconds(1), base::milliseconds(10));
  calls.run(base::milliseconds(640), kLate);
  cr_assert_eq(calls.changes, 0);
}

Test(slowness_detector, none_is_slow_when_all_are_late) {
  Calls calls;
  calls.run(base::seconds(5), kLate, base::milliseconds(80));
  cr_assert_eq(calls.changes, 0);
  calls.run(base::seconds(2), base::milliseconds(300), base::milliseconds(80));
  cr_assert(calls.detector.isSlow());
}

// Guards against flapping when slow and normal phases alternate; the recovery time must increase.
Test(slowness_detector, does_not_flap) {
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
    cr_assert_not(calls.detector.isSlow());
  }
}
