/// What a process makes of the controllers' views.
#include "cluster/cluster_member.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace cluster = tackpick::cluster;
namespace directory = tackpick::directory;
namespace jobs = tackpick::jobs;
namespace transport = tackpick::transport;

namespace {

constexpr base::GroupId kDirectory{1};
constexpr base::GroupId kLedgers{2};
constexpr std::uint32_t kFirstLedger = 100;

base::NodeId ledger(std::uint32_t index) { return base::makeNodeId(kFirstLedger + index, 1); }

struct Fixture {
  explicit Fixture(const directory::NodeRecord& own = record())
      : member(own, settings(), base::CallId{1}) {
    member.tick(now);
  }

  static directory::NodeRecord record() {
    directory::NodeRecord own;
    own.node = base::makeNodeId(1, 1);
    return own;
  }
  static cluster::ClusterMemberSettings settings() {
    cluster::ClusterMemberSettings made;
    made.directoryGroup = kDirectory;
    made.ledgerGroup = kLedgers;
    made.seeds = {base::makeNodeId(2, 0)};
    return made;
  }

  /// The controllers answer the watch under way.
  void tell(const directory::DirectoryView& view) {
    for (const transport::OutgoingMessage& outgoing : member.takeMessages()) {
      const auto* request = std::get_if<transport::CommandRequest>(&outgoing.message);
      if (request != nullptr && request->group == kDirectory) {
        watch = *base::decode<directory::DirectoryRequest>(request->payload);
        lastCall = request->call;
        answer(view);
      }
    }
  }
  /// The controllers answer the watch that was sent last.
  void answer(const directory::DirectoryView& view) {
    transport::CommandResponse response;
    response.group = kDirectory;
    response.call = lastCall;
    response.status = transport::CommandStatus::kOk;
    response.payload =
        base::encode(directory::DirectoryReply{directory::DirectoryStatus::kDone, {}, view});
    member.onResponse(response, now);
  }
  /// Time passes until the watch is sent (again); the number of the node that it goes to.
  [[nodiscard]] std::uint32_t askedNext() {
    while (true) {
      for (const transport::OutgoingMessage& outgoing : member.takeMessages()) {
        const auto* request = std::get_if<transport::CommandRequest>(&outgoing.message);
        if (request != nullptr && request->group == kDirectory) {
          lastCall = request->call;
          return base::nodeNumber(outgoing.to);
        }
      }
      now += base::milliseconds(100);
      member.tick(now);
    }
  }

  [[nodiscard]] std::uint64_t watchedRevision() {
    for (const transport::OutgoingMessage& outgoing : member.takeMessages()) {
      const auto* request = std::get_if<transport::CommandRequest>(&outgoing.message);
      if (request != nullptr && request->group == kDirectory) {
        watch = *base::decode<directory::DirectoryRequest>(request->payload);
      }
    }
    return std::get<directory::Watch>(watch).revision;
  }

  base::TimePoint now{};
  cluster::ClusterMember member;
  directory::DirectoryRequest watch;
  base::CallId lastCall;
};

directory::DirectoryView viewOfLedgers(std::uint32_t count) {
  directory::DirectoryView view;
  view.revision = 1;
  for (std::uint32_t i = 0; i < count; ++i) {
    view.ledgers.push_back({ledger(i), {}, false, "a"});
  }
  return view;
}

/// Whom a call that nobody answers is sent to, one after the other.
std::set<base::NodeId> askedLedgers(Fixture& fixture) {
  std::set<base::NodeId> asked;
  fixture.member.call(jobs::JobRequest{jobs::EndJob{"j"}}, base::seconds(20), fixture.now,
                      [](const jobs::JobReply*) {});
  for (int i = 0; i < 40; ++i) {
    for (const transport::OutgoingMessage& outgoing : fixture.member.takeMessages()) {
      const auto* request = std::get_if<transport::CommandRequest>(&outgoing.message);
      if (request != nullptr && request->group == kLedgers) {
        asked.insert(outgoing.to);
      }
    }
    fixture.now += base::milliseconds(300);
    fixture.member.tick(fixture.now);
  }
  return asked;
}

}  // namespace

Test(cluster_member, only_ledgers_that_may_know_the_leader_are_asked) {
  Fixture fixture;
  directory::DirectoryView view = viewOfLedgers(45);
  view.ledgerVoters = {ledger(7), ledger(20), ledger(44)};
  fixture.tell(view);
  cr_assert(askedLedgers(fixture) == view.ledgerVoters);
}

Test(cluster_member, all_ledgers_are_asked_while_no_voter_is_heard) {
  Fixture fixture;
  directory::DirectoryView view = viewOfLedgers(4);
  view.ledgerVoters = {ledger(50)};
  fixture.tell(view);
  cr_assert_eq(askedLedgers(fixture).size(), 4U);
}

Test(cluster_member, voters_are_remembered_while_the_controllers_know_none) {
  Fixture fixture;
  directory::DirectoryView view = viewOfLedgers(9);
  view.ledgerVoters = {ledger(3), ledger(4)};
  fixture.tell(view);
  view.ledgerVoters.clear();
  view.revision = 2;
  fixture.tell(view);
  cr_assert_eq(askedLedgers(fixture).size(), 2U);
}

