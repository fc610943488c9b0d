/// Tests of autoscaling and of draining engines, with real processes.
#include <criterion/criterion.h>

#include <map>

#include "integration/fake_engine.h"
#include "integration/fake_scale_platform.h"
#include "integration/test_cluster.h"

using tackpick::runtime::Json;
using tackpick::test::batchConfiguration;
using tackpick::test::FakeEngine;
using tackpick::test::FakeScalePlatform;
using tackpick::test::HttpResponse;
using tackpick::test::waitUntil;
using Cluster = tackpick::test::TestCluster;

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr const char* kGateway = "127.0.3.1";

Json configurationWithScaling(std::uint64_t version, int minimum, int maximum) {
  Json configuration = batchConfiguration(version);
  configuration["services"][0]["scaling"] = {{"minimum", minimum},
                                             {"maximum", maximum},
                                             {"bootTimeS", 1},
                                             {"spotPrice", 0.2},
                                             {"zonePrices", {{"a", 1.0}}}};
  return configuration;
}

void sendHeartbeat(Cluster& cluster, const FakeEngine& engine, Json heartbeat) {
  cr_assert_eq(
      cluster.callController("POST", "/Instances.Heartbeat/" + engine.id(), std::move(heartbeat))
          .status,
      kOk);
}

Json drainingHeartbeat(const FakeEngine& engine, std::uint64_t sequence, int leavesMs) {
  Json heartbeat = engine.heartbeat(sequence);
  heartbeat["state"] = "draining";
  heartbeat["leaves_ms"] = leavesMs;
  return heartbeat;
}

/// Returns the on-demand pool from the capacity report.
Json readOnDemandPool(Cluster& cluster) {
  const HttpResponse response = cluster.callController("GET", "/v1/capacity", nullptr);
  const Json body = Json::parse(response.body);
  for (const Json& entry : body["pools"]) {
    if (entry["kind"] == "ordinary") {
      return entry;
    }
  }
  return Json::object();
}

}  // namespace

Test(capacity, replacement_is_requested_across_leader_change) {
  FakeScalePlatform fakePlatform;
  Cluster cluster({.platformPort = fakePlatform.port()});
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", configurationWithScaling(1, 1, 9))
          .status,
      kOk);
  const FakeEngine first("i-1");
  const FakeEngine second("i-2");
  sendHeartbeat(cluster, first, first.heartbeat(1));
  sendHeartbeat(cluster, second, second.heartbeat(1));
  waitUntil([&] { return readOnDemandPool(cluster).value("there", 0) == 2; },
            "both instances are counted");
  cr_assert(fakePlatform.calls().empty(), "no scaling is needed");

  fakePlatform.setUnresponsive(true);
  sendHeartbeat(cluster, second, drainingHeartbeat(second, 2, 2000));
  waitUntil([&] { return !fakePlatform.calls().empty(); }, "a replacement is requested");
  cr_assert_eq(fakePlatform.calls()[0].count, 2U);
  const std::string holder = cluster.leader("127.0.1.");
  cluster.machine(holder).process->kill();
  fakePlatform.setUnresponsive(false);
  waitUntil([&] { return fakePlatform.calls().back().fence > fakePlatform.calls()[0].fence; },
            "another controller holds the duty");
  waitUntil([&] { return readOnDemandPool(cluster).value("taken", false); },
            "the call is accepted");
  cr_assert_eq(readOnDemandPool(cluster).value("desired", 0), 2);

  std::map<std::uint64_t, std::string> holders;
  std::uint64_t highest = 0;
  for (const FakeScalePlatform::Call& call : fakePlatform.calls()) {
    cr_assert_eq(call.count, 2U);
    cr_assert_eq(holders.try_emplace(call.fence, call.holder).first->second, call.holder);
    cr_assert_geq(call.fence, highest);
    highest = std::max(highest, call.fence);
  }
}

Test(capacity, invalid_bounds_are_rejected) {
  Cluster cluster;
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", configurationWithScaling(1, 1, 9))
          .status,
      kOk);
  Json invalid = configurationWithScaling(2, 1, 9);
  invalid["services"][0]["scaling"]["maximum"] = "many";
  for (const Json& rejected : {configurationWithScaling(2, 9, 1), invalid}) {
    cr_assert_eq(cluster.callController("POST", "/Configuration.Replace", rejected).status,
                 kBadRequest);
  }
  const HttpResponse response = cluster.callController("GET", "/Configuration.Read", nullptr);
  cr_assert_eq(Json::parse(response.body)["services"][0]["scaling"]["maximum"], 9);
}

Test(capacity, items_resume_elsewhere_when_engine_drains) {
  Cluster cluster;
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", batchConfiguration(1)).status, kOk);
  FakeEngine drainingEngine("i-1");
  drainingEngine.stallStreams();
  sendHeartbeat(cluster, drainingEngine, drainingEngine.heartbeat(1));
  waitUntil(
      [&] {
        return cluster.callGateway("POST", "/b/x", tackpick::test::batch(4), "job").status ==
               kAccepted;
      },
      "a batch is accepted");
  waitUntil([&] { return drainingEngine.stalledStreams() > 0; }, "its items are running");
  const FakeEngine other("i-2");
  sendHeartbeat(cluster, other, other.heartbeat(1));
  sendHeartbeat(cluster, drainingEngine, drainingHeartbeat(drainingEngine, 2, 100));
  Json results;
  waitUntil(
      [&] {
        const HttpResponse response = cluster.callGateway("GET", "/lots/job");
        results = response.status == kOk ? Json::parse(response.body)["results"] : Json::array();
        return results.size() == 4;
      },
      "all items are complete");
  for (const Json& result : results) {
    cr_assert_eq(result["message"], "ab0\nab1\nab2\nab3\nab4");
  }
  cr_assert_gt(cluster.countLogLines(kGateway, "reason=leaving"), 0U);
}
