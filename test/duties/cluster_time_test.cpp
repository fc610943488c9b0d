/// True time from clocks of which some are wrong.
#include "duties/cluster_time.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace duties = tackpick::duties;

namespace {

constexpr base::TimePoint kNow{base::seconds(50)};
constexpr base::WallTime kTrue{base::seconds(1'000'000)};

}  // namespace

Test(cluster_clock, stepped_minority_does_not_move_it) {
  duties::ClusterClock clock;
  for (std::uint32_t node = 1; node <= 10; ++node) {
    const base::Duration error =
        node <= 4 ? base::Duration(base::seconds(2)) : base::Duration(base::milliseconds(node));
    clock.onTold(base::makeNodeId(node, 1), kTrue + error, kNow);
  }
  const base::Duration off = clock.at(kNow, kTrue - base::seconds(2)) - kTrue;
  cr_assert_geq(off.count(), 0);
  cr_assert_leq(off.count(), 15'000);
}

Test(cluster_clock, runs_on_between_tellings_and_forgets_the_silent) {
  duties::ClusterClock clock;
  clock.onTold(base::makeNodeId(1, 1), kTrue, kNow);
  clock.onTold(base::makeNodeId(2, 1), kTrue, kNow);
  const base::TimePoint later = kNow + base::seconds(3);
  cr_assert(clock.at(later, kTrue) == kTrue + base::seconds(3));
  const base::TimePoint muchLater = kNow + base::seconds(20);
  clock.onTold(base::makeNodeId(3, 1), kTrue + base::seconds(21), muchLater);
  cr_assert(clock.at(muchLater, kTrue + base::seconds(21)) == kTrue + base::seconds(21));
}

Test(told_cluster_time, fastest_telling_counts) {
  duties::ClusterTimeEstimate time;
  cr_assert(time.at(kNow, kTrue) == kTrue, "nothing was told");
  time.onTold(kTrue, kNow + base::milliseconds(1));
  time.onTold(kTrue, kNow + base::milliseconds(80));
  cr_assert(time.at(kNow, {}) == kTrue - base::milliseconds(1));
}
