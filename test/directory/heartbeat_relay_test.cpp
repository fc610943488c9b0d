/// Heartbeats that any controller answers.
#include "directory/heartbeat_relay.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace directory = tackpick::directory;

namespace {

directory::InstanceHeartbeat heartbeat(std::uint64_t sequence, std::uint64_t version,
                                       bool draining = false) {
  directory::InstanceHeartbeat made;
  made.record = {"e", "s", "10.0.0.9", 1, "z", 4, draining};
  made.sequence = sequence;
  made.versions = {{"m", version}};
  return made;
}

using Verdict = directory::HeartbeatRelay::Verdict;

struct Fixture {
  Fixture() {
    (void)state.apply(1, base::encode(directory::DirectoryCommand{
                             directory::RegisterInstance{heartbeat(0, 1).record}}));
  }
  Verdict verdict(const directory::InstanceHeartbeat& heard) {
    return relay.take(state, heard, lastContactAt, now);
  }
  bool take(const directory::InstanceHeartbeat& heard) {
    return verdict(heard) == Verdict::kAccepted;
  }

  directory::DirectoryState state;
  directory::HeartbeatRelay relay{directory::HeartbeatRelaySettings{}};
  base::TimePoint now{base::seconds(100)};
  std::optional<base::TimePoint> lastContactAt = now;
};

}  // namespace

Test(heartbeat_relay, confirming_heartbeats_are_told_together) {
  Fixture fixture;
  cr_assert(fixture.take(heartbeat(1, 1)));
  cr_assert(fixture.take(heartbeat(2, 1)));
  const auto told = fixture.relay.due(fixture.now);
  cr_assert(told.has_value());
  cr_assert_eq(told->heartbeats.size(), 1U);
  cr_assert_eq(told->heartbeats[0].sequence, 2U);
  cr_assert_eq(told->heartbeats[0].versions.value().at("m"), 1U);
  cr_assert_not(fixture.relay.due(fixture.now + base::seconds(1)).has_value(), "one is under way");
}

Test(heartbeat_relay, versions_are_told_again_when_they_change_or_may_be_lost) {
  Fixture fixture;
  const auto versionsTold = [&](std::uint64_t sequence, std::uint64_t version, bool known) {
    cr_assert(fixture.take(heartbeat(sequence, version)));
    fixture.now += base::milliseconds(200);
    fixture.lastContactAt = fixture.now;
    const auto told = fixture.relay.due(fixture.now);
    cr_assert(told.has_value());
    fixture.relay.onTold(known);
    return told->heartbeats[0].versions.has_value();
  };
  cr_assert(versionsTold(1, 1, true));
  cr_assert_not(versionsTold(2, 1, true));
  cr_assert(versionsTold(3, 2, false));
  cr_assert(versionsTold(4, 2, true), "the call before got no answer");
}

Test(heartbeat_relay, whatever_changes_a_registration_goes_to_the_leader) {
  Fixture fixture;
  cr_assert(fixture.verdict(heartbeat(1, 1, true)) == Verdict::kForward, "it leaves");
  directory::InstanceHeartbeat moved = heartbeat(1, 1);
  moved.record.port = 2;
  cr_assert(fixture.verdict(moved) == Verdict::kForward);
  directory::InstanceHeartbeat unknown = heartbeat(1, 1);
  unknown.record.id = "other";
  cr_assert(fixture.verdict(unknown) == Verdict::kForward);
  cr_assert_not(fixture.relay.due(fixture.now).has_value());
}

Test(heartbeat_relay, controller_without_a_leader_refuses_at_once_what_only_confirms) {
  Fixture fixture;
  fixture.now += base::seconds(2);
  cr_assert(fixture.verdict(heartbeat(1, 1)) == Verdict::kRefused);
  cr_assert(fixture.verdict(heartbeat(1, 1, true)) == Verdict::kForward,
            "a leaving waits for a leader");
  fixture.lastContactAt.reset();
  cr_assert(fixture.verdict(heartbeat(1, 1)) == Verdict::kRefused);
}

Test(heartbeat_relay, earlier_heartbeat_that_comes_late_changes_nothing) {
  Fixture fixture;
  cr_assert(fixture.take(heartbeat(5, 2)));
  cr_assert(fixture.take(heartbeat(4, 1)));
  const auto told = fixture.relay.due(fixture.now);
  cr_assert_eq(told->heartbeats[0].sequence, 5U);
  cr_assert_eq(told->heartbeats[0].versions.value().at("m"), 2U);
}
