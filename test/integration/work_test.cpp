/// Tests of the work summary for operators, with real processes.
#include <criterion/criterion.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "integration/fake_engine.h"
#include "integration/test_cluster.h"

using tackpick::runtime::Json;
using tackpick::test::batchConfiguration;
using tackpick::test::FakeEngine;
using tackpick::test::HttpResponse;
using tackpick::test::waitUntil;
using Cluster = tackpick::test::TestCluster;

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kUnavailable = 503;
constexpr int kExitUsage = 2;
constexpr int kExitUnreachable = 3;
constexpr const char* kControllerSubnet = "127.0.1.";
constexpr const char* kLedgerSubnet = "127.0.2.";

/// Exit code and output of tackpickctl.
struct CommandResult {
  int exitCode = 0;
  std::string text;
};

CommandResult runWorkCommand(Cluster& cluster, const std::vector<std::string>& arguments) {
  const std::filesystem::path output =
      std::filesystem::temp_directory_path() / ("tackpick-work-" + std::to_string(getpid()));
  std::string urls;
  for (const std::string& address : cluster.addresses(kControllerSubnet)) {
    urls += (urls.empty() ? "" : ",") + cluster.controlUrl(address, "");
  }
  std::vector<std::string> allArguments = {"work"};
  allArguments.insert(allArguments.end(), arguments.begin(), arguments.end());
  allArguments.insert(allArguments.end(), {"--controllers", urls});
  tackpick::test::Process process("tackpickctl", allArguments, output);
  CommandResult commandResult;
  commandResult.exitCode = process.wait();
  std::ostringstream text;
  text << std::ifstream(output).rdbuf();
  commandResult.text = text.str();
  std::filesystem::remove(output);
  return commandResult;
}

void sendHeartbeat(Cluster& cluster, const FakeEngine& engine, std::uint64_t sequence) {
  const HttpResponse response = cluster.callController(
      "POST", "/Instances.Heartbeat/" + engine.id(), engine.heartbeat(sequence));
  cr_assert_eq(response.status, kOk);
}

Json readWork(Cluster& cluster) {
  return Json::parse(cluster.callController("GET", "/v1/work", nullptr).body);
}

std::string batchWithMinVersion(std::uint64_t version) {
  Json submission = Json::parse(tackpick::test::batch(4));
  submission["minimumVersion"] = version;
  return submission.dump();
}

/// Kills two of the group's three machines.
void killMajority(Cluster& cluster, const std::string& subnet) {
  const std::vector<std::string> machines = cluster.addresses(subnet);
  cluster.machine(machines[0]).process->kill();
  cluster.machine(machines[1]).process->kill();
}

/// Returns the response of the controller that killMajority() leaves running.
HttpResponse callLastController(Cluster& cluster) {
  constexpr long kRequestTimeoutSeconds = 5;
  const std::string last = cluster.addresses(kControllerSubnet).back();
  return tackpick::test::sendRequest(
      {"GET", cluster.controlUrl(last, "/v1/work"), "", {}, {}, kRequestTimeoutSeconds});
}

}  // namespace

Test(work, waiting_job_shows_its_min_version) {
  Cluster cluster;
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", batchConfiguration(1)).status, kOk);
  const FakeEngine older("i-1");
  std::uint64_t heartbeats = 0;
  sendHeartbeat(cluster, older, ++heartbeats);
  waitUntil(
      [&] {
        return cluster.callGateway("POST", "/b/x", batchWithMinVersion(2), "job").status ==
               kAccepted;
      },
      "a batch is accepted");
  Json workReport;
  waitUntil(
      [&] {
        sendHeartbeat(cluster, older, ++heartbeats);
        workReport = readWork(cluster);
        return workReport["ledgers"].is_object() && workReport["ledgers"]["total_engines"] == 1 &&
               workReport["ledgers"]["total_jobs"] == 1 &&
               workReport["ledgers"]["total_gateways"] == 1;
      },
      "the ledgers list the job, the engine and the gateway");
  const Json job = workReport["ledgers"]["jobs"][0];
  cr_assert_eq(job["job"], "job");
  cr_assert_eq(job["waiting"], 4);
  cr_assert_eq(job["minimum_version"], 2);
  cr_assert_eq(job["places_ready"], 0);
  cr_assert_eq(workReport["ledgers"]["gateways"][0]["gateway"], "127.0.3.1");

  cr_assert_eq(
      cluster.callController("POST", "/version-put", {{"model", "m"}, {"version", 2}}).status, kOk);
  waitUntil(
      [&] {
        sendHeartbeat(cluster, older, ++heartbeats);
        const Json models = readWork(cluster)["controllers"]["models"];
        return models.size() == 1 && models[0]["published"] == 2 && models[0]["places_ready"] == 0;
      },
      "the controllers report that no engine has the version");

  const CommandResult table = runWorkCommand(cluster, {"jobs", "models"});
  cr_assert_eq(table.exitCode, 0);
  cr_assert(table.text.starts_with("jobs: 1\n"), "%s", table.text.c_str());
  cr_assert_neq(table.text.find("\nmodels: 1 loading="), std::string::npos);
  const Json allSections = Json::parse(runWorkCommand(cluster, {"--json"}).text);
  cr_assert_eq(allSections.size(), 5U);
  cr_assert_eq(allSections["jobs"]["rows"][0]["places_ready"], 0);
  cr_assert_eq(runWorkCommand(cluster, {"everything"}).exitCode, kExitUsage);

  const FakeEngine newer("i-2", {.versions = {{"m", 2}}});
  waitUntil(
      [&] {
        sendHeartbeat(cluster, newer, ++heartbeats);
        return readWork(cluster)["ledgers"]["total_jobs"] == 0;
      },
      "the job ran on the engine with its version");
}

Test(work, leaderless_group_is_reported_as_missing) {
  Cluster cluster;
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", batchConfiguration(1)).status, kOk);
  waitUntil(
      [&] {
        const Json workReport = readWork(cluster);
        return workReport["ledgers"].is_object() && workReport["controllers"].is_object();
      },
      "both groups have leaders");

  killMajority(cluster, kLedgerSubnet);
  waitUntil([&] { return readWork(cluster)["ledgers"].is_null(); }, "no ledger responds");
  cr_assert(readWork(cluster)["controllers"].is_object(), "the controllers still respond");
  const CommandResult jobs = runWorkCommand(cluster, {"jobs"});
  cr_assert_eq(jobs.exitCode, kExitUnreachable);
  cr_assert_eq(jobs.text, "jobs: unknown, no leader of the ledgers answered\n");
  cr_assert_eq(runWorkCommand(cluster, {"models"}).exitCode, 0);
  cr_assert(Json::parse(runWorkCommand(cluster, {"--json"}).text)["jobs"].is_null());

  killMajority(cluster, kControllerSubnet);
  waitUntil([&] { return callLastController(cluster).status == kUnavailable; },
            "no controller leads");
  const CommandResult noLeader = runWorkCommand(cluster, {});
  cr_assert_eq(noLeader.exitCode, kExitUnreachable);
  cr_assert_neq(noLeader.text.find("found no leader"), std::string::npos, "%s",
                noLeader.text.c_str());
}
