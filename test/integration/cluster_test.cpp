/// Tests of a self-formed cluster of real processes: bootstrap, lost leaders and disks, engine
/// restarts, tenants and usage reports.
#include <criterion/criterion.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <thread>

#include "integration/fake_engine.h"
#include "integration/test_cluster.h"

namespace http = tackpick::http;
using tackpick::runtime::Json;
using tackpick::test::batch;
using tackpick::test::batchConfiguration;
using tackpick::test::FakeEngine;
using tackpick::test::HttpResponse;
using tackpick::test::tenantConfiguration;
using tackpick::test::waitUntil;
using Cluster = tackpick::test::TestCluster;

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
/// Time after which a starting process is reading its settings.
constexpr auto kStartupWait = std::chrono::milliseconds(500);
/// Wait that exceeds the maximum age of a gateway's configuration.
constexpr auto kBeyondMaxConfigurationLag = std::chrono::milliseconds(2500);

/// Hosting platform's usage API. Every third report is recorded but gets no response.
class FakeUsagePlatform {
 public:
  struct Report {
    std::string holder;
    std::uint64_t fence = 0;
    std::uint64_t window = 0;
    Json counts;
  };

  FakeUsagePlatform()
      : m_server(m_context, "127.0.0.1", 0, {},
                 [this](const http::RawRequest& request,
                        const std::shared_ptr<http::Exchange>& exchange) {
                   handleRequest(request, exchange);
                 }),
        m_thread([this] { m_context.run(); }) {}
  ~FakeUsagePlatform() {
    m_context.stop();
    m_thread.join();
  }
  FakeUsagePlatform(const FakeUsagePlatform&) = delete;
  FakeUsagePlatform& operator=(const FakeUsagePlatform&) = delete;

  [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
  [[nodiscard]] std::vector<Report> reports() const {
    const std::lock_guard lock(m_mutex);
    return m_reports;
  }
  /// Returns the reported usage over all windows, by tenant.
  [[nodiscard]] std::map<std::string, int> totalByTenant() const {
    std::map<std::uint64_t, Json> windows;
    for (const Report& report : reports()) {
      windows[report.window] = report.counts;
    }
    std::map<std::string, int> sum;
    for (const auto& [window, counts] : windows) {
      for (const auto& [tenant, count] : counts.items()) {
        sum[tenant] += count.get<int>();
      }
    }
    return sum;
  }

 private:
  void handleRequest(const http::RawRequest& request,
                     const std::shared_ptr<http::Exchange>& exchange) {
    constexpr std::size_t kUnansweredInterval = 3;
    const Json body = Json::parse(request.body);
    const std::lock_guard lock(m_mutex);
    m_reports.push_back({request.headers.value("Duty-Holder"),
                         std::stoull(request.headers.value("Fencing-Token")),
                         body["windowNumber"].get<std::uint64_t>(), body["counts"]});
    if (m_reports.size() % kUnansweredInterval == 0) {
      m_pendingExchanges.push_back(exchange);
      return;
    }
    exchange->respond(kOk, {}, {});
  }

  mutable std::mutex m_mutex;
  std::vector<Report> m_reports;
  std::vector<std::shared_ptr<http::Exchange>> m_pendingExchanges;
  asio::io_context m_context;
  http::ExchangeServer m_server;
  std::thread m_thread;
};

/// Waits until all items of a batch are complete and returns the results.
Json waitForBatch(Cluster& cluster, const std::string& id, std::size_t items) {
  Json results;
  waitUntil(
      [&] {
        const HttpResponse response = cluster.callGateway("GET", "/lots/" + id);
        if (response.status != kOk) {
          return false;
        }
        results = Json::parse(response.body)["results"];
        return results.size() == items;
      },
      "batch " + id + " is complete");
  return results;
}

}  // namespace

