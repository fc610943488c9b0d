#include "consensus/group_client.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace consensus = tackpick::consensus;
namespace transport = tackpick::transport;

namespace {

constexpr base::GroupId kGroup{1};
constexpr base::NodeId kFirst = base::makeNodeId(1, 0);
constexpr base::NodeId kSecond = base::makeNodeId(2, 0);

struct Fixture {
  Fixture() : client({kGroup, {kFirst, kSecond}}, base::CallId{5}) {}

  void call() {
    client.call(transport::CommandKind::kLeaderCall, "x", now, outbox,
                [this](const base::Bytes* result, base::TimePoint) {
                  ended = true;
                  answer = result == nullptr ? "" : *result;
                });
  }
  /// Ticks until a message goes out; how long that took.
  base::Duration untilSent() {
    outbox.clear();
    const base::TimePoint from = now;
    while (outbox.empty() && now - from < base::seconds(20)) {
      now += base::milliseconds(10);
      client.tick(now, outbox);
    }
    return now - from;
  }
  void respond(transport::CommandStatus status, base::NodeId leader = {}) {
    client.onResponse({kGroup, base::CallId{5}, status, leader, "done"}, now, outbox);
  }

  base::TimePoint now{};
  transport::Outbox outbox;
  consensus::GroupClient client;
  bool ended = false;
  base::Bytes answer;
};

}  // namespace

// Found on the bench (scale-2): gateways found a new leader only after a resend time-out for each
// replica that knew none.
Test(group_client, replica_without_a_leader_sends_the_call_on_soon) {
  Fixture fixture;
  fixture.call();
  cr_assert_eq(fixture.outbox.at(0).to.value, kFirst.value);
  fixture.respond(transport::CommandStatus::kNotLeader);
  cr_assert_leq(fixture.untilSent().count(), base::Duration(base::milliseconds(60)).count());
  cr_assert_eq(fixture.outbox.at(0).to.value, kSecond.value);
}

Test(group_client, lost_peer_sends_its_calls_elsewhere_soon) {
  Fixture fixture;
  fixture.call();
  fixture.client.onPeerLost(base::nodeNumber(kFirst));
  cr_assert_leq(fixture.untilSent().count(), base::Duration(base::milliseconds(60)).count());
  cr_assert_eq(fixture.outbox.at(0).to.value, kSecond.value);
  // The loss of a node that was not asked changes nothing.
  fixture.client.onPeerLost(base::nodeNumber(kFirst));
  cr_assert_gt(fixture.untilSent().count(), base::Duration(base::milliseconds(500)).count());
}

Test(group_client, redirect_is_followed_at_once) {
  Fixture fixture;
  fixture.call();
  fixture.outbox.clear();
  fixture.respond(transport::CommandStatus::kNotLeader, kSecond);
  cr_assert_eq(fixture.outbox.at(0).to.value, kSecond.value);
  fixture.respond(transport::CommandStatus::kOk);
  cr_assert(fixture.ended);
  cr_assert_eq(fixture.answer, "done");
}

Test(group_client, call_ends_at_its_deadline_without_a_result) {
  Fixture fixture;
  fixture.call();
  for (int i = 0; i < 2000 && !fixture.ended; ++i) {
    fixture.now += base::milliseconds(10);
    fixture.client.tick(fixture.now, fixture.outbox);
  }
  cr_assert(fixture.ended);
  cr_assert(fixture.answer.empty());
  cr_assert_eq(fixture.client.outstanding(), 0U);
}
