/// A cluster that forms itself, as real processes on loopback addresses of their own: founding from
/// seeds, a configuration, a batch on a stand-in engine, lost leaders and lost disks, tenants and
/// the reports of their usage.
#include <criterion/criterion.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <thread>

#include "integration/self_formed_cluster.h"
#include "integration/stand_in_engine.h"

namespace http = tackpick::http;
using tackpick::runtime::Json;
using tackpick::test::batch;
using tackpick::test::batchConfiguration;
using tackpick::test::HttpAnswer;
using tackpick::test::StandInEngine;
using tackpick::test::tenantConfiguration;
using tackpick::test::waitUntil;
using Cluster = tackpick::test::SelfFormedCluster;

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
/// A process has come to reading its settings.
constexpr auto kStartTime = std::chrono::milliseconds(500);
/// Beyond the time that a gateway may be behind the newest configuration.
constexpr auto kLongerThanBehind = std::chrono::milliseconds(2500);

/// The platform's service for usage reports, in this process. It leaves every third call without
/// an answer, after it has taken it.
class StandInDutyPlatform {
 public:
  struct Report {
    std::string holder;
    std::uint64_t fence = 0;
    std::uint64_t window = 0;
    Json counts;
  };

  StandInDutyPlatform()
      : server_(
            context_, "127.0.0.1", 0, {},
            [this](const http::RawRequest& request,
                   const std::shared_ptr<http::Exchange>& exchange) { answer(request, exchange); }),
        thread_([this] { context_.run(); }) {}
  ~StandInDutyPlatform() {
    context_.stop();
    thread_.join();
  }
  StandInDutyPlatform(const StandInDutyPlatform&) = delete;
  StandInDutyPlatform& operator=(const StandInDutyPlatform&) = delete;

  [[nodiscard]] std::uint16_t port() const { return server_.port(); }
  [[nodiscard]] std::vector<Report> reports() const {
    const std::lock_guard lock(mutex_);
    return reports_;
  }
  /// The sum of all windows, by tenant.
  [[nodiscard]] std::map<std::string, int> total() const {
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
  void answer(const http::RawRequest& request, const std::shared_ptr<http::Exchange>& exchange) {
    constexpr std::size_t kUnanswered = 3;
    const Json body = Json::parse(request.body);
    const std::lock_guard lock(mutex_);
    reports_.push_back({request.headers.value("Duty-Holder"),
                        std::stoull(request.headers.value("Fencing-Token")),
                        body["windowNumber"].get<std::uint64_t>(), body["counts"]});
    if (reports_.size() % kUnanswered == 0) {
      unanswered_.push_back(exchange);
      return;
    }
    exchange->respond(kOk, {}, {});
  }

  mutable std::mutex mutex_;
  std::vector<Report> reports_;
  std::vector<std::shared_ptr<http::Exchange>> unanswered_;
  asio::io_context context_;
  http::ExchangeServer server_;
  std::thread thread_;
};

/// Results of a batch once all are there.
Json wholeBatch(Cluster& cluster, const std::string& id, std::size_t items) {
  Json results;
  waitUntil(
      [&] {
        const HttpAnswer answer = cluster.gateway("GET", "/lots/" + id);
        if (answer.status != kOk) {
          return false;
        }
        results = Json::parse(answer.body)["results"];
        return results.size() == items;
      },
      "batch " + id + " is whole");
  return results;
}

}  // namespace