Test(cluster, forms_and_keeps_acknowledged_data) {
  Cluster cluster;
  waitUntil([&] { return cluster.readinessStatus() == 503; },
            "a gateway without a configuration is not ready");
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", batchConfiguration(2)).status, kOk);
  cr_assert_eq(cluster.callController("POST", "/Configuration.Replace", {{"version", 3}}).status,
               400);
  waitUntil([&] { return cluster.readinessStatus() == kOk; }, "the gateway is ready");
  const FakeEngine engine("i-1");
  cr_assert_eq(
      cluster.callController("POST", "/Instances.Heartbeat/" + engine.id(), engine.heartbeat(1))
          .status,
      kOk);
  waitUntil(
      [&] { return cluster.callGateway("POST", "/b/x", batch(6), "one").status == kAccepted; },
      "a batch is accepted");
  const Json results = waitForBatch(cluster, "one", 6);
  for (const Json& result : results) {
    cr_assert_eq(result["message"].get<std::string>(), "ab0\nab1\nab2\nab3\nab4");
    cr_assert_eq(result["versions"].dump(), "[1]");
  }

  // Both leaders crash; the new leaders must hold all acknowledged data.
  const std::string controller = cluster.leader("127.0.1.");
  const std::string ledger = cluster.leader("127.0.2.");
  cluster.machine(controller).process->kill();
  cluster.machine(ledger).process->kill();
  const HttpResponse read = cluster.callController("GET", "/Configuration.Read", nullptr);
  cr_assert(Json::parse(read.body) == batchConfiguration(2));
  cr_assert(waitForBatch(cluster, "one", 6) == results, "results keep their positions");
  cluster.start(cluster.machine(controller), false);
  cluster.start(cluster.machine(ledger), false);

  // The ledgers lose their disks one by one; each must be a voter again before the next loss.
  for (int i = 1; i <= 3; ++i) {
    const std::string address = "127.0.2." + std::to_string(i);
    const std::string voterLogLine = "voters=3 learners=0";
    const std::size_t before = cluster.countLogLines(address, voterLogLine);
    cluster.restartWithEmptyDisk(cluster.machine(address));
    waitUntil([&] { return cluster.countLogLines(address, voterLogLine) > before; },
              address + " is a voter again");
  }
  cr_assert(waitForBatch(cluster, "one", 6) == results);
  cr_assert_eq(cluster.callGateway("DELETE", "/lots/one").status, kOk);
}

Test(cluster, every_role_exposes_metrics) {
  Cluster cluster;
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", batchConfiguration(2)).status, kOk);
  waitUntil([&] { return cluster.readinessStatus() == kOk; }, "the gateway is ready");
  const auto exposes = [&](const std::string& address, const std::string& line) {
    return cluster.readMetrics(address).find(line) != std::string::npos;
  };
  cr_assert(exposes("127.0.3.1", "\ntackpick_configuration_version 2\n"));
  cr_assert(exposes(cluster.leader("127.0.1."), "\ntackpick_leader 1\n"));
  cr_assert(exposes(cluster.leader("127.0.2."), "\ntackpick_voters 3\n"));
  cr_assert(exposes("127.0.2.1", "# TYPE tackpick_turn_seconds histogram"));
}

Test(cluster, gateway_shuts_down_gracefully) {
  Cluster cluster;
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", batchConfiguration(2)).status, kOk);
  waitUntil([&] { return cluster.readinessStatus() == kOk; }, "the gateway is ready");
  cluster.machine("127.0.3.1").process->signal(SIGTERM);
  waitUntil([&] { return cluster.readinessStatus() == 503; }, "the gateway is no longer ready");
  cr_assert_eq(cluster.machine("127.0.3.1").process->wait(), 0);
}

