/// Heartbeats acknowledged by any controller.
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
  Verdict verdict(const directory::InstanceHeartbeat& reported) {
    return relay.accept(state, reported, lastContactAt, now);
  }
  bool accept(const directory::InstanceHeartbeat& reported) {
    return verdict(reported) == Verdict::kAccepted;
  }

  directory::DirectoryState state;
  directory::HeartbeatRelay relay{directory::HeartbeatRelaySettings{}};
  base::TimePoint now{base::seconds(100)};
  std::optional<base::TimePoint> lastContactAt = now;
};

}  // namespace

Test(heartbeat_relay, confirming_heartbeats_are_relayed_in_one_batch) {
  Fixture fixture;
  cr_assert(fixture.accept(heartbeat(1, 1)));
  cr_assert(fixture.accept(heartbeat(2, 1)));
  const auto batch = fixture.relay.takeBatch(fixture.now);
  cr_assert(batch.has_value());
  cr_assert_eq(batch->heartbeats.size(), 1U);
  cr_assert_eq(batch->heartbeats[0].sequence, 2U);
  cr_assert_eq(batch->heartbeats[0].versions.value().at("m"), 1U);
  cr_assert_not(fixture.relay.takeBatch(fixture.now + base::seconds(1)).has_value(),
                "a batch is in flight");
}

Test(heartbeat_relay, versions_are_sent_again_when_changed_or_not_acknowledged) {
  Fixture fixture;
  const auto sendsVersions = [&](std::uint64_t sequence, std::uint64_t version, bool known) {
    cr_assert(fixture.accept(heartbeat(sequence, version)));
    fixture.now += base::milliseconds(200);
    fixture.lastContactAt = fixture.now;
    const auto batch = fixture.relay.takeBatch(fixture.now);
    cr_assert(batch.has_value());
    fixture.relay.onBatchAcknowledged(known);
    return batch->heartbeats[0].versions.has_value();
  };
  cr_assert(sendsVersions(1, 1, true));
  cr_assert_not(sendsVersions(2, 1, true));
  cr_assert(sendsVersions(3, 2, false));
  cr_assert(sendsVersions(4, 2, true), "the previous batch was not acknowledged");
}

Test(heartbeat_relay, changes_of_a_registration_are_forwarded_to_the_leader) {
  Fixture fixture;
  cr_assert(fixture.verdict(heartbeat(1, 1, true)) == Verdict::kForward, "the engine is draining");
  directory::InstanceHeartbeat moved = heartbeat(1, 1);
  moved.record.port = 2;
  cr_assert(fixture.verdict(moved) == Verdict::kForward);
  directory::InstanceHeartbeat unknown = heartbeat(1, 1);
  unknown.record.id = "other";
  cr_assert(fixture.verdict(unknown) == Verdict::kForward);
  cr_assert_not(fixture.relay.takeBatch(fixture.now).has_value());
}

Test(heartbeat_relay, controller_without_a_leader_refuses_confirming_heartbeats) {
  Fixture fixture;
  fixture.now += base::seconds(2);
  cr_assert(fixture.verdict(heartbeat(1, 1)) == Verdict::kRefused);
  cr_assert(fixture.verdict(heartbeat(1, 1, true)) == Verdict::kForward,
            "a draining heartbeat is forwarded to the leader");
  fixture.lastContactAt.reset();
  cr_assert(fixture.verdict(heartbeat(1, 1)) == Verdict::kRefused);
}

Test(heartbeat_relay, delayed_earlier_heartbeat_changes_nothing) {
  Fixture fixture;
  cr_assert(fixture.accept(heartbeat(5, 2)));
  cr_assert(fixture.accept(heartbeat(4, 1)));
  const auto batch = fixture.relay.takeBatch(fixture.now);
  cr_assert_eq(batch->heartbeats[0].sequence, 5U);
  cr_assert_eq(batch->heartbeats[0].versions.value().at("m"), 2U);
}