Test(cluster, forms_itself_and_keeps_what_it_acknowledged) {
  Cluster cluster;
  waitUntil([&] { return cluster.readiness() == 503; }, "a gateway without a configuration");
  cr_assert_eq(cluster.control("POST", "/Configuration.Replace", batchConfiguration(2)).status,
               kOk);
  cr_assert_eq(cluster.control("POST", "/Configuration.Replace", {{"version", 3}}).status, 400);
  waitUntil([&] { return cluster.readiness() == kOk; }, "the gateway is ready");
  const StandInEngine engine("i-1");
  cr_assert_eq(
      cluster.control("POST", "/Instances.Heartbeat/" + engine.id(), engine.heartbeat(1)).status,
      kOk);
  waitUntil([&] { return cluster.gateway("POST", "/b/x", batch(6), "one").status == kAccepted; },
            "a batch is accepted");
  const Json results = wholeBatch(cluster, "one", 6);
  for (const Json& result : results) {
    cr_assert_eq(result["message"].get<std::string>(), "ab0\nab1\nab2\nab3\nab4");
    cr_assert_eq(result["versions"].dump(), "[1]");
  }

  // Both leaders die; the others take over, with everything.
  const std::string controller = cluster.leader("127.0.1.");
  const std::string ledger = cluster.leader("127.0.2.");
  cluster.machine(controller).process->kill();
  cluster.machine(ledger).process->kill();
  const HttpAnswer read = cluster.control("GET", "/Configuration.Read", nullptr);
  cr_assert(Json::parse(read.body) == batchConfiguration(2));
  cr_assert(wholeBatch(cluster, "one", 6) == results, "positions never change");
  cluster.start(cluster.machine(controller), false);
  cluster.start(cluster.machine(ledger), false);

  // Ledgers lose their disks, one after the other: each is a voter again before the next.
  for (int i = 1; i <= 3; ++i) {
    const std::string address = "127.0.2." + std::to_string(i);
    const std::string voter = "voters=3 learners=0";
    const std::size_t before = cluster.logged(address, voter);
    cluster.wipe(cluster.machine(address));
    waitUntil([&] { return cluster.logged(address, voter) > before; }, address + " votes again");
  }
  cr_assert(wholeBatch(cluster, "one", 6) == results);
  cr_assert_eq(cluster.gateway("DELETE", "/lots/one").status, kOk);
}

Test(cluster, every_role_tells_its_figures) {
  Cluster cluster;
  cr_assert_eq(cluster.control("POST", "/Configuration.Replace", batchConfiguration(2)).status,
               kOk);
  waitUntil([&] { return cluster.readiness() == kOk; }, "the gateway is ready");
  const auto tells = [&](const std::string& address, const std::string& line) {
    return cluster.figures(address).find(line) != std::string::npos;
  };
  cr_assert(tells("127.0.3.1", "\ntackpick_configuration_version 2\n"));
  cr_assert(tells(cluster.leader("127.0.1."), "\ntackpick_leader 1\n"));
  cr_assert(tells(cluster.leader("127.0.2."), "\ntackpick_voters 3\n"));
  cr_assert(tells("127.0.2.1", "# TYPE tackpick_turn_seconds histogram"));
}

Test(cluster, gateway_stops_as_planned) {
  Cluster cluster;
  cr_assert_eq(cluster.control("POST", "/Configuration.Replace", batchConfiguration(2)).status,
               kOk);
  waitUntil([&] { return cluster.readiness() == kOk; }, "the gateway is ready");
  cluster.machine("127.0.3.1").process->signal(SIGTERM);
  waitUntil([&] { return cluster.readiness() == 503; }, "it says that it is not ready");
  cr_assert_eq(cluster.machine("127.0.3.1").process->wait(), 0);
}

