/// Event intervals expected from the reports of gateways.
#include "jobs/event_interval_table.h"

#include <criterion/criterion.h>

#include <cmath>
#include <limits>

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr double kNormalMs = 50;
constexpr double kSlowMs = 175;

/// A table with engines in zone "a".
struct Fixture {
  explicit Fixture(int engines) {
    for (int i = 0; i < engines; ++i) {
      entries.push_back(&table.addEngine(name(i), "a"));
    }
  }

  static std::string name(int engine) { return "e" + std::to_string(engine); }

  /// Reports all engines twice a second for `time`, the first one with `firstEngineMs`.
  void run(base::Duration time, double firstEngineMs) {
    for (const base::TimePoint end = now + time; now < end; now += base::milliseconds(500)) {
      for (std::size_t i = 0; i < entries.size(); ++i) {
        table.addSample(name(static_cast<int>(i)), {i == 0 ? firstEngineMs : kNormalMs}, now);
      }
      table.refresh(now);
    }
  }

  [[nodiscard]] double expected(int engine) const {
    return table.expectedMs(*entries[static_cast<std::size_t>(engine)], now);
  }

  jobs::EventIntervalTable table;
  std::vector<jobs::EventIntervalTable::Entry*> entries;
  base::TimePoint now{base::seconds(100)};
};

}  // namespace

Test(event_interval_table, slowdown_is_detected_within_three_reports) {
  Fixture fixture(5);
  fixture.run(base::seconds(10), kNormalMs);
  fixture.run(base::milliseconds(1500), kSlowMs);
  cr_assert_gt(fixture.expected(0), 100);
  cr_assert_float_eq(fixture.expected(1), kNormalMs, 1);
}

Test(event_interval_table, engine_without_samples_is_tried_again) {
  Fixture fixture(5);
  fixture.run(base::seconds(10), kNormalMs);
  fixture.run(base::seconds(8), kSlowMs);
  cr_assert_gt(fixture.expected(0), 160);
  fixture.now += base::seconds(8);
  cr_assert_lt(fixture.expected(0), 90, "%f", fixture.expected(0));
}

Test(event_interval_table, permanently_slow_engine_stays_slow_without_samples) {
  Fixture fixture(5);
  fixture.run(base::seconds(60), kSlowMs);
  fixture.now += base::seconds(10);
  cr_assert_gt(fixture.expected(0), 140, "%f", fixture.expected(0));
}

Test(event_interval_table, unknown_engine_gets_the_median_of_its_zone_else_of_all) {
  Fixture fixture(5);
  fixture.run(base::seconds(1), kNormalMs);
  cr_assert_float_eq(fixture.table.expectedMs(fixture.table.addEngine("new", "a"), fixture.now),
                     kNormalMs, 1);
  jobs::EventIntervalTable::Entry& slowZone = fixture.table.addEngine("s", "slow");
  jobs::EventIntervalTable::Entry& other = fixture.table.addEngine("t", "slow");
  cr_assert_float_eq(fixture.table.expectedMs(other, fixture.now), kNormalMs, 1);
  fixture.table.addSample("s", {kSlowMs}, fixture.now);
  fixture.table.refresh(fixture.now);
  cr_assert_float_eq(fixture.table.expectedMs(other, fixture.now), kSlowMs, 1);
  cr_assert_float_eq(fixture.table.expectedMs(slowZone, fixture.now), kSlowMs, 1);
}

Test(event_interval_table, expected_interval_is_unknown_without_samples) {
  const Fixture fixture(1);
  cr_assert_eq(fixture.expected(0), 0.0);
}

Test(event_interval_table, implausible_reports_are_ignored) {
  Fixture fixture(3);
  fixture.run(base::seconds(2), kNormalMs);
  const double before = fixture.expected(0);
  for (const double eventIntervalMs :
       {0.0, -50.0, 1e12, std::numeric_limits<double>::infinity(),
        -std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()}) {
    cr_assert_not(fixture.table.addSample("e0", {eventIntervalMs}, fixture.now));
  }
  cr_assert_not(fixture.table.addSample("e0", {kNormalMs, base::seconds(-5)}, fixture.now),
                "age is negative");
  cr_assert_not(fixture.table.addSample("e0", {kNormalMs, base::Duration::max()}, fixture.now));
  cr_assert_not(fixture.table.addSample("unknown", {kNormalMs}, fixture.now));
  cr_assert_eq(fixture.expected(0), before);
  cr_assert_leq(fixture.entries[0]->eventInterval.transientDelay(fixture.now), base::Duration{0});
}

