/// Tests counting at gateways, finalization by the leader, and reports to the platform.
#include <criterion/criterion.h>

#include "duties/usage_counter.h"
#include "duties/usage_reporter.h"

namespace base = tackpick::base;
namespace duties = tackpick::duties;

namespace {

constexpr base::Duration kWindowLength = base::seconds(5);
constexpr base::NodeId kFirstGateway = base::makeNodeId(1, 1);
constexpr base::NodeId kSecondGateway = base::makeNodeId(2, 1);

base::WallTime at(double seconds) {
  constexpr double kMicros = 1e6;
  return base::WallTime{base::Duration(static_cast<std::int64_t>(seconds * kMicros))};
}

duties::GatewayUsage gatewayUsage(duties::WindowNumber currentWindow, duties::WindowNumber window,
                                  const std::map<std::string, std::uint64_t>& counts) {
  return {currentWindow, {{window, counts}}};
}

/// Usage reporter of a leader, with a log that commits immediately. Reporting starts with window 0.
struct ReporterFixture {
  ReporterFixture() {
    settings.windowLength = kWindowLength;
    changeLeader();
  }

  /// Replaces the reporter by that of a new leader.
  void changeLeader() {
    reporter = std::make_unique<duties::UsageReporter>(settings, random);
    reporter->reset(state, now);
    ++fence;
  }

  /// Runs one step with the wall clock and the monotonic clock at `seconds`.
  void step(double seconds) {
    now = base::TimePoint{at(seconds).time_since_epoch()};
    const duties::UsageReporterActions actions =
        reporter->step(state, {gateways, warmedUp, fence, at(seconds), now});
    for (const auto& command : actions.commands) {
      std::visit([this](const auto& typed) { state.apply(typed); }, command);
    }
    if (actions.report) {
      sent.push_back(*actions.report);
    }
  }
  void runSteps(double from, double to) {
    for (double seconds = from; seconds < to; seconds += 0.05) {
      step(seconds);
    }
  }
  void answer(duties::UsageReportOutcome outcome) {
    reporter->onOutcome(sent.back(), outcome, now);
  }

  duties::UsageReporterSettings settings;
  base::SeededRandom random{1};
  duties::UsageState state;
  std::unique_ptr<duties::UsageReporter> reporter;
  std::set<base::NodeId> gateways = {kFirstGateway};
  bool warmedUp = true;
  std::uint64_t fence = 4;
  base::TimePoint now{};
  std::vector<duties::UsageReport> sent;
};

}  // namespace

Test(usage_counter, counts_by_tenant_and_window) {
  duties::UsageCounter counter(kWindowLength);
  counter.onRequestStarted("a", at(4.9));
  counter.onRequestStarted("a", at(5.0));
  counter.onRequestStarted("b", at(9.9));
  counter.onRequestStarted("", at(9.9));
  const duties::GatewayUsage usage = counter.snapshot(at(10.1));
  cr_assert_eq(usage.currentWindow, 2U);
  cr_assert_eq(usage.windows.size(), 2U);
  cr_assert_eq(usage.windows[0].counts.at("a"), 1U);
  cr_assert_eq(usage.windows[1].counts.size(), 2U);
  counter.discardThrough(0);
  cr_assert_eq(counter.snapshot(at(10.1)).windows.size(), 1U);
}

Test(usage_counter, without_windows_nothing_is_counted) {
  duties::UsageCounter counter(base::Duration{0});
  counter.onRequestStarted("a", at(1));
  cr_assert(counter.snapshot(at(2)).windows.empty());
  cr_assert_eq(counter.revision(), 0U);
}

Test(usage_duty, sums_counts_of_gateways_and_ignores_duplicates) {
  ReporterFixture fixture;
  fixture.gateways = {kFirstGateway, kSecondGateway};
  fixture.step(0.1);
  fixture.reporter->onGatewayUsage(kFirstGateway, gatewayUsage(0, 0, {{"a", 2}}));
  fixture.reporter->onGatewayUsage(kFirstGateway, gatewayUsage(0, 0, {{"a", 3}, {"b", 1}}));
  fixture.reporter->onGatewayUsage(kFirstGateway, gatewayUsage(0, 0, {{"a", 2}}));
  fixture.reporter->onGatewayUsage(kSecondGateway, gatewayUsage(1, 0, {{"a", 4}}));
  fixture.runSteps(5, 6);
  cr_assert(fixture.sent.empty(), "the first gateway may still count in this window");
  fixture.reporter->onGatewayUsage(kFirstGateway, gatewayUsage(1, 0, {{"a", 3}, {"b", 1}}));
  fixture.runSteps(6, 6.2);
  cr_assert_eq(fixture.sent.size(), 1U);
  cr_assert_eq(fixture.sent[0].usage.counts.at("a"), 7U);
  cr_assert_eq(fixture.sent[0].usage.counts.at("b"), 1U);
}

Test(usage_duty, unresponsive_gateway_delays_a_report_for_a_share_of_the_delay_only) {
  ReporterFixture fixture;
  fixture.step(0.1);
  fixture.reporter->onGatewayUsage(kFirstGateway, gatewayUsage(0, 0, {{"a", 2}}));
  fixture.runSteps(5, 11.4);
  cr_assert(fixture.sent.empty());
  fixture.runSteps(11.4, 11.7);
  cr_assert_eq(fixture.sent.size(), 1U);
  cr_assert_eq(fixture.sent[0].usage.counts.at("a"), 2U);
}

Test(usage_duty, window_without_requests_is_reported_too) {
  ReporterFixture fixture;
  fixture.step(0.1);
  fixture.reporter->onGatewayUsage(kFirstGateway, gatewayUsage(1, 0, {}));
  fixture.runSteps(5, 6);
  cr_assert_eq(fixture.sent.size(), 1U);
  cr_assert(fixture.sent[0].usage.counts.empty());
}