// A soak lost a ledger for good: it was told that its settings changed while it was starting.
// Order of events: the process is started; the signal comes before it listens for signals; its
// default action ends the process. Evidence: settings written for the second start, and not a line
// of that process in its log.
Test(cluster, process_that_starts_survives_word_of_changed_settings) {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("tackpick-start-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  // Reading the settings waits for a writer, so the process stays in its start.
  const std::string settings = folder / "settings.yaml";
  cr_assert_eq(mkfifo(settings.c_str(), S_IRUSR | S_IWUSR), 0);
  tackpick::test::Process process("tackpickd", {"--settings", settings}, folder / "log");
  std::this_thread::sleep_for(kStartTime);
  process.signal(SIGHUP);
  std::this_thread::sleep_for(kStartTime);
  cr_assert_not(process.hasRestarted());
  process.kill();
  std::filesystem::remove_all(folder);
}

Test(cluster, process_stays_while_its_disk_refuses_and_joins_once_it_does_not) {
  Cluster cluster;
  const std::string address = "127.0.1.1";
  const std::string voter = "voters=3 learners=0";
  waitUntil([&] { return cluster.logged(address, voter) > 0; }, "the controllers form a group");
  cluster.machine(address).process->kill();
  // A file where the folder was: nothing can be opened or written below it.
  const std::filesystem::path aside = cluster.dataFolder(address).string() + ".aside";
  std::filesystem::rename(cluster.dataFolder(address), aside);
  std::ofstream(cluster.dataFolder(address)).close();
  const std::size_t before = cluster.logged(address, voter);
  cluster.start(cluster.machine(address), false);
  waitUntil([&] { return cluster.logged(address, "disk_unavailable") > 1; }, "it tries again");
  cr_assert_not(cluster.machine(address).process->hasRestarted());
  std::filesystem::remove(cluster.dataFolder(address));
  std::filesystem::rename(aside, cluster.dataFolder(address));
  waitUntil([&] { return cluster.logged(address, voter) > before; }, "it has its log again");
  cr_assert_eq(cluster.control("POST", "/Configuration.Replace", batchConfiguration(2)).status,
               kOk);
}

// Users saw requests for a route that an accepted change had added refused as unknown, much later
// than a change may take to be in force everywhere.
// Order of events: a gateway hears nothing while a change is accepted; the controllers then lose
// their leader for good; the gateway hears nobody any more, and refuses by what it held before.
// Cause: a refusal that rests on what is missing was given however old the knowledge was.
// Evidence: events 4018 of that gateway tell the older version and an age far above the bound.
Test(cluster, gateway_that_may_have_missed_a_change_does_not_refuse_for_good) {
  Cluster cluster;
  cr_assert_eq(cluster.control("POST", "/Configuration.Replace", batchConfiguration(2)).status,
               kOk);
  waitUntil([&] { return cluster.readiness() == kOk; }, "the gateway is ready");
  cr_assert_eq(cluster.gateway("GET", "/q/1").status, 404, "what it knows is new enough");
  const Json tenants = {{{"name", "a"}, {"apiKeys", {"key-a"}}}};
  cluster.machine("127.0.3.1").process->signal(SIGSTOP);
  cr_assert_eq(
      cluster.control("POST", "/Configuration.Replace", tenantConfiguration(3, tenants)).status,
      kOk);
  for (int i = 1; i <= 3; ++i) {
    cluster.machine("127.0.1." + std::to_string(i)).process->kill();
  }
  std::this_thread::sleep_for(kLongerThanBehind);
  cluster.machine("127.0.3.1").process->signal(SIGCONT);
  const HttpAnswer unsure = cluster.gatewayAs("key-a", "GET", "/q/1");
  cr_assert_eq(unsure.status, 503, "a route that was added is refused with %d", unsure.status);
  cr_assert(unsure.headers.contains("retry-after"));
  for (int i = 1; i <= 3; ++i) {
    cluster.start(cluster.machine("127.0.1." + std::to_string(i)), false);
  }
  waitUntil([&] { return cluster.gateway("GET", "/q/1").status == 401; },
            "the change is in force, and a request without a key is refused for good");
}

// An engine starts again under its name while texts run there, and its end is not seen: the
// connections to its former life stay open and silent. Late words of that life come afterwards.
Test(cluster, texts_go_on_at_an_engine_that_started_again_under_its_name) {
  constexpr std::uint64_t kBorn = 1'000'000;
  constexpr std::uint64_t kBornAgain = 2'000'000;
  Cluster cluster;
  cr_assert_eq(cluster.control("POST", "/Configuration.Replace", batchConfiguration(2)).status,
               kOk);
  waitUntil([&] { return cluster.readiness() == kOk; }, "the gateway is ready");
  StandInEngine formerLife("i-1");
  formerLife.stall();
  const std::string path = "/Instances.Heartbeat/i-1";
  cr_assert_eq(cluster.control("POST", path, formerLife.heartbeat(50, kBorn)).status, kOk);
  waitUntil([&] { return cluster.gateway("POST", "/b/x", batch(3), "one").status == kAccepted; },
            "a batch is accepted");
  waitUntil([&] { return formerLife.stalled() > 0; }, "a text runs");
  const StandInEngine newLife("i-1");
  // Its counts start anew, so a lower number is not a late one.
  cr_assert_eq(cluster.control("POST", path, newLife.heartbeat(1, kBornAgain)).status, kOk);
  Json draining = formerLife.heartbeat(51, kBorn);
  draining["state"] = "draining";
  cr_assert_eq(cluster.control("POST", path, draining).status, kOk);
  cr_assert_eq(cluster.control("POST", "/Instances.Leave/i-1", {{"born", kBorn}}).status, kOk);
  for (const Json& result : wholeBatch(cluster, "one", 3)) {
    cr_assert_eq(result["message"].get<std::string>(), "ab0\nab1\nab2\nab3\nab4");
  }
  cr_assert_gt(newLife.tenants("/b/").size(), 0U, "they ended at the new life");
  // It is told apart in what the platform may send, too: what cannot be read changes nothing.
  cr_assert_eq(cluster.control("POST", path, {{"service", 7}}).status, 400);
  waitUntil([&] { return cluster.gateway("POST", "/b/x", batch(2), "two").status == kAccepted; },
            "another batch is accepted");
  cr_assert_eq(wholeBatch(cluster, "two", 2).size(), 2U);
}

// The former life gets no new work, ever; the new one is another engine.
Test(cluster, engine_that_starts_again_in_the_midst_of_a_drain_gets_work) {
  constexpr std::uint64_t kBorn = 1'000'000;
  constexpr std::uint64_t kBornAgain = 2'000'000;
  Cluster cluster;
  cr_assert_eq(
      cluster.control("POST", "/Configuration.Replace", tenantConfiguration(2, Json::array()))
          .status,
      kOk);
  const StandInEngine formerLife("i-1");
  const std::string path = "/Instances.Heartbeat/i-1";
  cr_assert_eq(cluster.control("POST", path, formerLife.heartbeat(5, kBorn)).status, kOk);
  const auto ask = [&] { return cluster.gateway("POST", "/q/1", "", "r").status; };
  waitUntil([&] { return ask() == kOk; }, "it is used");
  Json draining = formerLife.heartbeat(6, kBorn);
  draining["state"] = "draining";
  cr_assert_eq(cluster.control("POST", path, draining).status, kOk);
  waitUntil([&] { return ask() == 503; }, "it gets no new work");
  const StandInEngine newLife("i-1");
  cr_assert_eq(cluster.control("POST", path, newLife.heartbeat(1, kBornAgain)).status, kOk);
  waitUntil([&] { return ask() == kOk; }, "the new life is used");
  draining["sequence"] = 7;
  cr_assert_eq(cluster.control("POST", path, draining).status, kOk);
  cr_assert_eq(ask(), kOk, "what the former life says late does not concern the new one");
}

Test(cluster, engine_that_starts_again_in_the_midst_of_a_load_is_ordered_anew) {
  constexpr std::uint64_t kBorn = 1'000'000;
  constexpr std::uint64_t kBornAgain = 2'000'000;
  Cluster cluster;
  cr_assert_eq(cluster.control("POST", "/Configuration.Replace", batchConfiguration(2)).status,
               kOk);
  const StandInEngine formerLife("i-1");
  const std::string path = "/Instances.Heartbeat/i-1";
  cr_assert_eq(cluster.control("POST", path, formerLife.heartbeat(5, kBorn)).status, kOk);
  cr_assert_eq(cluster.control("POST", "/version-put", {{"model", "m"}, {"version", 2}}).status,
               kOk);
  waitUntil([&] { return formerLife.orders() > 0; }, "it is ordered to load");
  const StandInEngine newLife("i-1");
  std::uint64_t sequence = 0;
  waitUntil(
      [&] {
        (void)cluster.control("POST", path, newLife.heartbeat(++sequence, kBornAgain));
        return newLife.orders() > 0;
      },
      "an order that the former life has taken is none for the new one");
}

Test(cluster, tenants_see_their_own_and_lose_what_their_keys_lose) {
  Cluster cluster;
  const Json before = {{{"name", "a"}, {"apiKeys", {"key-a", "key-a2"}}},
                       {{"name", "b"}, {"apiKeys", {"key-b"}}}};
  const Json shared = {{{"name", "a"}, {"apiKeys", {"key-a"}}},
                       {{"name", "b"}, {"apiKeys", {"key-a"}}}};
  const Json after = {{{"name", "a"}, {"apiKeys", {"key-a2"}}},
                      {{"name", "b"}, {"apiKeys", {"key-b"}}}};
  cr_assert_eq(
      cluster.control("POST", "/Configuration.Replace", tenantConfiguration(2, before)).status,
      kOk);
  const HttpAnswer refused =
      cluster.control("POST", "/Configuration.Replace", tenantConfiguration(3, shared));
  cr_assert_eq(refused.status, 400);
  cr_assert_eq(refused.body.find("key-a"), std::string::npos);
  waitUntil([&] { return cluster.readiness() == kOk; }, "the gateway is ready");
  const StandInEngine engine("i-1");
  cr_assert_eq(
      cluster.control("POST", "/Instances.Heartbeat/" + engine.id(), engine.heartbeat(1)).status,
      kOk);
  waitUntil([&] { return cluster.gatewayAs("key-b", "GET", "/q/1", "", "r").status == kOk; },
            "a request of b is served");
  cr_assert_eq(cluster.gateway("GET", "/q/1").status, 401);
  cr_assert_eq(cluster.gatewayAs("key-x", "GET", "/q/1").status, 401);
  waitUntil(
      [&] {
        return cluster.gatewayAs("key-a", "POST", "/b/x", batch(6), "one").status == kAccepted;
      },
      "a batch of a is accepted");
  cr_assert_eq(cluster.gatewayAs("key-b", "GET", "/lots/one").status, 404);
  cr_assert_eq(cluster.gatewayAs("key-b", "GET", "/items/one?identifier=item0").status, 404);
  cr_assert_eq(cluster.gatewayAs("key-b", "POST", "/b/x", batch(6), "one").status, 409);

  // The key that submitted the batch goes; the batch stays its tenant's.
  cr_assert_eq(
      cluster.control("POST", "/Configuration.Replace", tenantConfiguration(4, after)).status, kOk);
  waitUntil([&] { return cluster.gatewayAs("key-a", "GET", "/lots/one").status == 401; },
            "the key that was taken away is refused");
  waitUntil(
      [&] {
        const HttpAnswer answer = cluster.gatewayAs("key-a2", "GET", "/lots/one");
        return answer.status == kOk && Json::parse(answer.body)["results"].size() == 6;
      },
      "the batch is whole for another key of its tenant");
  const std::map<std::string, int> items = engine.tenants("/b/");
  cr_assert(items.size() == 1 && items.contains("a"), "items run for their tenant only");
  const std::map<std::string, int> requests = engine.tenants("/q/");
  cr_assert(requests.size() == 1 && requests.contains("b"));
}

Test(cluster, usage_is_reported_once_and_unchanged_while_holders_die) {
  const StandInDutyPlatform platform;
  Cluster cluster({.dutyPlatform = platform.port()});
  const Json tenants = {{{"name", "a"}, {"apiKeys", {"key-a"}}},
                        {{"name", "b"}, {"apiKeys", {"key-b"}}}};
  cr_assert_eq(
      cluster.control("POST", "/Configuration.Replace", tenantConfiguration(2, tenants)).status,
      kOk);
  waitUntil([&] { return cluster.readiness() == kOk; }, "the gateway is ready");
  const StandInEngine engine("i-1");
  cr_assert_eq(
      cluster.control("POST", "/Instances.Heartbeat/" + engine.id(), engine.heartbeat(1)).status,
      kOk);
  const auto ask = [&](const std::string& key, int times) {
    for (int i = 0; i < times; ++i) {
      (void)cluster.gatewayAs(key, "GET", "/q/1", "", key + std::to_string(i));
    }
  };
  waitUntil([&] { return cluster.gatewayAs("key-b", "GET", "/q/1", "", "r").status == kOk; },
            "a request is served");
  ask("key-a", 30);
  waitUntil([&] { return platform.reports().size() > 1; }, "usage is reported");
  const std::string holder = cluster.leader("127.0.1.");
  cluster.machine(holder).process->kill();
  ask("key-b", 20);
  ask("key-a", 5);
  waitUntil([&] { return platform.total() == engine.tenants("/q/"); },
            "reports add up to what ran");
  std::map<std::uint64_t, Json> windows;
  std::map<std::uint64_t, std::string> holders;
  std::uint64_t highest = 0;
  for (const StandInDutyPlatform::Report& report : platform.reports()) {
    cr_assert(windows.try_emplace(report.window, report.counts).first->second == report.counts);
    cr_assert_eq(holders.try_emplace(report.fence, report.holder).first->second, report.holder);
    cr_assert_geq(report.fence, highest);
    highest = std::max(highest, report.fence);
  }
  cr_assert_geq(holders.size(), 2U, "another took over");
}
