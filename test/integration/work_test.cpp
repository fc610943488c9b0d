/// What operators are shown of waiting work, with real processes.
#include <criterion/criterion.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "integration/self_formed_cluster.h"
#include "integration/stand_in_engine.h"

using tackpick::runtime::Json;
using tackpick::test::batchConfiguration;
using tackpick::test::HttpAnswer;
using tackpick::test::StandInEngine;
using tackpick::test::waitUntil;
using Cluster = tackpick::test::SelfFormedCluster;

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kUnavailable = 503;
constexpr int kExitUsage = 2;
constexpr int kExitUnreachable = 3;
constexpr const char* kControllers = "127.0.1.";
constexpr const char* kLedgers = "127.0.2.";

/// What tackpickctl printed, and how it ended.
struct Printed {
  int exitCode = 0;
  std::string text;
};

Printed runWork(Cluster& cluster, const std::vector<std::string>& arguments) {
  const std::filesystem::path output =
      std::filesystem::temp_directory_path() / ("tackpick-work-" + std::to_string(getpid()));
  std::string urls;
  for (const std::string& address : cluster.addresses(kControllers)) {
    urls += (urls.empty() ? "" : ",") + cluster.controlUrl(address, "");
  }
  std::vector<std::string> whole = {"work"};
  whole.insert(whole.end(), arguments.begin(), arguments.end());
  whole.insert(whole.end(), {"--controllers", urls});
  tackpick::test::Process process("tackpickctl", whole, output);
  Printed printed;
  printed.exitCode = process.wait();
  std::ostringstream text;
  text << std::ifstream(output).rdbuf();
  printed.text = text.str();
  std::filesystem::remove(output);
  return printed;
}

void report(Cluster& cluster, const StandInEngine& engine, std::uint64_t sequence) {
  const HttpAnswer answer =
      cluster.control("POST", "/Instances.Heartbeat/" + engine.id(), engine.heartbeat(sequence));
  cr_assert_eq(answer.status, kOk);
}

Json readWork(Cluster& cluster) {
  return Json::parse(cluster.control("GET", "/v1/work", nullptr).body);
}

std::string batchOfVersion(std::uint64_t version) {
  Json made = Json::parse(tackpick::test::batch(4));
  made["minimumVersion"] = version;
  return made.dump();
}

/// Two of the group's three machines end.
void takeMajority(Cluster& cluster, const std::string& net) {
  const std::vector<std::string> machines = cluster.addresses(net);
  cluster.machine(machines[0]).process->kill();
  cluster.machine(machines[1]).process->kill();
}

/// The answer of the controller that takeMajority() leaves.
HttpAnswer askLastController(Cluster& cluster) {
  constexpr long kCallSeconds = 5;
  const std::string last = cluster.addresses(kControllers).back();
  return tackpick::test::call(
      {"GET", cluster.controlUrl(last, "/v1/work"), "", {}, {}, kCallSeconds});
}

}  // namespace

Test(work, job_that_waits_for_a_version_is_shown_with_it) {
  Cluster cluster;
  cr_assert_eq(cluster.control("POST", "/Configuration.Replace", batchConfiguration(1)).status,
               kOk);
  const StandInEngine older("i-1");
  std::uint64_t heartbeats = 0;
  report(cluster, older, ++heartbeats);
  waitUntil(
      [&] { return cluster.gateway("POST", "/b/x", batchOfVersion(2), "job").status == kAccepted; },
      "a batch is accepted");
  Json told;
  waitUntil(
      [&] {
        report(cluster, older, ++heartbeats);
        told = readWork(cluster);
        return told["ledgers"].is_object() && told["ledgers"]["total_engines"] == 1 &&
               told["ledgers"]["total_jobs"] == 1 && told["ledgers"]["total_gateways"] == 1;
      },
      "the ledgers know the job, the engine and the gateway");
  const Json job = told["ledgers"]["jobs"][0];
  cr_assert_eq(job["job"], "job");
  cr_assert_eq(job["waiting"], 4);
  cr_assert_eq(job["minimum_version"], 2);
  cr_assert_eq(job["places_ready"], 0);
  cr_assert_eq(told["ledgers"]["gateways"][0]["gateway"], "127.0.3.1");

  cr_assert_eq(cluster.control("POST", "/version-put", {{"model", "m"}, {"version", 2}}).status,
               kOk);
  waitUntil(
      [&] {
        report(cluster, older, ++heartbeats);
        const Json models = readWork(cluster)["controllers"]["models"];
        return models.size() == 1 && models[0]["published"] == 2 && models[0]["places_ready"] == 0;
      },
      "the controllers tell that no engine holds it");

  const Printed table = runWork(cluster, {"jobs", "models"});
  cr_assert_eq(table.exitCode, 0);
  cr_assert(table.text.starts_with("jobs: 1\n"), "%s", table.text.c_str());
  cr_assert_neq(table.text.find("\nmodels: 1 loading="), std::string::npos);
  const Json whole = Json::parse(runWork(cluster, {"--json"}).text);
  cr_assert_eq(whole.size(), 5U);
  cr_assert_eq(whole["jobs"]["rows"][0]["places_ready"], 0);
  cr_assert_eq(runWork(cluster, {"everything"}).exitCode, kExitUsage);

  const StandInEngine newer("i-2", {.versions = {{"m", 2}}});
  waitUntil(
      [&] {
        report(cluster, newer, ++heartbeats);
        return readWork(cluster)["ledgers"]["total_jobs"] == 0;
      },
      "the job ran where its version is");
}

Test(work, part_of_a_group_without_a_leader_is_told_as_missing) {
  Cluster cluster;
  cr_assert_eq(cluster.control("POST", "/Configuration.Replace", batchConfiguration(1)).status,
               kOk);
  waitUntil(
      [&] {
        const Json told = readWork(cluster);
        return told["ledgers"].is_object() && told["controllers"].is_object();
      },
      "both groups have leaders");

  takeMajority(cluster, kLedgers);
  waitUntil([&] { return readWork(cluster)["ledgers"].is_null(); }, "no ledger answers");
  cr_assert(readWork(cluster)["controllers"].is_object(), "the controllers go on");
  const Printed jobs = runWork(cluster, {"jobs"});
  cr_assert_eq(jobs.exitCode, kExitUnreachable);
  cr_assert_eq(jobs.text, "jobs: unknown, no leader of the ledgers answered\n");
  cr_assert_eq(runWork(cluster, {"models"}).exitCode, 0);
  cr_assert(Json::parse(runWork(cluster, {"--json"}).text)["jobs"].is_null());

  takeMajority(cluster, kControllers);
  waitUntil([&] { return askLastController(cluster).status == kUnavailable; }, "none leads");
  const Printed nobody = runWork(cluster, {});
  cr_assert_eq(nobody.exitCode, kExitUnreachable);
  cr_assert_neq(nobody.text.find("found no leader"), std::string::npos, "%s", nobody.text.c_str());
}
