#include "consensus/group_client.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace consensus = tackpick::consensus;
namespace transport = tackpick::transport;

namespace {

constexpr base::GroupId kGroup{1};
constexpr base::NodeId kFirstReplica = base::makeNodeId(1, 0);
constexpr base::NodeId kSecondReplica = base::makeNodeId(2, 0);

struct Fixture {
  Fixture() : client({kGroup, {kFirstReplica, kSecondReplica}}, base::CallId{5}) {}

  void call() {
    client.call(transport::CommandKind::kLeaderCall, "x", now, outbox,
                [this](const base::Bytes* result, base::TimePoint) {
                  ended = true;
                  answer = result == nullptr ? "" : *result;
                });
  }
  /// Ticks until a message is sent and returns the time that this took.
  base::Duration timeToNextSend() {
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

// Guards against a full resend interval of delay for each called replica that has no leader.
Test(group_client, call_is_retried_soon_after_a_replica_without_a_leader) {
  Fixture fixture;
  fixture.call();
  cr_assert_eq(fixture.outbox.at(0).to.value, kFirstReplica.value);
  fixture.respond(transport::CommandStatus::kNotLeader);
  cr_assert_leq(fixture.timeToNextSend().count(), base::Duration(base::milliseconds(60)).count());
  cr_assert_eq(fixture.outbox.at(0).to.value, kSecondReplica.value);
}

Test(group_client, call_is_retried_soon_after_its_connection_is_lost) {
  Fixture fixture;
  fixture.call();
  fixture.client.onPeerLost(base::nodeNumber(kFirstReplica));
  cr_assert_leq(fixture.timeToNextSend().count(), base::Duration(base::milliseconds(60)).count());
  cr_assert_eq(fixture.outbox.at(0).to.value, kSecondReplica.value);
  // The loss of a connection to another node has no effect.
  fixture.client.onPeerLost(base::nodeNumber(kFirstReplica));
  cr_assert_gt(fixture.timeToNextSend().count(), base::Duration(base::milliseconds(500)).count());
}

Test(group_client, redirect_is_followed_at_once) {
  Fixture fixture;
  fixture.call();
  fixture.outbox.clear();
  fixture.respond(transport::CommandStatus::kNotLeader, kSecondReplica);
  cr_assert_eq(fixture.outbox.at(0).to.value, kSecondReplica.value);
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

// Guards against a promise about a call of which another copy is still on its way.
Test(group_client, unanswered_copy_of_an_answered_call_is_known) {
  for (const bool resent : {false, true}) {
    Fixture fixture;
    fixture.call();
    if (resent) {
      (void)fixture.timeToNextSend();
    }
    fixture.respond(transport::CommandStatus::kOk);
    cr_assert(fixture.ended);
    cr_assert_eq(fixture.client.anotherCopyMayArrive(), resent);
  }
}
