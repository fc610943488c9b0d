/// The controllers' role with a log of its own on a simulated disk.
#include "directory/directory_role.h"

#include <criterion/criterion.h>

#include "simulation/simulated_disk.h"
#include "storage/segmented_log.h"

namespace base = tackpick::base;
namespace directory = tackpick::directory;
namespace simulation = tackpick::simulation;
namespace storage = tackpick::storage;
namespace transport = tackpick::transport;

namespace {

constexpr base::NodeId kSelf = base::makeNodeId(1, 0);
constexpr base::NodeId kGateway = base::makeNodeId(2, 1);

/// A group of one controller, whose process may be restarted.
struct LoneController {
  LoneController() { start(); }

  void start() {
    role.reset();
    log = base::recover(
        [&] {
          return storage::SegmentedLog::open(disk, {"cluster", kSelf, directory::kDirectoryGroup},
                                             {{kSelf}, {}});
        },
        [](const base::Error&) { return std::unique_ptr<storage::SegmentedLog>(); });
    role = std::make_unique<directory::DirectoryRole>(
        directory::NodeRecord{kSelf, directory::NodeRole::kController, "c", "z", "10.0.0.1:1"},
        directory::DirectorySettings{}, *log, random, now);
  }

  void run(base::Duration time) {
    for (const base::TimePoint end = now + time; now < end; now += base::milliseconds(10)) {
      role->tick(now);
      for (const auto& outgoing : role->finish(now).messages) {
        if (const auto* answer = std::get_if<transport::CommandResponse>(&outgoing.message)) {
          answers.push_back(*answer);
        }
      }
    }
  }

  void ask(const directory::DirectoryRequest& request) {
    transport::CommandRequest message;
    message.group = directory::kDirectoryGroup;
    message.call = base::CallId{++calls};
    message.payload = base::encode(request);
    role->handle(kGateway, message, now);
  }

  [[nodiscard]] directory::DirectoryView view() {
    directory::Watch watch;
    watch.node = {kGateway, directory::NodeRole::kGateway, "g", "z", ""};
    answers.clear();
    ask(watch);
    run(base::milliseconds(50));
    cr_assert_not(answers.empty());
    return *base::decode<directory::DirectoryReply>(answers.back().payload)->view;
  }

  simulation::SimulatedDisk disk;
  base::SeededRandom random{1};
  base::TimePoint now{base::seconds(100)};
  std::unique_ptr<storage::SegmentedLog> log;
  std::unique_ptr<directory::DirectoryRole> role;
  std::vector<transport::CommandResponse> answers;
  std::uint64_t calls = 0;
};

}  // namespace

Test(directory_role, weights_of_engines_outlive_the_leader) {
  LoneController controller;
  controller.run(base::seconds(3));
  directory::InstanceBeat beat;
  beat.record = {"e0", "s", "10.0.0.9", 1, "z", 4, false};
  beat.sequence = 1;
  beat.versions = {{"m", 5}};
  controller.ask(beat);
  controller.run(base::seconds(1));
  beat.sequence = 2;
  beat.versions = {{"m", 6}};
  controller.ask(beat);
  controller.run(base::seconds(1));
  controller.start();
  controller.run(base::seconds(3));
  const directory::DirectoryView view = controller.view();
  cr_assert_eq(view.instances.size(), 1U);
  cr_assert_eq(view.instances[0].versions.at("m"), 6U, "no heartbeat since the restart");
}
