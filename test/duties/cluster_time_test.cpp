/// Tests estimates of the true time while some clocks are wrong.
#include "duties/cluster_time.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace duties = tackpick::duties;

namespace {

constexpr base::TimePoint kNow{base::seconds(50)};
constexpr base::WallTime kTrueTime{base::seconds(1'000'000)};

}  // namespace

Test(cluster_clock, stepped_minority_does_not_move_it) {
  duties::ClusterClock clock;
  for (std::uint32_t node = 1; node <= 10; ++node) {
    const base::Duration error =
        node <= 4 ? base::Duration(base::seconds(2)) : base::Duration(base::milliseconds(node));
    clock.onClockReport(base::makeNodeId(node, 1), kTrueTime + error, kNow);
  }
  const base::Duration off = clock.at(kNow, kTrueTime - base::seconds(2)) - kTrueTime;
  cr_assert_geq(off.count(), 0);
  cr_assert_leq(off.count(), 15'000);
}

Test(cluster_clock, advances_between_reports_and_drops_old_ones) {
  duties::ClusterClock clock;
  clock.onClockReport(base::makeNodeId(1, 1), kTrueTime, kNow);
  clock.onClockReport(base::makeNodeId(2, 1), kTrueTime, kNow);
  const base::TimePoint later = kNow + base::seconds(3);
  cr_assert(clock.at(later, kTrueTime) == kTrueTime + base::seconds(3));
  const base::TimePoint muchLater = kNow + base::seconds(20);
  clock.onClockReport(base::makeNodeId(3, 1), kTrueTime + base::seconds(21), muchLater);
  cr_assert(clock.at(muchLater, kTrueTime + base::seconds(21)) == kTrueTime + base::seconds(21));
}

Test(cluster_time_estimate, report_with_lowest_latency_counts) {
  duties::ClusterTimeEstimate time;
  cr_assert(time.at(kNow, kTrueTime) == kTrueTime, "no report was received");
  time.onLeaderTime(kTrueTime, kNow + base::milliseconds(1));
  time.onLeaderTime(kTrueTime, kNow + base::milliseconds(80));
  cr_assert(time.at(kNow, {}) == kTrueTime - base::milliseconds(1));
}
