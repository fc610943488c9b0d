/// Tests responses to calls at a replica.
#include "cluster/group_service.h"

#include <criterion/criterion.h>

#include "simulation/simulated_disk.h"
#include "storage/segmented_log.h"

namespace base = tackpick::base;
namespace cluster = tackpick::cluster;
namespace consensus = tackpick::consensus;
namespace simulation = tackpick::simulation;
namespace storage = tackpick::storage;
namespace transport = tackpick::transport;

namespace {

constexpr base::GroupId kGroup{1};
constexpr base::NodeId kSelf = base::makeNodeId(1, 1);
constexpr base::NodeId kCaller = base::makeNodeId(2, 1);

class CountingMachine final : public consensus::StateMachine {
 public:
  base::Bytes apply(consensus::LogIndex, const base::Bytes&) override {
    ++applied;
    return {};
  }
  [[nodiscard]] base::Bytes query(const base::Bytes&) const override { return {}; }
  [[nodiscard]] base::Bytes takeSnapshot() const override { return {}; }
  void loadSnapshot(const base::Bytes&) override {}

  int applied = 0;
};

/// Group with a single replica, which becomes leader during construction.
struct SingleReplica {
  SingleReplica() {
    log = base::recover(
        [&] {
          return storage::SegmentedLog::open(disk, {"cluster", kSelf, kGroup}, {{kSelf}, {}});
        },
        [](const base::Error&) { return std::unique_ptr<storage::SegmentedLog>(); });
    replica = std::make_unique<consensus::Replica>(kSelf, kGroup, consensus::ReplicaSettings{},
                                                   *log, machine, random, now);
    service = std::make_unique<cluster::GroupService>(kSelf, *replica);
    run(base::seconds(2));
  }

  void run(base::Duration time) {
    for (const base::TimePoint end = now + time; now < end; now += base::milliseconds(10)) {
      replica->tick(now);
      transport::Outbox outbox;
      replica->finish(now, outbox);
    }
  }

  simulation::SimulatedDisk disk;
  base::SeededRandom random{1};
  base::TimePoint now{base::seconds(10)};
  CountingMachine machine;
  std::unique_ptr<storage::SegmentedLog> log;
  std::unique_ptr<consensus::Replica> replica;
  std::unique_ptr<cluster::GroupService> service;
};

}  // namespace

Test(group_service, repeated_call_is_proposed_once_while_it_is_pending) {
  SingleReplica single;
  const cluster::ServiceCaller first{kCaller, base::CallId{7}};
  single.service->proposeFor(first, "command", "done", single.now);
  single.service->proposeFor(first, "command", "done", single.now);
  single.service->proposeFor({kCaller, base::CallId{8}}, "command", "done", single.now);
  single.run(base::milliseconds(50));
  cr_assert_eq(single.machine.applied, 2);
  cr_assert_eq(single.service->outbox().size(), 2U);
  single.service->proposeFor(first, "command", "done", single.now);
  single.run(base::milliseconds(50));
  cr_assert_eq(single.machine.applied, 3, "the response may have been lost");
}
