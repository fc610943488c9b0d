/// Tests of crowds of clients at the operators' port of a controller, which also takes heartbeats.
#include <criterion/criterion.h>

#include "crowds/crowd_cluster.h"

using namespace tackpick::test;

namespace {

constexpr std::size_t kPieceBytes = 64U << 10U;
constexpr std::size_t kConnections = 900;
constexpr std::size_t kBodyBytes = std::size_t{32} << 20U;
constexpr std::size_t kBodies = 12;
constexpr const char* kReplace = "/Configuration.Replace";

/// Plays the script at a controller and checks all processes.
void checkCrowd(const ClientScript& script, std::size_t count) {
  CrowdCluster crowd;
  ClientCrowd clients(kCrowdController, crowd.cluster().httpPort(), script, count);
  clients.send();
  waitUntil(
      [&] {
        const std::string url = crowd.cluster().controlUrl(kCrowdController, "/Configuration.Read");
        const int status = sendRequest({"GET", url, "", {}, {}, 3}).status;
        return status == 200 || status == 503;
      },
      "the controller answers a read");
  crowd.expectOrdinaryRequestServed();
  crowd.expectWithinResources();
}

}  // namespace

Test(controller_crowds, bodies_that_stop_one_byte_before_their_end_exhaust_the_memory) {
  checkCrowd({headWithLength(kReplace, kBodyBytes), std::string(kPieceBytes, 'x'), kBodyBytes - 1},
             kBodies);
}

Test(controller_crowds, whole_bodies_that_are_not_json_exhaust_the_memory) {
  checkCrowd({headWithLength(kReplace, kBodyBytes), std::string(kPieceBytes, 'x'), kBodyBytes},
             kBodies);
}

Test(controller_crowds, body_of_nested_arrays_exhausts_the_memory) {
  checkCrowd({headWithLength(kReplace, kBodyBytes), std::string(kPieceBytes, '['), kBodyBytes}, 2);
}

Test(controller_crowds, heartbeat_of_nested_arrays_exhausts_the_memory) {
  checkCrowd({headWithLength("/Instances.Heartbeat/i-9", kBodyBytes), std::string(kPieceBytes, '['),
              kBodyBytes},
             2);
}

Test(controller_crowds, heads_without_a_body_exhaust_the_descriptors) {
  checkCrowd({headWithLength(kReplace, 1)}, kConnections);
}

Test(controller_crowds, connections_at_the_internal_port_exhaust_the_descriptors) {
  CrowdCluster crowd;
  ClientCrowd atController(kCrowdController, crowd.cluster().internalPort(), {""}, kConnections);
  ClientCrowd atLedger(kCrowdLedger, crowd.cluster().internalPort(), {""}, kConnections);
  atController.send();
  atLedger.send();
  crowd.expectOrdinaryRequestServed();
  crowd.expectWithinResources();
}
