#include "control/controller.h"

#include <criterion/criterion.h>

#include "simulation/simulated_disk.h"
#include "storage/segmented_log.h"

namespace base = tackpick::base;
namespace consensus = tackpick::consensus;
namespace control = tackpick::control;
namespace simulation = tackpick::simulation;
namespace storage = tackpick::storage;
namespace transport = tackpick::transport;

namespace {

constexpr base::GroupId kGroup{1};
constexpr base::NodeId kSelf = base::makeNodeId(1, 0);
constexpr base::NodeId kGateway = base::makeNodeId(2, 5);

/// A group of one controller.
struct Fixture {
  explicit Fixture(base::Duration machineListTimeout) {
    consensus::Membership initial;
    initial.voters = {kSelf};
    log = base::recover(
        [&] {
          return storage::SegmentedLog::open(disk, {"cluster", kSelf, kGroup}, initial);
        },
        [](const base::Error&) { return std::unique_ptr<storage::SegmentedLog>(); });
    control::ControllerSettings settings;
    settings.machineListTimeout = machineListTimeout;
    controller = std::make_unique<control::Controller>(kSelf, kGroup, settings, *log, random, now);
    run(base::seconds(1));
  }
  void run(base::Duration time) {
    for (const base::TimePoint end = now + time; now < end; now += base::milliseconds(10)) {
      controller->tick(now);
      (void)controller->finish(now);
    }
  }
  /// Whether a gateway gets a serving lease before the turn ends.
  bool grantsLeaseBeforeCommit() {
    controller->handle(kGateway, transport::WatchRequest{{7}, 1, {}, false}, now);
    return hasLease(controller->finish(now));
  }
  /// Whether a gateway that sends a watch request now gets a serving lease.
  bool grantsLease() {
    controller->handle(kGateway, transport::WatchRequest{{7}, 1, {}, false}, now);
    return hasLease(controller->finish(now));
  }
  static bool hasLease(const control::ControllerActions& actions) {
    for (const transport::OutgoingMessage& outgoing : actions.messages) {
      const auto* response = std::get_if<transport::WatchResponse>(&outgoing.message);
      if (response != nullptr && response->lease > base::Duration{0}) {
        return true;
      }
    }
    return false;
  }

  base::TimePoint now{base::seconds(50)};
  base::SeededRandom random{1};
  simulation::SimulatedDisk disk;
  std::unique_ptr<storage::SegmentedLog> log;
  std::unique_ptr<control::Controller> controller;
};

}  // namespace

// Guards against leases that a new leader grants before it has read the machine list: draining
// engines would get work.
Test(controller, new_leader_reads_the_machine_list_before_it_grants_leases) {
  Fixture fixture(base::seconds(3));
  cr_assert(fixture.controller->replica().raft().isLeader());
  cr_assert_not(fixture.grantsLease());
  control::MachineListEntry draining;
  draining.engine.engine = {3};
  draining.engine.incarnation = {1};
  draining.engine.draining = true;
  fixture.controller->onMachineList({draining}, fixture.now);
  cr_assert_not(fixture.grantsLeaseBeforeCommit(),
                "the contents of the list are not committed yet");
  cr_assert(fixture.grantsLease());
}

Test(controller, unreadable_machine_list_delays_leases_only_up_to_the_timeout) {
  Fixture fixture(base::seconds(3));
  cr_assert_not(fixture.grantsLease());
  fixture.run(base::seconds(3));
  cr_assert(fixture.grantsLease());
  Fixture without(base::Duration{0});
  cr_assert(without.grantsLease(), "the timeout for the machine list is zero");
}
