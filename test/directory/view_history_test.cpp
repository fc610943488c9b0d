/// Views sent to nodes, and their timing.
#include "directory/view_history.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <ctime>

#include "directory/watch_queue.h"

namespace base = tackpick::base;
namespace cluster = tackpick::cluster;
namespace directory = tackpick::directory;

namespace {

constexpr std::uint64_t kFirst = 1000;

directory::InstanceView instance(const std::string& id, std::uint64_t version,
                                 bool unresponsive = false) {
  directory::InstanceView view;
  view.record.id = id;
  view.versions["m"] = version;
  view.unresponsive = unresponsive;
  return view;
}

void update(directory::ViewHistory& history, const std::vector<directory::InstanceView>& views) {
  std::vector<directory::InstanceViewRef> instances;
  for (const directory::InstanceView& view : views) {
    instances.push_back({&view.record, &view.versions, view.unresponsive, view.loading});
  }
  history.update(instances, {});
}

directory::ViewHistory historyOf(const std::vector<directory::InstanceView>& instances) {
  directory::ViewHistory history;
  history.reset(kFirst);
  update(history, instances);
  return history;
}

/// Collects the replies and their recipients.
struct Replies {
  void operator()(const cluster::ServiceCaller& caller, const base::Bytes& payload) {
    nodes.push_back(caller.node.value);
    views.push_back(*directory::decodeView(*base::decode<directory::DirectoryReply>(payload)));
  }
  std::vector<std::uint64_t> nodes;
  std::vector<directory::DirectoryView> views;
};

directory::Watch watchOf(std::uint64_t revision,
                         directory::NodeRole role = directory::NodeRole::kGateway) {
  directory::Watch watch;
  watch.node.role = role;
  watch.revision = revision;
  watch.hold = base::milliseconds(500);
  return watch;
}

}  // namespace

Test(view_history, incremental_view_contains_only_changes) {
  directory::ViewHistory history = historyOf({instance("a", 1), instance("b", 1)});
  const std::uint64_t held = history.revision();
  cr_assert(history.changesSince(0).isFull);
  cr_assert_eq(history.changesSince(0).instances.size(), 2U);
  update(history, {instance("a", 2), instance("c", 1)});
  const directory::DirectoryView changes = history.changesSince(held);
  cr_assert_not(changes.isFull);
  cr_assert_eq(changes.baseRevision, held);
  cr_assert_eq(changes.instances.size(), 2U);
  cr_assert_eq(changes.instances[0].record.id, "a");
  cr_assert_eq(changes.instances[1].record.id, "c");
  cr_assert(changes.removed == std::vector<std::string>{"b"});
  cr_assert(history.changesSince(history.revision()).instances.empty());
}

Test(view_history, heartbeats_change_nothing_and_unresponsiveness_is_sent_once) {
  directory::ViewHistory history = historyOf({instance("a", 1), instance("b", 1)});
  const std::uint64_t held = history.revision();
  update(history, {instance("a", 1), instance("b", 1)});
  cr_assert_eq(history.revision(), held);
  update(history, {instance("a", 1, true), instance("b", 1)});
  const std::uint64_t unresponsive = history.revision();
  cr_assert_gt(unresponsive, held);
  cr_assert_eq(history.changesSince(held).instances.size(), 1U);
  cr_assert(history.changesSince(held).instances[0].unresponsive);
  // Many instances may be unresponsive for long; the change must be sent only once.
  update(history, {instance("a", 1, true), instance("b", 1)});
  cr_assert_eq(history.revision(), unresponsive);
  cr_assert(history.changesSince(unresponsive).instances.empty());
  update(history, {instance("a", 1), instance("b", 1)});
  cr_assert_not(history.changesSince(unresponsive).instances.at(0).unresponsive);
}

Test(view_history, replacing_half_of_a_large_cluster_needs_no_full_view) {
  constexpr int kInstances = 10'000;
  constexpr int kReplaced = 5'000;
  const auto fleet = [&](int replaced) {
    std::vector<directory::InstanceView> views;
    for (int i = replaced; i < kInstances + replaced; ++i) {
      views.push_back(instance("e" + std::to_string(kInstances + i), 1));
    }
    std::sort(views.begin(), views.end(),
              [](const auto& left, const auto& right) { return left.record.id < right.record.id; });
    return views;
  };
  directory::ViewHistory history = historyOf(fleet(0));
  const std::uint64_t held = history.revision();
  update(history, fleet(kReplaced));
  const directory::DirectoryView changes = history.changesSince(held);
  cr_assert_not(changes.isFull);
  cr_assert_eq(changes.removed.size(), static_cast<std::size_t>(kReplaced));
  cr_assert_eq(changes.instances.size(), static_cast<std::size_t>(kReplaced));
  update(history, fleet(2 * kReplaced));
  update(history, fleet(4 * kReplaced));
  cr_assert(history.changesSince(held).isFull, "tombstones are pruned");
  cr_assert_not(history.changesSince(history.revision() - 1).isFull);
}