Test(usage_duty, report_is_unchanged_after_a_change_of_leader) {
  ReporterFixture fixture;
  fixture.step(0.1);
  fixture.reporter->onGatewayUsage(kFirstGateway, gatewayUsage(1, 0, {{"a", 2}}));
  fixture.runSteps(5, 6);
  cr_assert_eq(fixture.sent.size(), 1U);
  fixture.changeLeader();
  fixture.reporter->onGatewayUsage(kFirstGateway, gatewayUsage(2, 0, {{"a", 9}}));
  fixture.runSteps(6, 6.5);
  cr_assert_eq(fixture.sent.size(), 2U);
  cr_assert(fixture.sent[0].usage == fixture.sent[1].usage);
  cr_assert_gt(fixture.sent[1].fence, fixture.sent[0].fence);
}

Test(usage_duty, recorded_usage_survives_leader_and_gateway) {
  ReporterFixture fixture;
  fixture.step(0.1);
  fixture.reporter->onGatewayUsage(kFirstGateway, gatewayUsage(0, 0, {{"a", 2}}));
  fixture.runSteps(0.2, 0.4);
  fixture.changeLeader();
  fixture.gateways = {};
  fixture.runSteps(5, 6);
  cr_assert_eq(fixture.sent.size(), 1U);
  cr_assert_eq(fixture.sent[0].usage.counts.at("a"), 2U);
}

Test(usage_duty, call_is_repeated_unchanged_with_increasing_delays) {
  ReporterFixture fixture;
  fixture.step(0.1);
  fixture.reporter->onGatewayUsage(kFirstGateway, gatewayUsage(1, 0, {{"a", 2}}));
  fixture.runSteps(5, 6);
  std::vector<double> pauses;
  for (int tries = 0; tries < 6; ++tries) {
    const std::size_t before = fixture.sent.size();
    const base::TimePoint failedAt = fixture.now;
    fixture.answer(tries % 2 == 0 ? duties::UsageReportOutcome::kUnknown
                                  : duties::UsageReportOutcome::kThrottled);
    double seconds = base::toSeconds(fixture.now.time_since_epoch());
    while (fixture.sent.size() == before && seconds < 60) {
      seconds += 0.05;
      fixture.step(seconds);
    }
    pauses.push_back(base::toSeconds(fixture.now - failedAt));
    cr_assert(fixture.sent.back().usage == fixture.sent.front().usage);
  }
  cr_assert_geq(pauses.front(), 0.15);
  cr_assert_geq(pauses.back(), 1.2);
  cr_assert_leq(pauses.back(), 2.5);
}

Test(usage_duty, rejected_fence_is_not_used_again) {
  ReporterFixture fixture;
  fixture.step(0.1);
  fixture.reporter->onGatewayUsage(kFirstGateway, gatewayUsage(1, 0, {{"a", 2}}));
  fixture.runSteps(5, 6);
  fixture.answer(duties::UsageReportOutcome::kStaleFence);
  fixture.runSteps(6, 30);
  cr_assert_eq(fixture.sent.size(), 1U);
  fixture.changeLeader();
  fixture.runSteps(30, 31);
  cr_assert_eq(fixture.sent.size(), 2U);
}

Test(usage_duty, accepted_report_is_not_sent_again_and_the_next_follows) {
  ReporterFixture fixture;
  fixture.step(0.1);
  fixture.reporter->onGatewayUsage(kFirstGateway, gatewayUsage(9, 0, {{"a", 2}}));
  fixture.runSteps(5, 6);
  fixture.answer(duties::UsageReportOutcome::kAccepted);
  fixture.runSteps(6, 11);
  cr_assert_eq(fixture.sent.size(), 2U);
  cr_assert_eq(fixture.sent[1].usage.window, 1U);
  cr_assert_not(fixture.state.unreported().contains(0));
}

Test(usage_duty, new_leader_waits_for_its_predecessors_lease) {
  ReporterFixture fixture;
  fixture.step(0.1);
  fixture.reporter->onGatewayUsage(kFirstGateway, gatewayUsage(1, 0, {{"a", 2}}));
  fixture.reporter->reset(fixture.state, base::TimePoint{base::seconds(8)});
  fixture.reporter->onGatewayUsage(kFirstGateway, gatewayUsage(1, 0, {{"a", 2}}));
  fixture.runSteps(5, 7.9);
  cr_assert(fixture.sent.empty());
  fixture.runSteps(7.9, 8.2);
  cr_assert_eq(fixture.sent.size(), 1U);
}

Test(usage_state, window_is_finalized_once_and_in_order) {
  duties::UsageState state;
  state.apply(duties::FinalizeUsage{{7, {{"a", 1}}}});
  cr_assert(state.unreported().empty(), "usage reporting has not started");
  state.apply(duties::StartUsageReporting{7});
  state.apply(duties::StartUsageReporting{3});
  state.apply(duties::FinalizeUsage{{8, {{"a", 1}}}});
  cr_assert(state.unreported().empty());
  state.apply(duties::FinalizeUsage{{7, {{"a", 1}}}});
  state.apply(duties::FinalizeUsage{{7, {{"a", 2}}}});
  cr_assert_eq(state.unreported().at(7).counts.at("a"), 1U);
  state.apply(duties::RecordUsage{kFirstGateway, {{7, {{"a", 5}}}, {8, {{"a", 5}}}}});
  cr_assert_eq(state.recorded().size(), 1U);
  cr_assert(state.recorded().contains(8));
}