// Guards against a SIGHUP that arrives before its handler is installed and terminates the process.
Test(cluster, sighup_during_startup_is_survived) {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("tackpick-start-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  // Reading a FIFO without a writer blocks, which keeps the process in startup.
  const std::string settings = folder / "settings.yaml";
  cr_assert_eq(mkfifo(settings.c_str(), S_IRUSR | S_IWUSR), 0);
  tackpick::test::Process process("tackpickd", {"--settings", settings}, folder / "log");
  std::this_thread::sleep_for(kStartupWait);
  process.signal(SIGHUP);
  std::this_thread::sleep_for(kStartupWait);
  cr_assert_not(process.hasExited());
  process.kill();
  std::filesystem::remove_all(folder);
}

Test(cluster, process_retries_until_disk_is_available) {
  Cluster cluster;
  const std::string address = "127.0.1.1";
  const std::string voterLogLine = "voters=3 learners=0";
  waitUntil([&] { return cluster.countLogLines(address, voterLogLine) > 0; },
            "the controllers form a group");
  cluster.machine(address).process->kill();
  // A regular file in place of the data folder makes all file operations in it fail.
  const std::filesystem::path movedFolder = cluster.dataFolder(address).string() + ".aside";
  std::filesystem::rename(cluster.dataFolder(address), movedFolder);
  std::ofstream(cluster.dataFolder(address)).close();
  const std::size_t before = cluster.countLogLines(address, voterLogLine);
  cluster.start(cluster.machine(address), false);
  waitUntil([&] { return cluster.countLogLines(address, "disk_unavailable") > 1; },
            "the process retries");
  cr_assert_not(cluster.machine(address).process->hasExited());
  std::filesystem::remove(cluster.dataFolder(address));
  std::filesystem::rename(movedFolder, cluster.dataFolder(address));
  waitUntil([&] { return cluster.countLogLines(address, voterLogLine) > before; },
            "the controller is a voter again");
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", batchConfiguration(2)).status, kOk);
}

// Guards against a gateway with an outdated configuration that rejects a request for a new route
// with 404 instead of 503.
Test(cluster, stale_gateway_returns_503_not_404) {
  Cluster cluster;
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", batchConfiguration(2)).status, kOk);
  waitUntil([&] { return cluster.readinessStatus() == kOk; }, "the gateway is ready");
  cr_assert_eq(cluster.callGateway("GET", "/q/1").status, 404, "the configuration is up to date");
  const Json tenants = {{{"name", "a"}, {"apiKeys", {"key-a"}}}};
  cluster.machine("127.0.3.1").process->signal(SIGSTOP);
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", tenantConfiguration(3, tenants))
          .status,
      kOk);
  for (int i = 1; i <= 3; ++i) {
    cluster.machine("127.0.1." + std::to_string(i)).process->kill();
  }
  std::this_thread::sleep_for(kBeyondMaxConfigurationLag);
  cluster.machine("127.0.3.1").process->signal(SIGCONT);
  const HttpResponse response = cluster.callGatewayAs("key-a", "GET", "/q/1");
  cr_assert_eq(response.status, 503, "a request for an added route is rejected with %d",
               response.status);
  cr_assert(response.headers.contains("retry-after"));
  for (int i = 1; i <= 3; ++i) {
    cluster.start(cluster.machine("127.0.1." + std::to_string(i)), false);
  }
  waitUntil([&] { return cluster.callGateway("GET", "/q/1").status == 401; },
            "the change is in force: a request without a key is rejected with 401");
}

// Guards against an outdated gateway that gives up the items of a route which it has not received.
Test(cluster, gateway_without_the_route_leaves_items_to_other_gateways) {
  constexpr int kItems = 4;
  /// Either gateway may be the first to request the items of a batch.
  constexpr int kBatches = 10;
  constexpr const char* kOutdatedGateway = "127.0.3.2";
  tackpick::test::ClusterLayout layout;
  layout.gateways = 2;
  Cluster cluster(layout);
  Json configuration = batchConfiguration(2);
  cr_assert_eq(cluster.callController("POST", "/Configuration.Replace", configuration).status, kOk);
  const auto isInForce = [&](const std::string& gateway, int version) {
    const std::string line = "configuration_in_force version=" + std::to_string(version);
    return cluster.countLogLines(gateway, line) == 1;
  };
  const FakeEngine engine("i-1");
  cr_assert_eq(
      cluster.callController("POST", "/Instances.Heartbeat/i-1", engine.heartbeat(1)).status, kOk);
  const auto runBatch = [&](const std::string& prefix, const std::string& id) {
    Json submission = Json::parse(batch(kItems));
    for (Json& item : submission["items"]) {
      item["path"] = prefix + "run";
    }
    waitUntil(
        [&] {
          return cluster.callGateway("POST", prefix + "x", submission.dump(), id).status ==
                 kAccepted;
        },
        "a batch is accepted");
    return waitForBatch(cluster, id, kItems);
  };
  int warmUps = 0;
  waitUntil(
      [&] {
        (void)runBatch("/b/", "warm-up" + std::to_string(warmUps++));
        return cluster.countLogLines(kOutdatedGateway, "items_leased") > 0;
      },
      "both gateways run items");
  cluster.machine(kOutdatedGateway).process->signal(SIGSTOP);
  // Its pending watch expires, so that no controller sends it the next configuration.
  std::this_thread::sleep_for(kBeyondMaxConfigurationLag);
  configuration["version"] = 3;
  Json route = configuration["routes"][0];
  route["name"] = "added";
  route["pathPrefix"] = "/added/";
  configuration["routes"].push_back(route);
  cr_assert_eq(cluster.callController("POST", "/Configuration.Replace", configuration).status, kOk);
  waitUntil([&] { return isInForce("127.0.3.1", 3); }, "the route is in force at one gateway");
  // Without controllers, the outdated gateway does not receive the route.
  for (const std::string& address : cluster.addresses("127.0.1.")) {
    cluster.machine(address).process->kill();
  }
  cluster.machine(kOutdatedGateway).process->signal(SIGCONT);
  for (int i = 0; i < kBatches; ++i) {
    for (const Json& result : runBatch("/added/", "batch" + std::to_string(i))) {
      cr_assert_eq(result["state"].get<std::string>(), "completed");
    }
  }
}

