/// Usage: counting at gateways, decisions of the leader, calls to the platform.
#include <criterion/criterion.h>

#include "duties/usage_counter.h"
#include "duties/usage_reporter.h"

namespace base = tackpick::base;
namespace duties = tackpick::duties;

namespace {

constexpr base::Duration kLength = base::seconds(5);
constexpr base::NodeId kFirst = base::makeNodeId(1, 1);
constexpr base::NodeId kSecond = base::makeNodeId(2, 1);

base::WallTime at(double seconds) {
  constexpr double kMicros = 1e6;
  return base::WallTime{base::Duration(static_cast<std::int64_t>(seconds * kMicros))};
}

duties::GatewayUsage told(duties::WindowNumber present, duties::WindowNumber window,
                          const std::map<std::string, std::uint64_t>& counts) {
  return {present, {{window, counts}}};
}

/// The leader's duty with a log that commits at once; usage begins in window 0.
struct Leader {
  Leader() {
    settings.window = kLength;
    begin();
  }

  /// Another leader takes over.
  void begin() {
    duty = std::make_unique<duties::UsageReporter>(settings, random);
    duty->reset(state, now);
    ++fence;
  }

  /// One step at this time of the day, which is also that of the monotonic clock.
  void step(double seconds) {
    now = base::TimePoint{at(seconds).time_since_epoch()};
    const duties::UsageReporterActions work =
        duty->step(state, {gateways, settled, fence, at(seconds), now});
    for (const auto& command : work.commands) {
      std::visit([this](const auto& typed) { state.apply(typed); }, command);
    }
    if (work.report) {
      sent.push_back(*work.report);
    }
  }
  void steps(double from, double to) {
    for (double seconds = from; seconds < to; seconds += 0.05) {
      step(seconds);
    }
  }
  void answer(duties::UsageReportOutcome outcome) { duty->onOutcome(sent.back(), outcome, now); }

  duties::UsageReporterSettings settings;
  base::SeededRandom random{1};
  duties::UsageState state;
  std::unique_ptr<duties::UsageReporter> duty;
  std::set<base::NodeId> gateways = {kFirst};
  bool settled = true;
  std::uint64_t fence = 4;
  base::TimePoint now{};
  std::vector<duties::UsageReport> sent;
};

}  // namespace

Test(usage_counter, counts_by_tenant_and_window) {
  duties::UsageCounter counter(kLength);
  counter.onRequestStarted("a", at(4.9));
  counter.onRequestStarted("a", at(5.0));
  counter.onRequestStarted("b", at(9.9));
  counter.onRequestStarted("", at(9.9));
  const duties::GatewayUsage usage = counter.present(at(10.1));
  cr_assert_eq(usage.present, 2U);
  cr_assert_eq(usage.windows.size(), 2U);
  cr_assert_eq(usage.windows[0].counts.at("a"), 1U);
  cr_assert_eq(usage.windows[1].counts.size(), 2U);
  counter.discardThrough(0);
  cr_assert_eq(counter.present(at(10.1)).windows.size(), 1U);
}

Test(usage_counter, without_windows_nothing_is_counted) {
  duties::UsageCounter counter(base::Duration{0});
  counter.onRequestStarted("a", at(1));
  cr_assert(counter.present(at(2)).windows.empty());
  cr_assert_eq(counter.revision(), 0U);
}

Test(usage_duty, sums_what_gateways_told_and_counts_repeats_once) {
  Leader leader;
  leader.gateways = {kFirst, kSecond};
  leader.step(0.1);
  leader.duty->onTold(kFirst, told(0, 0, {{"a", 2}}));
  leader.duty->onTold(kFirst, told(0, 0, {{"a", 3}, {"b", 1}}));
  leader.duty->onTold(kFirst, told(0, 0, {{"a", 2}}));
  leader.duty->onTold(kSecond, told(1, 0, {{"a", 4}}));
  leader.steps(5, 6);
  cr_assert(leader.sent.empty(), "the first gateway may still count in this window");
  leader.duty->onTold(kFirst, told(1, 0, {{"a", 3}, {"b", 1}}));
  leader.steps(6, 6.2);
  cr_assert_eq(leader.sent.size(), 1U);
  cr_assert_eq(leader.sent[0].usage.counts.at("a"), 7U);
  cr_assert_eq(leader.sent[0].usage.counts.at("b"), 1U);
}

Test(usage_duty, silent_gateway_holds_a_report_up_for_a_share_of_the_delay_only) {
  Leader leader;
  leader.step(0.1);
  leader.duty->onTold(kFirst, told(0, 0, {{"a", 2}}));
  leader.steps(5, 11.4);
  cr_assert(leader.sent.empty());
  leader.steps(11.4, 11.7);
  cr_assert_eq(leader.sent.size(), 1U);
  cr_assert_eq(leader.sent[0].usage.counts.at("a"), 2U);
}

