/// Tests how a process handles the views of the controllers.
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

  /// Receives the pending watch and answers it with `view`.
  void answerNextWatch(const directory::DirectoryView& view) {
    for (const transport::OutgoingMessage& outgoing : member.takeMessages()) {
      const auto* request = std::get_if<transport::CommandRequest>(&outgoing.message);
      if (request != nullptr && request->group == kDirectory) {
        watch = *base::decode<directory::DirectoryRequest>(request->payload);
        lastCall = request->call;
        answerLastWatch(view);
      }
    }
  }
  /// Answers the watch that was received last.
  void answerLastWatch(const directory::DirectoryView& view) {
    transport::CommandResponse response;
    response.group = kDirectory;
    response.call = lastCall;
    response.status = transport::CommandStatus::kOk;
    response.payload =
        base::encode(directory::DirectoryReply{directory::DirectoryStatus::kDone, {}, view});
    member.onResponse(response, now);
  }
  /// Advances the time until the next watch is sent and returns the number of its target node.
  [[nodiscard]] std::uint32_t nextWatchTarget() {
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

/// Returns the ledgers to which an unanswered call is sent.
std::set<base::NodeId> contactedLedgers(Fixture& fixture) {
  std::set<base::NodeId> contacted;
  fixture.member.call(jobs::JobRequest{jobs::EndJob{"j"}}, base::seconds(20), fixture.now,
                      [](const jobs::JobReply*) {});
  for (int i = 0; i < 40; ++i) {
    for (const transport::OutgoingMessage& outgoing : fixture.member.takeMessages()) {
      const auto* request = std::get_if<transport::CommandRequest>(&outgoing.message);
      if (request != nullptr && request->group == kLedgers) {
        contacted.insert(outgoing.to);
      }
    }
    fixture.now += base::milliseconds(300);
    fixture.member.tick(fixture.now);
  }
  return contacted;
}

}  // namespace

Test(cluster_member, only_voters_of_the_ledgers_are_called) {
  Fixture fixture;
  directory::DirectoryView view = viewOfLedgers(45);
  view.ledgerVoters = {ledger(7), ledger(20), ledger(44)};
  fixture.answerNextWatch(view);
  cr_assert(contactedLedgers(fixture) == view.ledgerVoters);
}

Test(cluster_member, all_ledgers_are_called_while_no_voter_is_responsive) {
  Fixture fixture;
  directory::DirectoryView view = viewOfLedgers(4);
  view.ledgerVoters = {ledger(50)};
  fixture.answerNextWatch(view);
  cr_assert_eq(contactedLedgers(fixture).size(), 4U);
}

Test(cluster_member, last_voters_are_kept_while_the_controllers_report_none) {
  Fixture fixture;
  directory::DirectoryView view = viewOfLedgers(9);
  view.ledgerVoters = {ledger(3), ledger(4)};
  fixture.answerNextWatch(view);
  view.ledgerVoters.clear();
  view.revision = 2;
  fixture.answerNextWatch(view);
  cr_assert_eq(contactedLedgers(fixture).size(), 2U);
}

Test(cluster_member, zone_ledger_is_a_voter) {
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
  fixture.answerNextWatch(view);
  cr_assert(fixture.member.zoneLedger() == ledger(17));
  view.ledgerVoters = {ledger(40)};
  view.revision = 2;
  fixture.answerNextWatch(view);
  cr_assert_not(fixture.member.zoneLedger().valid(), "no voter in the zone");
}

Test(cluster_member, incremental_views_are_passed_on_if_they_follow_the_current_view) {
  Fixture fixture;
  std::vector<directory::DirectoryView> updates;
  fixture.member.onView([&](const directory::DirectoryView& update) { updates.push_back(update); });
  directory::DirectoryView view = viewOfLedgers(1);
  view.instances.resize(2);
  fixture.answerNextWatch(view);
  cr_assert_eq(updates.size(), 1U);
  cr_assert(updates[0].isFull);
  cr_assert_eq(updates[0].instances.size(), 2U);
  directory::DirectoryView update = viewOfLedgers(2);
  update.isFull = false;
  update.baseRevision = 1;
  update.revision = 2;
  update.removed = {"a"};
  update.instances.resize(1);
  update.instances[0].versions["m"] = 5;
  fixture.answerNextWatch(update);
  cr_assert_eq(updates.size(), 2U);
  cr_assert_eq(updates[1].removed.size(), 1U);
  cr_assert_eq(updates[1].instances.at(0).versions.at("m"), 5U);
  cr_assert_eq(fixture.member.view().ledgers.size(), 2U);
  cr_assert_eq(fixture.watchedRevision(), 2U);
}