// Guards against a comparison that copies all instances.
Test(view_history, comparison_of_a_large_cluster_is_cheap) {
  constexpr int kInstances = 10'000;
  constexpr int kRounds = 100;
  std::vector<directory::InstanceView> views;
  for (int i = 0; i < kInstances; ++i) {
    views.push_back(instance("e" + std::to_string(kInstances + i), 1));
  }
  directory::ViewHistory history = historyOf(views);
  const std::clock_t startedAt = std::clock();
  for (int round = 0; round < kRounds; ++round) {
    views[static_cast<std::size_t>(round)].versions["m"] = 2;
    const std::uint64_t held = history.revision();
    update(history, views);
    cr_assert_eq(history.changesSince(held).instances.size(), 1U);
  }
  cr_assert_lt(static_cast<double>(std::clock() - startedAt) / CLOCKS_PER_SEC, 2.0);
}

Test(view_history, views_of_another_leader_need_a_full_view) {
  directory::ViewHistory history = historyOf({instance("a", 1)});
  const std::uint64_t former = history.revision();
  history.reset(2 * kFirst);
  update(history, {instance("a", 1)});
  cr_assert(history.changesSince(former).isFull);
  cr_assert(history.changesSince(history.revision() + 5).isFull);
}

Test(watch_queue, gateways_get_changes_together_and_ledgers_at_once) {
  directory::ViewHistory history = historyOf({instance("a", 1)});
  directory::WatchQueue queue({base::milliseconds(10), base::milliseconds(100), 1U << 20U});
  const directory::Configuration configuration;
  constexpr std::size_t kNodes = 8;
  base::TimePoint now{base::seconds(1)};
  Replies replies;
  const auto sendReplies = [&] {
    queue.sendReplies(history, configuration, kNodes, {}, now, std::ref(replies));
  };
  queue.add({{1}, {}}, watchOf(history.revision()), now);
  queue.add({{2}, {}}, watchOf(history.revision()), now);
  sendReplies();
  cr_assert(replies.nodes.empty(), "there are no changes");
  update(history, {instance("a", 2)});
  sendReplies();
  cr_assert_eq(replies.nodes.size(), 2U);
  cr_assert_eq(replies.views[0].instances.size(), 1U);
  const std::uint64_t held = history.revision();
  queue.add({{1}, {}}, watchOf(held), now);
  queue.add({{3}, {}}, watchOf(held, directory::NodeRole::kLedger), now);
  update(history, {instance("a", 3)});
  now += base::milliseconds(20);
  sendReplies();
  cr_assert_eq(replies.nodes.size(), 3U);
  cr_assert_eq(replies.nodes[2], 3U, "ledgers assign work");
  now += base::milliseconds(60);
  sendReplies();
  cr_assert_eq(replies.nodes.size(), 4U, "the interval of 80 ms for eight nodes has passed");
}

Test(watch_queue, configurations_and_expired_watches_are_not_delayed) {
  directory::ViewHistory history = historyOf({});
  directory::WatchQueue queue({base::milliseconds(100), base::seconds(10), 1U << 20U});
  directory::Configuration configuration;
  base::TimePoint now{base::seconds(1)};
  Replies replies;
  const auto sendReplies = [&] {
    queue.sendReplies(history, configuration, 100, {}, now, std::ref(replies));
  };
  queue.add({{1}, {}}, watchOf(history.revision()), now);
  now += base::milliseconds(499);
  sendReplies();
  cr_assert(replies.nodes.empty());
  now += base::milliseconds(1);
  sendReplies();
  cr_assert_eq(replies.nodes.size(), 1U);
  queue.add({{1}, {}}, watchOf(history.revision()), now);
  configuration.version = 7;
  sendReplies();
  cr_assert_eq(replies.nodes.size(), 2U);
  cr_assert_eq(replies.views[1].configuration->version, 7U);
  cr_assert_not(replies.views[1].isFull);
}

Test(watch_queue, gateways_get_only_voting_ledgers_while_one_is_reachable) {
  directory::ViewHistory history;
  history.reset(kFirst);
  directory::DirectoryView sharedView;
  for (std::uint32_t i = 1; i <= 20; ++i) {
    sharedView.ledgers.push_back({base::makeNodeId(i, 1), base::milliseconds(100), false, "z"});
  }
  sharedView.ledgerVoters = {base::makeNodeId(3, 1), base::makeNodeId(4, 1)};
  sharedView.ledgers[3].silence = base::seconds(9);
  history.update({}, sharedView);
  directory::WatchQueue queue({base::microseconds(400), base::seconds(1), 1U << 20U});
  base::TimePoint now{base::seconds(1)};
  Replies replies;
  queue.add({{1}, {}}, watchOf(0), now);
  queue.add({{2}, {}}, watchOf(0, directory::NodeRole::kLedger), now);
  queue.sendReplies(history, {}, 20, {}, now, std::ref(replies));
  cr_assert_eq(replies.views[0].ledgers.size(), 2U);
  cr_assert_eq(replies.views[1].ledgers.size(), 20U, "ledgers found and repair their group");
  sharedView.ledgers[2].silence = base::seconds(9);
  history.update({}, sharedView);
  now += base::seconds(1);
  queue.add({{1}, {}}, watchOf(0), now);
  queue.sendReplies(history, {}, 20, {}, now, std::ref(replies));
  cr_assert_eq(replies.views[2].ledgers.size(), 20U, "no voter is reachable");
}

