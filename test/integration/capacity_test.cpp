/// Numbers of instances and engines that say when they end, with real processes.
#include <criterion/criterion.h>

#include <map>

#include "integration/self_formed_cluster.h"
#include "integration/stand_in_engine.h"
#include "integration/stand_in_scale_platform.h"

using tackpick::runtime::Json;
using tackpick::test::batchConfiguration;
using tackpick::test::HttpAnswer;
using tackpick::test::StandInEngine;
using tackpick::test::StandInScalePlatform;
using tackpick::test::waitUntil;
using Cluster = tackpick::test::SelfFormedCluster;

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr const char* kGateway = "127.0.3.1";

Json scaledConfiguration(std::uint64_t version, int minimum, int maximum) {
  Json made = batchConfiguration(version);
  made["services"][0]["scaling"] = {{"minimum", minimum},
                                    {"maximum", maximum},
                                    {"bootTimeS", 1},
                                    {"spotPrice", 0.2},
                                    {"zonePrices", {{"a", 1.0}}}};
  return made;
}

void report(Cluster& cluster, const StandInEngine& engine, Json heartbeat) {
  cr_assert_eq(
      cluster.control("POST", "/Instances.Heartbeat/" + engine.id(), std::move(heartbeat)).status,
      kOk);
}

Json draining(const StandInEngine& engine, std::uint64_t sequence, int leavesMs) {
  Json told = engine.heartbeat(sequence);
  told["state"] = "draining";
  told["leaves_ms"] = leavesMs;
  return told;
}

/// The only pool with engines.
Json pool(Cluster& cluster) {
  const HttpAnswer answer = cluster.control("GET", "/v1/capacity", nullptr);
  const Json body = Json::parse(answer.body);
  for (const Json& told : body["pools"]) {
    if (told["kind"] == "ordinary") {
      return told;
    }
  }
  return Json::object();
}

}  // namespace

Test(capacity, successor_is_asked_for_whoever_leads) {
  StandInScalePlatform platform;
  Cluster cluster({.dutyPlatform = platform.port()});
  cr_assert_eq(
      cluster.control("POST", "/Configuration.Replace", scaledConfiguration(1, 1, 9)).status, kOk);
  const StandInEngine first("i-1");
  const StandInEngine second("i-2");
  report(cluster, first, first.heartbeat(1));
  report(cluster, second, second.heartbeat(1));
  waitUntil([&] { return pool(cluster).value("there", 0) == 2; }, "both are there");
  cr_assert(platform.calls().empty(), "what is there is left");

  platform.setUnresponsive(true);
  report(cluster, second, draining(second, 2, 2000));
  waitUntil([&] { return !platform.calls().empty(); }, "a successor is asked for");
  cr_assert_eq(platform.calls()[0].count, 2U);
  const std::string holder = cluster.leader("127.0.1.");
  cluster.machine(holder).process->kill();
  platform.setUnresponsive(false);
  waitUntil([&] { return platform.calls().back().fence > platform.calls()[0].fence; },
            "another holds the duty");
  waitUntil([&] { return pool(cluster).value("taken", false); }, "the call was taken");
  cr_assert_eq(pool(cluster).value("desired", 0), 2);

  std::map<std::uint64_t, std::string> holders;
  std::uint64_t highest = 0;
  for (const StandInScalePlatform::Call& call : platform.calls()) {
    cr_assert_eq(call.count, 2U);
    cr_assert_eq(holders.try_emplace(call.fence, call.holder).first->second, call.holder);
    cr_assert_geq(call.fence, highest);
    highest = std::max(highest, call.fence);
  }
}

Test(capacity, nonsense_bounds_are_refused_and_the_former_stay) {
  Cluster cluster;
  cr_assert_eq(
      cluster.control("POST", "/Configuration.Replace", scaledConfiguration(1, 1, 9)).status, kOk);
  Json broken = scaledConfiguration(2, 1, 9);
  broken["services"][0]["scaling"]["maximum"] = "many";
  for (const Json& refused : {scaledConfiguration(2, 9, 1), broken}) {
    cr_assert_eq(cluster.control("POST", "/Configuration.Replace", refused).status, kBadRequest);
  }
  const HttpAnswer read = cluster.control("GET", "/Configuration.Read", nullptr);
  cr_assert_eq(Json::parse(read.body)["services"][0]["scaling"]["maximum"], 9);
}

Test(capacity, items_of_an_engine_that_ends_go_on_elsewhere_with_what_they_have) {
  Cluster cluster;
  cr_assert_eq(cluster.control("POST", "/Configuration.Replace", batchConfiguration(1)).status,
               kOk);
  StandInEngine ending("i-1");
  ending.stall();
  report(cluster, ending, ending.heartbeat(1));
  waitUntil(
      [&] {
        return cluster.gateway("POST", "/b/x", tackpick::test::batch(4), "job").status == kAccepted;
      },
      "a batch is accepted");
  waitUntil([&] { return ending.stalled() > 0; }, "its items run");
  const StandInEngine other("i-2");
  report(cluster, other, other.heartbeat(1));
  report(cluster, ending, draining(ending, 2, 100));
  Json results;
  waitUntil(
      [&] {
        const HttpAnswer answer = cluster.gateway("GET", "/lots/job");
        results = answer.status == kOk ? Json::parse(answer.body)["results"] : Json::array();
        return results.size() == 4;
      },
      "all items are whole");
  for (const Json& result : results) {
    cr_assert_eq(result["message"], "ab0\nab1\nab2\nab3\nab4");
  }
  cr_assert_gt(cluster.logged(kGateway, "reason=leaving"), 0U);
}