Test(event_interval_table, single_outlier_has_little_effect) {
  Fixture fixture(3);
  fixture.run(base::seconds(2), kNormalMs);
  fixture.table.addSample("e0", {50'000}, fixture.now);
  for (int i = 0; i < 6; ++i) {
    fixture.table.addSample("e0", {kNormalMs}, fixture.now);
  }
  cr_assert_lt(fixture.expected(0), 2 * kNormalMs, "%f", fixture.expected(0));
}

Test(event_interval_table, later_sample_counts_if_two_gateways_differ) {
  Fixture fixture(3);
  fixture.run(base::seconds(2), kNormalMs);
  fixture.run(base::seconds(3), kSlowMs);
  const double slow = fixture.expected(0);
  fixture.table.addSample("e0", {kNormalMs, base::seconds(3)}, fixture.now);
  cr_assert_eq(fixture.expected(0), slow, "sample from before the slowdown");
  fixture.table.addSample("e0", {kNormalMs, base::milliseconds(100)}, fixture.now);
  cr_assert_lt(fixture.expected(0), slow);
  cr_assert_gt(fixture.expected(0), kNormalMs, "simultaneous samples are averaged");
}

Test(event_interval_table, repeated_old_sample_does_not_become_new) {
  Fixture fixture(3);
  fixture.run(base::seconds(5), kNormalMs);
  fixture.run(base::seconds(4), kSlowMs);
  Fixture repeated = Fixture(3);
  repeated.run(base::seconds(5), kNormalMs);
  repeated.run(base::seconds(4), kSlowMs);
  for (int half = 1; half <= 10; ++half) {
    repeated.now += base::milliseconds(500);
    repeated.table.addSample("e0", {kSlowMs, half * base::milliseconds(500)}, repeated.now);
  }
  fixture.now += base::seconds(5);
  cr_assert_lt(repeated.expected(0), 1.1 * fixture.expected(0));
}

Test(event_interval_table, old_samples_weigh_less_at_a_new_leader) {
  Fixture fixture(3);
  fixture.table.addSample("e1", {kNormalMs, base::seconds(4)}, fixture.now);
  fixture.table.addSample("e2", {kNormalMs}, fixture.now);
  fixture.table.addSample("e0", {kSlowMs, base::milliseconds(300)}, fixture.now);
  fixture.table.refresh(fixture.now);
  cr_assert_float_eq(fixture.expected(0), kSlowMs, 1);
  cr_assert_float_eq(fixture.expected(1), kNormalMs, 1);
  Fixture old(3);
  old.table.addSample("e0", {kSlowMs, base::seconds(12)}, old.now);
  old.table.addSample("e1", {kNormalMs}, old.now);
  old.table.addSample("e2", {kNormalMs}, old.now);
  old.table.refresh(old.now);
  cr_assert_lt(old.expected(0), 1.3 * kNormalMs, "its slowdown may have ended");
}

Test(event_interval_table, interval_belongs_to_the_machine_of_a_restarted_engine) {
  Fixture fixture(3);
  fixture.run(base::seconds(3), kSlowMs);
  fixture.table.removeEngine("e0", fixture.now);
  fixture.now += base::milliseconds(500);
  fixture.table.refresh(fixture.now);
  cr_assert_gt(fixture.table.expectedMs(fixture.table.addEngine("e0", "a"), fixture.now), 150);
  fixture.table.removeEngine("e0", fixture.now);
  fixture.now += base::seconds(300);
  fixture.table.refresh(fixture.now);
  cr_assert_float_eq(fixture.table.expectedMs(fixture.table.addEngine("e0", "a"), fixture.now),
                     kNormalMs, 1, "the machine has been removed after the retention time");
}

Test(event_interval_table, transient_slowdown_delays_and_passes) {
  Fixture fixture(2);
  jobs::EventIntervalReport report{kNormalMs};
  report.slowdownPercent = 250;
  report.slowdownAge = base::milliseconds(100);
  cr_assert(fixture.table.addSample("e0", report, fixture.now));
  const jobs::EngineEventInterval& eventInterval = fixture.entries[0]->eventInterval;
  cr_assert_eq(eventInterval.slowdownPercent(fixture.now), 250U);
  cr_assert_gt(eventInterval.transientDelay(fixture.now), base::milliseconds(200));
  cr_assert_lt(eventInterval.transientDelay(fixture.now), base::seconds(1));
  fixture.now += base::milliseconds(500);
  cr_assert_eq(eventInterval.slowdownPercent(fixture.now), 100U);
  cr_assert_eq(eventInterval.transientDelay(fixture.now), base::Duration{0});
  report.slowdownPercent = 0;
  report.slowdownAge = base::Duration{0};
  cr_assert(fixture.table.addSample("e0", report, fixture.now));
  cr_assert_eq(eventInterval.transientDelay(fixture.now), base::Duration{0}, "nonsense");
}