// Guards against items that hang when an engine restarts under the same name while its old
// connections stay open, and against late messages of the old incarnation.
Test(cluster, items_resume_after_engine_restart) {
  constexpr std::uint64_t kFirstStartTime = 1'000'000;
  constexpr std::uint64_t kRestartTime = 2'000'000;
  Cluster cluster;
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", batchConfiguration(2)).status, kOk);
  waitUntil([&] { return cluster.readinessStatus() == kOk; }, "the gateway is ready");
  FakeEngine oldIncarnation("i-1");
  oldIncarnation.stallStreams();
  const std::string path = "/Instances.Heartbeat/i-1";
  cr_assert_eq(
      cluster.callController("POST", path, oldIncarnation.heartbeat(50, kFirstStartTime)).status,
      kOk);
  waitUntil(
      [&] { return cluster.callGateway("POST", "/b/x", batch(3), "one").status == kAccepted; },
      "a batch is accepted");
  waitUntil([&] { return oldIncarnation.stalledStreams() > 0; }, "an item is running");
  const FakeEngine newIncarnation("i-1");
  // The sequence restarts with each incarnation, so a lower number is not outdated.
  cr_assert_eq(
      cluster.callController("POST", path, newIncarnation.heartbeat(1, kRestartTime)).status, kOk);
  Json draining = oldIncarnation.heartbeat(51, kFirstStartTime);
  draining["state"] = "draining";
  cr_assert_eq(cluster.callController("POST", path, draining).status, kOk);
  cr_assert_eq(
      cluster.callController("POST", "/Instances.Leave/i-1", {{"born", kFirstStartTime}}).status,
      kOk);
  for (const Json& result : waitForBatch(cluster, "one", 3)) {
    cr_assert_eq(result["message"].get<std::string>(), "ab0\nab1\nab2\nab3\nab4");
  }
  cr_assert_gt(newIncarnation.requestsByTenant("/b/").size(), 0U,
               "the items finished at the new incarnation");
  // A malformed heartbeat is rejected and has no effect.
  cr_assert_eq(cluster.callController("POST", path, {{"service", 7}}).status, 400);
  waitUntil(
      [&] { return cluster.callGateway("POST", "/b/x", batch(2), "two").status == kAccepted; },
      "another batch is accepted");
  cr_assert_eq(waitForBatch(cluster, "two", 2).size(), 2U);
}

// Guards against one wrong byte of an engine that ends every gateway at which the batch is read.
Test(cluster, event_that_is_not_utf8_is_generated_again) {
  Cluster cluster;
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", batchConfiguration(2)).status, kOk);
  waitUntil([&] { return cluster.readinessStatus() == kOk; }, "the gateway is ready");
  FakeEngine engine("i-1");
  engine.corruptNextEvent();
  cr_assert_eq(
      cluster.callController("POST", "/Instances.Heartbeat/i-1", engine.heartbeat(1)).status, kOk);
  waitUntil(
      [&] { return cluster.callGateway("POST", "/b/x", batch(3), "one").status == kAccepted; },
      "a batch is accepted");
  waitUntil([&] { return engine.hasSentCorruptEvent(); }, "a wrong byte was sent");
  for (const Json& result : waitForBatch(cluster, "one", 3)) {
    cr_assert_eq(result["message"].get<std::string>(), "ab0\nab1\nab2\nab3\nab4");
  }
  cr_assert_eq(cluster.countLogLines("127.0.3.1", "process_started"), 1U, "the gateway runs on");
}

