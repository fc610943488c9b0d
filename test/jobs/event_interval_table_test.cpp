/// What the ledgers' leader makes of the event intervals that gateways tell.
#include "jobs/event_interval_table.h"

#include <criterion/criterion.h>

#include <cmath>
#include <limits>

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;

namespace {

constexpr double kUsualMs = 50;
constexpr double kSlowMs = 175;

/// A book with sound engines in zone "a".
struct Fixture {
  explicit Fixture(int engines) {
    for (int i = 0; i < engines; ++i) {
      entries.push_back(&book.attach(name(i), "a"));
    }
  }

  static std::string name(int engine) { return "e" + std::to_string(engine); }

  /// Reports twice a second of all engines, that of the first one as told.
  void run(base::Duration time, double firstMs) {
    for (const base::TimePoint end = now + time; now < end; now += base::milliseconds(500)) {
      for (std::size_t i = 0; i < entries.size(); ++i) {
        book.note(name(static_cast<int>(i)), {i == 0 ? firstMs : kUsualMs}, now);
      }
      book.refresh(now);
    }
  }

  [[nodiscard]] double expected(int engine) const {
    return book.expectedMs(*entries[static_cast<std::size_t>(engine)], now);
  }

  jobs::EventIntervalTable book;
  std::vector<jobs::EventIntervalTable::Entry*> entries;
  base::TimePoint now{base::seconds(100)};
};

}  // namespace

Test(event_interval_table, engine_that_slows_is_known_as_slow_within_three_reports) {
  Fixture fixture(5);
  fixture.run(base::seconds(10), kUsualMs);
  fixture.run(base::milliseconds(1500), kSlowMs);
  cr_assert_gt(fixture.expected(0), 100);
  cr_assert_float_eq(fixture.expected(1), kUsualMs, 1);
}

Test(event_interval_table, engine_that_nobody_sees_any_more_comes_to_be_tried_again) {
  Fixture fixture(5);
  fixture.run(base::seconds(10), kUsualMs);
  fixture.run(base::seconds(8), kSlowMs);
  cr_assert_gt(fixture.expected(0), 160);
  fixture.now += base::seconds(8);
  cr_assert_lt(fixture.expected(0), 90, "%f", fixture.expected(0));
}

Test(event_interval_table, engine_that_was_always_slow_stays_so_without_news) {
  Fixture fixture(5);
  fixture.run(base::seconds(60), kSlowMs);
  fixture.now += base::seconds(10);
  cr_assert_gt(fixture.expected(0), 140, "%f", fixture.expected(0));
}

Test(event_interval_table, engine_never_seen_is_taken_for_typical_of_its_zone_else_of_all) {
  Fixture fixture(5);
  fixture.run(base::seconds(1), kUsualMs);
  cr_assert_float_eq(fixture.book.expectedMs(fixture.book.attach("new", "a"), fixture.now),
                     kUsualMs, 1);
  jobs::EventIntervalTable::Entry& slowZone = fixture.book.attach("s", "slow");
  jobs::EventIntervalTable::Entry& other = fixture.book.attach("t", "slow");
  cr_assert_float_eq(fixture.book.expectedMs(other, fixture.now), kUsualMs, 1);
  fixture.book.note("s", {kSlowMs}, fixture.now);
  fixture.book.refresh(fixture.now);
  cr_assert_float_eq(fixture.book.expectedMs(other, fixture.now), kSlowMs, 1);
  cr_assert_float_eq(fixture.book.expectedMs(slowZone, fixture.now), kSlowMs, 1);
}

Test(event_interval_table, nothing_is_expected_while_no_pace_is_known) {
  const Fixture fixture(1);
  cr_assert_eq(fixture.expected(0), 0.0);
}

Test(event_interval_table, what_cannot_be_true_changes_nothing) {
  Fixture fixture(3);
  fixture.run(base::seconds(2), kUsualMs);
  const double before = fixture.expected(0);
  for (const double eventIntervalMs :
       {0.0, -50.0, 1e12, std::numeric_limits<double>::infinity(),
        -std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()}) {
    cr_assert_not(fixture.book.note("e0", {eventIntervalMs}, fixture.now));
  }
  cr_assert_not(fixture.book.note("e0", {kUsualMs, base::seconds(-5)}, fixture.now),
                "it was not measured in the future");
  cr_assert_not(fixture.book.note("e0", {kUsualMs, base::Duration::max()}, fixture.now));
  cr_assert_not(fixture.book.note("unknown", {kUsualMs}, fixture.now));
  cr_assert_eq(fixture.expected(0), before);
  cr_assert_leq(fixture.entries[0]->pace.momentaryDelay(fixture.now), base::Duration{0});
}