Test(usage_duty, window_without_requests_is_reported_too) {
  Leader leader;
  leader.step(0.1);
  leader.duty->onTold(kFirst, told(1, 0, {}));
  leader.steps(5, 6);
  cr_assert_eq(leader.sent.size(), 1U);
  cr_assert(leader.sent[0].usage.counts.empty());
}

Test(usage_duty, report_stays_the_same_whoever_leads) {
  Leader leader;
  leader.step(0.1);
  leader.duty->onTold(kFirst, told(1, 0, {{"a", 2}}));
  leader.steps(5, 6);
  cr_assert_eq(leader.sent.size(), 1U);
  leader.begin();
  leader.duty->onTold(kFirst, told(2, 0, {{"a", 9}}));
  leader.steps(6, 6.5);
  cr_assert_eq(leader.sent.size(), 2U);
  cr_assert(leader.sent[0].usage == leader.sent[1].usage);
  cr_assert_gt(leader.sent[1].fence, leader.sent[0].fence);
}

Test(usage_duty, what_was_noted_outlives_leader_and_gateway) {
  Leader leader;
  leader.step(0.1);
  leader.duty->onTold(kFirst, told(0, 0, {{"a", 2}}));
  leader.steps(0.2, 0.4);
  leader.begin();
  leader.gateways = {};
  leader.steps(5, 6);
  cr_assert_eq(leader.sent.size(), 1U);
  cr_assert_eq(leader.sent[0].usage.counts.at("a"), 2U);
}

Test(usage_duty, call_is_repeated_unchanged_with_growing_pauses) {
  Leader leader;
  leader.step(0.1);
  leader.duty->onTold(kFirst, told(1, 0, {{"a", 2}}));
  leader.steps(5, 6);
  std::vector<double> pauses;
  for (int tries = 0; tries < 6; ++tries) {
    const std::size_t before = leader.sent.size();
    const base::TimePoint failedAt = leader.now;
    leader.answer(tries % 2 == 0 ? duties::UsageReportOutcome::kUnknown
                                 : duties::UsageReportOutcome::kBusy);
    double seconds = base::toSeconds(leader.now.time_since_epoch());
    while (leader.sent.size() == before && seconds < 60) {
      seconds += 0.05;
      leader.step(seconds);
    }
    pauses.push_back(base::toSeconds(leader.now - failedAt));
    cr_assert(leader.sent.back().usage == leader.sent.front().usage);
  }
  cr_assert_geq(pauses.front(), 0.15);
  cr_assert_geq(pauses.back(), 1.2);
  cr_assert_leq(pauses.back(), 2.5);
}

Test(usage_duty, refused_fence_is_not_used_again) {
  Leader leader;
  leader.step(0.1);
  leader.duty->onTold(kFirst, told(1, 0, {{"a", 2}}));
  leader.steps(5, 6);
  leader.answer(duties::UsageReportOutcome::kRefused);
  leader.steps(6, 30);
  cr_assert_eq(leader.sent.size(), 1U);
  leader.begin();
  leader.steps(30, 31);
  cr_assert_eq(leader.sent.size(), 2U);
}

Test(usage_duty, taken_report_is_not_sent_again_and_the_next_follows) {
  Leader leader;
  leader.step(0.1);
  leader.duty->onTold(kFirst, told(9, 0, {{"a", 2}}));
  leader.steps(5, 6);
  leader.answer(duties::UsageReportOutcome::kAccepted);
  leader.steps(6, 11);
  cr_assert_eq(leader.sent.size(), 2U);
  cr_assert_eq(leader.sent[1].usage.window, 1U);
  cr_assert_not(leader.state.unreported().contains(0));
}

Test(usage_duty, new_leader_waits_for_its_predecessors_lease) {
  Leader leader;
  leader.step(0.1);
  leader.duty->onTold(kFirst, told(1, 0, {{"a", 2}}));
  leader.duty->reset(leader.state, base::TimePoint{base::seconds(8)});
  leader.duty->onTold(kFirst, told(1, 0, {{"a", 2}}));
  leader.steps(5, 7.9);
  cr_assert(leader.sent.empty());
  leader.steps(7.9, 8.2);
  cr_assert_eq(leader.sent.size(), 1U);
}

Test(usage_state, window_is_decided_once_and_in_turn) {
  duties::UsageState state;
  state.apply(duties::FinalizeUsage{{7, {{"a", 1}}}});
  cr_assert(state.unreported().empty(), "usage has not begun");
  state.apply(duties::StartUsageReporting{7});
  state.apply(duties::StartUsageReporting{3});
  state.apply(duties::FinalizeUsage{{8, {{"a", 1}}}});
  cr_assert(state.unreported().empty());
  state.apply(duties::FinalizeUsage{{7, {{"a", 1}}}});
  state.apply(duties::FinalizeUsage{{7, {{"a", 2}}}});
  cr_assert_eq(state.unreported().at(7).counts.at("a"), 1U);
  state.apply(duties::RecordUsage{kFirst, {{7, {{"a", 5}}}, {8, {{"a", 5}}}}});
  cr_assert_eq(state.noted().size(), 1U);
  cr_assert(state.noted().contains(8));
}