Test(cluster_member, incremental_views_of_another_view_are_dropped_and_a_full_one_is_requested) {
  Fixture fixture;
  int updates = 0;
  fixture.member.onView([&](const directory::DirectoryView&) { ++updates; });
  fixture.answerNextWatch(viewOfLedgers(1));
  directory::DirectoryView update = viewOfLedgers(1);
  update.isFull = false;
  update.baseRevision = 7;
  update.revision = 8;
  fixture.answerNextWatch(update);
  cr_assert_eq(updates, 1);
  cr_assert_eq(fixture.watchedRevision(), 0U);
}

Test(cluster_member, incremental_view_without_a_new_revision_is_applied) {
  Fixture fixture;
  fixture.answerNextWatch(viewOfLedgers(1));
  directory::DirectoryView incremental = viewOfLedgers(3);
  incremental.isFull = false;
  incremental.baseRevision = 1;
  incremental.revision = 1;
  fixture.answerNextWatch(incremental);
  cr_assert_eq(fixture.member.view().ledgers.size(), 3U);
  cr_assert_eq(fixture.watchedRevision(), 1U);
}

// Guards against a configuration that is dropped with its view: the next watch reports its version,
// so the controllers would not send it again.
Test(cluster_member, configuration_is_passed_on_even_if_its_incremental_view_is_dropped) {
  Fixture fixture;
  std::uint64_t passedVersion = 0;
  fixture.member.onConfiguration(
      [&](const directory::Configuration& newest) { passedVersion = newest.version; });
  fixture.answerNextWatch(viewOfLedgers(1));
  directory::DirectoryView update = viewOfLedgers(1);
  update.isFull = false;
  update.baseRevision = 7;
  update.revision = 8;
  update.configuration.emplace();
  update.configuration->version = 4;
  fixture.answerNextWatch(update);
  cr_assert_eq(passedVersion, 4U);
  update.configuration->version = 3;
  fixture.answerNextWatch(update);
  cr_assert_eq(passedVersion, 4U, "an older configuration is ignored");
}

// Guards against a configuration that counts as current as of its arrival: the answer may have been
// delayed, for instance while the process was frozen.
Test(cluster_member, configuration_is_confirmed_up_to_when_the_watch_was_sent) {
  Fixture fixture;
  cr_assert_not(fixture.member.configurationConfirmedAt().has_value());
  const base::TimePoint sentAt = fixture.now;
  fixture.now += base::seconds(3);
  fixture.answerNextWatch(viewOfLedgers(1));
  cr_assert(fixture.member.configurationConfirmedAt() == sentAt);
  cr_assert(fixture.member.lastContactAt() == fixture.now);
}

// Guards against calls to lost seeds, each of which costs a resend interval at a change of leader.
Test(cluster_member, seeds_are_contacted_only_if_no_controller_answers) {
  constexpr std::uint32_t kSeed = 2;
  constexpr std::uint32_t kLeader = 13;
  Fixture fixture;
  directory::DirectoryView view = viewOfLedgers(1);
  view.controllers = {base::makeNodeId(11, 1), base::makeNodeId(12, 1),
                      base::makeNodeId(kLeader, 1)};
  fixture.answerNextWatch(view);
  while (fixture.nextWatchTarget() != kLeader) {
  }
  view.revision = 2;
  fixture.answerLastWatch(view);
  std::vector<std::uint32_t> targets;
  for (int i = 0; i < 4; ++i) {
    targets.push_back(fixture.nextWatchTarget());
  }
  cr_assert(targets == (std::vector<std::uint32_t>{kLeader, 11, 12, kSeed}));
}