// Guards against applying a drain of the old incarnation to the new incarnation.
Test(cluster, engine_restarted_during_drain_gets_work) {
  constexpr std::uint64_t kFirstStartTime = 1'000'000;
  constexpr std::uint64_t kRestartTime = 2'000'000;
  Cluster cluster;
  cr_assert_eq(
      cluster
          .callController("POST", "/Configuration.Replace", tenantConfiguration(2, Json::array()))
          .status,
      kOk);
  const FakeEngine oldIncarnation("i-1");
  const std::string path = "/Instances.Heartbeat/i-1";
  cr_assert_eq(
      cluster.callController("POST", path, oldIncarnation.heartbeat(5, kFirstStartTime)).status,
      kOk);
  const auto sendQuery = [&] { return cluster.callGateway("POST", "/q/1", "", "r").status; };
  waitUntil([&] { return sendQuery() == kOk; }, "the engine gets requests");
  Json draining = oldIncarnation.heartbeat(6, kFirstStartTime);
  draining["state"] = "draining";
  cr_assert_eq(cluster.callController("POST", path, draining).status, kOk);
  waitUntil([&] { return sendQuery() == 503; }, "the draining engine gets no new requests");
  const FakeEngine newIncarnation("i-1");
  cr_assert_eq(
      cluster.callController("POST", path, newIncarnation.heartbeat(1, kRestartTime)).status, kOk);
  waitUntil([&] { return sendQuery() == kOk; }, "the new incarnation gets requests");
  draining["sequence"] = 7;
  cr_assert_eq(cluster.callController("POST", path, draining).status, kOk);
  cr_assert_eq(sendQuery(), kOk,
               "a late heartbeat of the old incarnation must not affect the new one");
}

Test(cluster, engine_restarted_during_load_gets_new_command) {
  constexpr std::uint64_t kFirstStartTime = 1'000'000;
  constexpr std::uint64_t kRestartTime = 2'000'000;
  Cluster cluster;
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", batchConfiguration(2)).status, kOk);
  const FakeEngine oldIncarnation("i-1");
  const std::string path = "/Instances.Heartbeat/i-1";
  cr_assert_eq(
      cluster.callController("POST", path, oldIncarnation.heartbeat(5, kFirstStartTime)).status,
      kOk);
  cr_assert_eq(
      cluster.callController("POST", "/version-put", {{"model", "m"}, {"version", 2}}).status, kOk);
  waitUntil([&] { return oldIncarnation.loadCommandCount() > 0; },
            "the engine gets a load command");
  const FakeEngine newIncarnation("i-1");
  std::uint64_t sequence = 0;
  waitUntil(
      [&] {
        (void)cluster.callController("POST", path,
                                     newIncarnation.heartbeat(++sequence, kRestartTime));
        return newIncarnation.loadCommandCount() > 0;
      },
      "the new incarnation gets a load command of its own");
}

