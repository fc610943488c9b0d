/// What a node is told of the controllers' view, and when.
#include "directory/view_history.h"

#include <criterion/criterion.h>

#include "directory/watch_queue.h"

namespace base = tackpick::base;
namespace cluster = tackpick::cluster;
namespace directory = tackpick::directory;

namespace {

constexpr std::uint64_t kFirst = 1000;

directory::InstanceView instance(const std::string& id, std::uint64_t version,
                                 base::Duration silence = {}) {
  directory::InstanceView view;
  view.record.id = id;
  view.versions["m"] = version;
  view.silence = silence;
  return view;
}

directory::DirectoryView present(std::vector<directory::InstanceView> instances) {
  directory::DirectoryView view;
  view.instances = std::move(instances);
  return view;
}

directory::ViewHistory historyOf(std::vector<directory::InstanceView> instances) {
  directory::ViewHistory history(base::milliseconds(2500));
  history.reset(kFirst);
  history.update(present(std::move(instances)));
  return history;
}

/// Collects who was answered, and with what.
struct Answers {
  void operator()(const cluster::ServiceCaller& caller, const base::Bytes& payload) {
    nodes.push_back(caller.node.value);
    views.push_back(*directory::viewOf(*base::decode<directory::DirectoryReply>(payload)));
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

Test(view_history, only_what_changed_since_is_told) {
  directory::ViewHistory history = historyOf({instance("a", 1), instance("b", 1)});
  const std::uint64_t held = history.revision();
  cr_assert(history.since(0).whole);
  cr_assert_eq(history.since(0).instances.size(), 2U);
  history.update(present({instance("a", 2), instance("c", 1)}));
  const directory::DirectoryView news = history.since(held);
  cr_assert_not(news.whole);
  cr_assert_eq(news.since, held);
  cr_assert_eq(news.instances.size(), 2U);
  cr_assert_eq(news.instances[0].record.id, "a");
  cr_assert_eq(news.instances[1].record.id, "c");
  cr_assert(news.removed == std::vector<std::string>{"b"});
  cr_assert(history.since(history.revision()).instances.empty());
}

Test(view_history, heartbeats_alone_change_nothing_but_long_silence_does) {
  directory::ViewHistory history = historyOf({instance("a", 1, base::milliseconds(100))});
  const std::uint64_t held = history.revision();
  history.update(present({instance("a", 1, base::milliseconds(1100))}));
  cr_assert_eq(history.revision(), held);
  history.update(present({instance("a", 1, base::milliseconds(2600))}));
  cr_assert_gt(history.revision(), held);
  const std::uint64_t silent = history.revision();
  history.update(present({instance("a", 1, base::milliseconds(3600))}));
  cr_assert_eq(history.since(silent).instances.at(0).silence, base::milliseconds(3600),
               "it is told as long as it lasts");
  history.update(present({instance("a", 1, base::milliseconds(10))}));
  cr_assert_eq(history.since(silent).instances.at(0).silence, base::milliseconds(10));
}

Test(view_history, views_of_another_leader_are_no_base) {
  directory::ViewHistory history = historyOf({instance("a", 1)});
  const std::uint64_t former = history.revision();
  history.reset(2 * kFirst);
  history.update(present({instance("a", 1)}));
  cr_assert(history.since(former).whole);
  cr_assert(history.since(history.revision() + 5).whole);
}

Test(watch_queue, gateways_are_told_together_and_ledgers_at_once) {
  directory::ViewHistory history = historyOf({instance("a", 1)});
  directory::WatchQueue queue({base::milliseconds(10), base::milliseconds(100)});
  const directory::Configuration configuration;
  constexpr std::size_t kNodes = 8;
  base::TimePoint now{base::seconds(1)};
  Answers answers;
  const auto answer = [&] {
    queue.answer(history, configuration, kNodes, {}, now, std::ref(answers));
  };
  queue.add({{1}, {}}, watchOf(history.revision()), now);
  queue.add({{2}, {}}, watchOf(history.revision()), now);
  answer();
  cr_assert(answers.nodes.empty(), "nothing is new");
  history.update(present({instance("a", 2)}));
  answer();
  cr_assert_eq(answers.nodes.size(), 2U);
  cr_assert_eq(answers.views[0].instances.size(), 1U);
  const std::uint64_t held = history.revision();
  queue.add({{1}, {}}, watchOf(held), now);
  queue.add({{3}, {}}, watchOf(held, directory::NodeRole::kLedger), now);
  history.update(present({instance("a", 3)}));
  now += base::milliseconds(20);
  answer();
  cr_assert_eq(answers.nodes.size(), 3U);
  cr_assert_eq(answers.nodes[2], 3U, "it places work");
  now += base::milliseconds(60);
  answer();
  cr_assert_eq(answers.nodes.size(), 4U, "80 ms for eight nodes are over");
}

Test(watch_queue, configuration_and_the_end_of_the_hold_are_not_paced) {
  directory::ViewHistory history = historyOf({});
  directory::WatchQueue queue({base::milliseconds(100), base::seconds(10)});
  directory::Configuration configuration;
  base::TimePoint now{base::seconds(1)};
  Answers answers;
  const auto answer = [&] {
    queue.answer(history, configuration, 100, {}, now, std::ref(answers));
  };
  queue.add({{1}, {}}, watchOf(history.revision()), now);
  now += base::milliseconds(499);
  answer();
  cr_assert(answers.nodes.empty());
  now += base::milliseconds(1);
  answer();
  cr_assert_eq(answers.nodes.size(), 1U);
  queue.add({{1}, {}}, watchOf(history.revision()), now);
  configuration.version = 7;
  answer();
  cr_assert_eq(answers.nodes.size(), 2U);
  cr_assert_eq(answers.views[1].configuration->version, 7U);
  cr_assert_not(answers.views[1].whole);
}

Test(packed_view, is_a_fraction_of_the_view_and_the_same_again) {
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
  directory::packView(reply);
  cr_assert_lt(base::encode(reply).size() * 4, plain);
  const auto view = directory::viewOf(reply);
  cr_assert(view.has_value());
  cr_assert_eq(view->revision, 5U);
  cr_assert_eq(view->instances.size(), 3000U);
  cr_assert_eq(view->instances[42].versions.at("third"), 9U);
  reply.packedView.resize(reply.packedView.size() / 2);
  cr_assert_not(directory::viewOf(reply).has_value(), "damaged");
}
