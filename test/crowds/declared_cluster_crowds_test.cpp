/// Tests of crowds of clients at the processes of a declared cluster, whose settings declare no
/// resources.
#include <criterion/criterion.h>

#include "crowds/client_crowd.h"
#include "integration/fleet.h"

using namespace tackpick::test;

namespace {

constexpr const char* kHost = "127.0.0.1";
constexpr const char* kPath = "/v1/completions";
constexpr std::size_t kPieceBytes = 64U << 10U;
constexpr std::size_t kBodyBytes = (8U << 20U) - 1;
constexpr std::size_t kBodies = 60;
/// Memory for which a process without declared resources is designed.
constexpr std::size_t kDefaultKilobytes = 256'000;

void checkFleet(Fleet& fleet) {
  waitUntil(
      [&] {
        const Json body{{"workload", "ask"}, {"prompt", "[[tokens=2]]probe"}, {"max_tokens", 4}};
        return fleet.requestCompletion(fleet.gateways().front(), body).status == 200;
      },
      "a completion is served");
  for (auto* group : {&fleet.gateways(), &fleet.controllers()}) {
    Process& process = *group->front().process;
    cr_expect_not(process.hasExited());
    const std::size_t peak = process.peakKilobytes();
    cr_expect_leq(peak, kDefaultKilobytes, "%s used %zu KB", group->front().role.c_str(), peak);
  }
}

void checkCrowd(const ClientScript& script, std::size_t count) {
  Fleet fleet;
  ClientCrowd atGateway(kHost, fleet.gateways().front().httpPort, script, count);
  atGateway.send();
  ClientCrowd atController(kHost, fleet.controllers().front().httpPort, script, count);
  atController.send();
  checkFleet(fleet);
}

}  // namespace

Test(declared_cluster_crowds, bodies_that_stop_one_byte_before_their_end_exhaust_the_memory) {
  checkCrowd({headWithLength(kPath, kBodyBytes), std::string(kPieceBytes, 'x'), kBodyBytes - 1},
             kBodies);
}

Test(declared_cluster_crowds, body_of_nested_arrays_exhausts_the_memory) {
  std::string head = headWithLength(kPath, kBodyBytes);
  head.insert(head.find("Content-Length"), "Authorization: Bearer caller\r\n");
  checkCrowd({head, std::string(kPieceBytes, '['), kBodyBytes}, 4);
}