Test(cluster_member, only_ledgers_that_keep_batches_are_near) {
  directory::NodeRecord own = Fixture::record();
  own.zone = "a";
  Fixture fixture(own);
  directory::DirectoryView view = viewOfLedgers(30);
  cr_assert_not(fixture.member.zoneLedger().valid());
  view.ledgerVoters = {ledger(17)};
  for (directory::LedgerSummary& summary : view.ledgers) {
    summary.silence = base::milliseconds(10);
  }
  view.ledgers[17].silence = base::milliseconds(400);
  fixture.tell(view);
  cr_assert(fixture.member.zoneLedger() == ledger(17));
  view.ledgerVoters = {ledger(40)};
  view.revision = 2;
  fixture.tell(view);
  cr_assert_not(fixture.member.zoneLedger().valid(), "no voter in the zone");
}

Test(cluster_member, changes_are_passed_on_only_when_they_follow_the_view_that_is_held) {
  Fixture fixture;
  std::vector<directory::DirectoryView> passedOn;
  fixture.member.onView([&](const directory::DirectoryView& news) { passedOn.push_back(news); });
  directory::DirectoryView view = viewOfLedgers(1);
  view.instances.resize(2);
  fixture.tell(view);
  cr_assert_eq(passedOn.size(), 1U);
  cr_assert(passedOn[0].isFull);
  cr_assert_eq(passedOn[0].instances.size(), 2U);
  directory::DirectoryView news = viewOfLedgers(2);
  news.isFull = false;
  news.since = 1;
  news.revision = 2;
  news.removed = {"a"};
  news.instances.resize(1);
  news.instances[0].versions["m"] = 5;
  fixture.tell(news);
  cr_assert_eq(passedOn.size(), 2U);
  cr_assert_eq(passedOn[1].removed.size(), 1U);
  cr_assert_eq(passedOn[1].instances.at(0).versions.at("m"), 5U);
  cr_assert_eq(fixture.member.view().ledgers.size(), 2U);
  cr_assert_eq(fixture.watchedRevision(), 2U);
}

Test(cluster_member, changes_to_another_view_are_not_taken_and_the_whole_is_asked_for) {
  Fixture fixture;
  int passedOn = 0;
  fixture.member.onView([&](const directory::DirectoryView&) { ++passedOn; });
  fixture.tell(viewOfLedgers(1));
  directory::DirectoryView news = viewOfLedgers(1);
  news.isFull = false;
  news.since = 7;
  news.revision = 8;
  fixture.tell(news);
  cr_assert_eq(passedOn, 1);
  cr_assert_eq(fixture.watchedRevision(), 0U);
}

Test(cluster_member, who_waits_for_the_whole_is_told_the_rest) {
  Fixture fixture;
  fixture.tell(viewOfLedgers(1));
  directory::DirectoryView rest = viewOfLedgers(3);
  rest.isFull = false;
  rest.since = 1;
  rest.revision = 1;
  fixture.tell(rest);
  cr_assert_eq(fixture.member.view().ledgers.size(), 3U);
  cr_assert_eq(fixture.watchedRevision(), 1U);
}

// The next watch says that the configuration is here, so nobody would send it again.
Test(cluster_member, configuration_told_with_changes_that_do_not_fit_is_passed_on_at_once) {
  Fixture fixture;
  std::uint64_t passedOn = 0;
  fixture.member.onConfiguration(
      [&](const directory::Configuration& newest) { passedOn = newest.version; });
  fixture.tell(viewOfLedgers(1));
  directory::DirectoryView news = viewOfLedgers(1);
  news.isFull = false;
  news.since = 7;
  news.revision = 8;
  news.configuration.emplace();
  news.configuration->version = 4;
  fixture.tell(news);
  cr_assert_eq(passedOn, 4U);
  news.configuration->version = 3;
  fixture.tell(news);
  cr_assert_eq(passedOn, 4U, "a configuration never goes back");
}

// An answer may have waited in a process that stood still.
Test(cluster_member, configuration_is_confirmed_up_to_when_the_watch_was_sent) {
  Fixture fixture;
  cr_assert_not(fixture.member.confirmedAt().has_value());
  const base::TimePoint asked = fixture.now;
  fixture.now += base::seconds(3);
  fixture.tell(viewOfLedgers(1));
  cr_assert(fixture.member.confirmedAt() == asked);
  cr_assert(fixture.member.lastContactAt() == fixture.now);
}

// Seeds that are gone for good would cost a resend interval each, with every change of leader.
Test(cluster_member, seeds_are_asked_only_once_no_controller_has_answered) {
  constexpr std::uint32_t kSeed = 2;
  constexpr std::uint32_t kLeader = 13;
  Fixture fixture;
  directory::DirectoryView view = viewOfLedgers(1);
  view.controllers = {base::makeNodeId(11, 1), base::makeNodeId(12, 1),
                      base::makeNodeId(kLeader, 1)};
  fixture.tell(view);
  while (fixture.askedNext() != kLeader) {
  }
  view.revision = 2;
  fixture.answer(view);
  std::vector<std::uint32_t> asked;
  for (int i = 0; i < 4; ++i) {
    asked.push_back(fixture.askedNext());
  }
  cr_assert(asked == (std::vector<std::uint32_t>{kLeader, 11, 12, kSeed}));
}