Test(cluster, tenants_are_isolated_and_revoked_keys_rejected) {
  Cluster cluster;
  const Json oldTenants = {{{"name", "a"}, {"apiKeys", {"key-a", "key-a2"}}},
                           {{"name", "b"}, {"apiKeys", {"key-b"}}}};
  const Json sharedKeyTenants = {{{"name", "a"}, {"apiKeys", {"key-a"}}},
                                 {{"name", "b"}, {"apiKeys", {"key-a"}}}};
  const Json newTenants = {{{"name", "a"}, {"apiKeys", {"key-a2"}}},
                           {{"name", "b"}, {"apiKeys", {"key-b"}}}};
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", tenantConfiguration(2, oldTenants))
          .status,
      kOk);
  const HttpResponse refused = cluster.callController("POST", "/Configuration.Replace",
                                                      tenantConfiguration(3, sharedKeyTenants));
  cr_assert_eq(refused.status, 400);
  cr_assert_eq(refused.body.find("key-a"), std::string::npos);
  waitUntil([&] { return cluster.readinessStatus() == kOk; }, "the gateway is ready");
  const FakeEngine engine("i-1");
  cr_assert_eq(
      cluster.callController("POST", "/Instances.Heartbeat/" + engine.id(), engine.heartbeat(1))
          .status,
      kOk);
  waitUntil([&] { return cluster.callGatewayAs("key-b", "GET", "/q/1", "", "r").status == kOk; },
            "a request of tenant b is served");
  cr_assert_eq(cluster.callGateway("GET", "/q/1").status, 401);
  cr_assert_eq(cluster.callGatewayAs("key-x", "GET", "/q/1").status, 401);
  waitUntil(
      [&] {
        return cluster.callGatewayAs("key-a", "POST", "/b/x", batch(6), "one").status == kAccepted;
      },
      "a batch of tenant a is accepted");
  cr_assert_eq(cluster.callGatewayAs("key-b", "GET", "/lots/one").status, 404);
  cr_assert_eq(cluster.callGatewayAs("key-b", "GET", "/items/one?identifier=item0").status, 404);
  cr_assert_eq(cluster.callGatewayAs("key-b", "POST", "/b/x", batch(6), "one").status, 409);

  // Revokes the key that submitted the batch; the batch still belongs to its tenant.
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", tenantConfiguration(4, newTenants))
          .status,
      kOk);
  waitUntil([&] { return cluster.callGatewayAs("key-a", "GET", "/lots/one").status == 401; },
            "the revoked key is rejected");
  waitUntil(
      [&] {
        const HttpResponse response = cluster.callGatewayAs("key-a2", "GET", "/lots/one");
        return response.status == kOk && Json::parse(response.body)["results"].size() == 6;
      },
      "another key of the tenant reads all results");
  const std::map<std::string, int> items = engine.requestsByTenant("/b/");
  cr_assert(items.size() == 1 && items.contains("a"), "items run under their own tenant only");
  const std::map<std::string, int> requests = engine.requestsByTenant("/q/");
  cr_assert(requests.size() == 1 && requests.contains("b"));
}

Test(cluster, usage_is_reported_once_and_unchanged_while_holders_die) {
  const FakeUsagePlatform fakePlatform;
  Cluster cluster({.platformPort = fakePlatform.port()});
  const Json tenants = {{{"name", "a"}, {"apiKeys", {"key-a"}}},
                        {{"name", "b"}, {"apiKeys", {"key-b"}}}};
  cr_assert_eq(
      cluster.callController("POST", "/Configuration.Replace", tenantConfiguration(2, tenants))
          .status,
      kOk);
  waitUntil([&] { return cluster.readinessStatus() == kOk; }, "the gateway is ready");
  const FakeEngine engine("i-1");
  cr_assert_eq(
      cluster.callController("POST", "/Instances.Heartbeat/" + engine.id(), engine.heartbeat(1))
          .status,
      kOk);
  const auto sendQueries = [&](const std::string& key, int times) {
    for (int i = 0; i < times; ++i) {
      (void)cluster.callGatewayAs(key, "GET", "/q/1", "", key + std::to_string(i));
    }
  };
  waitUntil([&] { return cluster.callGatewayAs("key-b", "GET", "/q/1", "", "r").status == kOk; },
            "a request is served");
  sendQueries("key-a", 30);
  waitUntil([&] { return fakePlatform.reports().size() > 1; }, "usage is reported");
  const std::string holder = cluster.leader("127.0.1.");
  cluster.machine(holder).process->kill();
  sendQueries("key-b", 20);
  sendQueries("key-a", 5);
  waitUntil([&] { return fakePlatform.totalByTenant() == engine.requestsByTenant("/q/"); },
            "the reports add up to the requests that ran");
  std::map<std::uint64_t, Json> windows;
  std::map<std::uint64_t, std::string> holders;
  std::uint64_t highest = 0;
  for (const FakeUsagePlatform::Report& report : fakePlatform.reports()) {
    cr_assert(windows.try_emplace(report.window, report.counts).first->second == report.counts);
    cr_assert_eq(holders.try_emplace(report.fence, report.holder).first->second, report.holder);
    cr_assert_geq(report.fence, highest);
    highest = std::max(highest, report.fence);
  }
  cr_assert_geq(holders.size(), 2U, "another controller took over");
}