Test(event_interval_table, one_wrong_report_among_many_does_little) {
  Fixture fixture(3);
  fixture.run(base::seconds(2), kUsualMs);
  fixture.book.note("e0", {50'000}, fixture.now);
  for (int i = 0; i < 6; ++i) {
    fixture.book.note("e0", {kUsualMs}, fixture.now);
  }
  cr_assert_lt(fixture.expected(0), 2 * kUsualMs, "%f", fixture.expected(0));
}

Test(event_interval_table, of_two_gateways_that_differ_the_later_sample_counts) {
  Fixture fixture(3);
  fixture.run(base::seconds(2), kUsualMs);
  fixture.run(base::seconds(3), kSlowMs);
  const double slow = fixture.expected(0);
  fixture.book.note("e0", {kUsualMs, base::seconds(3)}, fixture.now);
  cr_assert_eq(fixture.expected(0), slow, "it saw the engine before it became slow");
  fixture.book.note("e0", {kUsualMs, base::milliseconds(100)}, fixture.now);
  cr_assert_lt(fixture.expected(0), slow);
  cr_assert_gt(fixture.expected(0), kUsualMs, "both saw it now");
}

Test(event_interval_table, old_sample_told_again_does_not_become_new) {
  Fixture fixture(3);
  fixture.run(base::seconds(5), kUsualMs);
  fixture.run(base::seconds(4), kSlowMs);
  Fixture told = Fixture(3);
  told.run(base::seconds(5), kUsualMs);
  told.run(base::seconds(4), kSlowMs);
  for (int half = 1; half <= 10; ++half) {
    told.now += base::milliseconds(500);
    told.book.note("e0", {kSlowMs, half * base::milliseconds(500)}, told.now);
  }
  fixture.now += base::seconds(5);
  cr_assert_lt(told.expected(0), 1.1 * fixture.expected(0));
}

Test(event_interval_table, old_samples_weigh_less_at_a_new_leader) {
  Fixture fixture(3);
  fixture.book.note("e1", {kUsualMs, base::seconds(4)}, fixture.now);
  fixture.book.note("e2", {kUsualMs}, fixture.now);
  fixture.book.note("e0", {kSlowMs, base::milliseconds(300)}, fixture.now);
  fixture.book.refresh(fixture.now);
  cr_assert_float_eq(fixture.expected(0), kSlowMs, 1);
  cr_assert_float_eq(fixture.expected(1), kUsualMs, 1);
  Fixture old(3);
  old.book.note("e0", {kSlowMs, base::seconds(12)}, old.now);
  old.book.note("e1", {kUsualMs}, old.now);
  old.book.note("e2", {kUsualMs}, old.now);
  old.book.refresh(old.now);
  cr_assert_lt(old.expected(0), 1.3 * kUsualMs, "its slowness may be long over");
}

Test(event_interval_table, pace_belongs_to_the_machine_of_an_engine_that_starts_again) {
  Fixture fixture(3);
  fixture.run(base::seconds(3), kSlowMs);
  fixture.book.detach("e0", fixture.now);
  fixture.now += base::milliseconds(500);
  fixture.book.refresh(fixture.now);
  cr_assert_gt(fixture.book.expectedMs(fixture.book.attach("e0", "a"), fixture.now), 150);
  fixture.book.detach("e0", fixture.now);
  fixture.now += base::seconds(300);
  fixture.book.refresh(fixture.now);
  cr_assert_float_eq(fixture.book.expectedMs(fixture.book.attach("e0", "a"), fixture.now), kUsualMs,
                     1, "after minutes it is another machine");
}

Test(event_interval_table, slowness_of_a_moment_delays_and_passes) {
  Fixture fixture(2);
  jobs::EventIntervalReport report{kUsualMs};
  report.slowdownPercent = 250;
  report.slowdownAge = base::milliseconds(100);
  cr_assert(fixture.book.note("e0", report, fixture.now));
  const jobs::EngineEventInterval& pace = fixture.entries[0]->pace;
  cr_assert_eq(pace.slowdownPercent(fixture.now), 250U);
  cr_assert_gt(pace.momentaryDelay(fixture.now), base::milliseconds(200));
  cr_assert_lt(pace.momentaryDelay(fixture.now), base::seconds(1));
  fixture.now += base::milliseconds(500);
  cr_assert_eq(pace.slowdownPercent(fixture.now), 100U);
  cr_assert_eq(pace.momentaryDelay(fixture.now), base::Duration{0});
  report.slowdownPercent = 0;
  report.slowdownAge = base::Duration{0};
  cr_assert(fixture.book.note("e0", report, fixture.now));
  cr_assert_eq(pace.momentaryDelay(fixture.now), base::Duration{0}, "nonsense");
}