Test(watch_queue, full_views_are_rate_limited_and_configurations_are_not) {
  constexpr std::uint64_t kNodes = 400;
  std::vector<directory::InstanceView> views;
  for (int i = 0; i < 2000; ++i) {
    views.push_back(instance("e" + std::to_string(100'000 + i * 7919 % 90'000), 1));
  }
  std::sort(views.begin(), views.end(),
            [](const auto& left, const auto& right) { return left.record.id < right.record.id; });
  directory::ViewHistory history = historyOf(views);
  constexpr std::size_t kBytesPerSecond = 2'000'000;
  directory::WatchQueue queue({base::microseconds(400), base::seconds(1), kBytesPerSecond});
  directory::Configuration configuration;
  configuration.version = 7;
  base::TimePoint now{base::seconds(1)};
  std::map<std::uint64_t, directory::DirectoryView> held;
  std::size_t fullViewBytes = 0;
  const auto sendReplies = [&](const cluster::ServiceCaller& caller, const base::Bytes& payload) {
    directory::DirectoryView& view = held[caller.node.value];
    view = *directory::decodeView(*base::decode<directory::DirectoryReply>(payload));
    fullViewBytes += view.isFull ? payload.size() : 0;
  };
  // All nodes hold a view of the former leader; the last five are ledgers.
  for (std::uint64_t node = 1; node <= kNodes; ++node) {
    directory::Watch watch = watchOf(kFirst - 1, node > kNodes - 5 ? directory::NodeRole::kLedger
                                                                   : directory::NodeRole::kGateway);
    queue.add({{node}, {}}, watch, now);
  }
  queue.sendReplies(history, configuration, kNodes, {}, now, sendReplies);
  cr_assert_eq(held.size(), kNodes, "every node lacks the configuration");
  std::size_t fullViews = 0;
  for (const auto& [node, view] : held) {
    cr_assert_eq(view.configuration->version, 7U);
    fullViews += view.isFull ? 1 : 0;
    cr_assert(view.isFull || (view.baseRevision == kFirst - 1 && view.revision == kFirst - 1));
  }
  cr_assert_gt(fullViews, 0U);
  cr_assert_lt(fullViews, kNodes);
  cr_assert(held.at(kNodes).isFull, "ledgers come first");
  // Nodes without the full view watch again; the configured rate must not be exceeded.
  const base::TimePoint startedAt = now;
  while (now - startedAt < base::seconds(60) && fullViews < kNodes) {
    for (const auto& [node, view] : held) {
      if (view.revision != history.revision()) {
        directory::Watch watch = watchOf(view.revision);
        watch.configurationVersion = 7;
        watch.hold = base::milliseconds(100);
        queue.add({{node}, {}}, watch, now);
      }
    }
    now += base::milliseconds(100);
    queue.sendReplies(history, configuration, kNodes, {}, now, sendReplies);
    fullViews =
        static_cast<std::size_t>(std::count_if(held.begin(), held.end(), [&](const auto& it) {
          return it.second.revision == history.revision();
        }));
  }
  cr_assert_eq(fullViews, kNodes);
  constexpr double kBurstSeconds = 0.5;
  cr_assert_leq(static_cast<double>(fullViewBytes),
                kBytesPerSecond * (base::toSeconds(now - startedAt) + kBurstSeconds));
}

Test(compressed_view, is_smaller_and_decodes_to_the_same_view) {
  directory::DirectoryReply reply;
  reply.view.emplace();
  for (int i = 0; i < 3000; ++i) {
    directory::InstanceView instance;
    instance.record.id = "i-" + std::to_string(i * 7919);
    instance.record.service = "engines";
    instance.record.host = "10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250);
    instance.versions = {{"first", 7}, {"second", 8}, {"third", 9}};
    reply.view->instances.push_back(instance);
  }
  reply.view->revision = 5;
  const std::size_t plain = base::encode(reply).size();
  directory::compressView(reply);
  cr_assert_lt(base::encode(reply).size() * 4, plain);
  const auto view = directory::decodeView(reply);
  cr_assert(view.has_value());
  cr_assert_eq(view->revision, 5U);
  cr_assert_eq(view->instances.size(), 3000U);
  cr_assert_eq(view->instances[42].versions.at("third"), 9U);
  reply.compressedView.resize(reply.compressedView.size() / 2);
  cr_assert_not(directory::decodeView(reply).has_value(), "damaged");
}
