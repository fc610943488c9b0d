/// A request that ends each engine that runs it.
///
/// What users saw: all servers of one service went within a second, came back after some seconds,
/// and went again, for as long as one caller repeated its request; everybody else's requests of
/// that service failed with them, or found no server.
///
/// The order of events: the request is sent to a server, the server ends, the gateway answers that
/// the request may have run. The caller repeats it under another id, at another gateway, which
/// sends it to the next server. A request that may be repeated takes several servers in one try.
///
/// The cause: what a gateway knows of a request ends with the exchange. The number of servers that
/// one request may end was kept by nobody over all tries and gateways. The evidence: one
/// fingerprint (method, path, caller, body) in the lines `run_broken` of all gateways, at every
/// server that ended, under twenty different ids.
#include <criterion/criterion.h>

#include <chrono>
#include <thread>

#include "integration/self_formed_cluster.h"
#include "integration/stand_in_engine.h"

using tackpick::runtime::Json;
using tackpick::test::call;
using tackpick::test::HttpAnswer;
using tackpick::test::StandInEngine;
using tackpick::test::tenantConfiguration;
using tackpick::test::waitUntil;
using Cluster = tackpick::test::SelfFormedCluster;

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr std::size_t kGateways = 3;
constexpr std::size_t kEngines = 3;
/// Engines that one request may end before it is held back.
constexpr std::size_t kMaxEnded = 3;
/// An engine is back after it ended.
constexpr auto kRestart = std::chrono::milliseconds(400);
/// Within this time all gateways must know what any of them has seen.
constexpr auto kKnownEverywhere = std::chrono::milliseconds(3000);

/// Engines that end under requests to `path`, each replaced by a new one that does too.
class EndingEngines {
 public:
  EndingEngines(Cluster& cluster, std::string path) : m_cluster(cluster), m_path(std::move(path)) {
    for (std::size_t i = 0; i < kEngines; ++i) {
      add();
    }
  }

  /// Starts a new engine for each that has ended, and tells the controllers that the others live.
  void tend() {
    const std::size_t running = m_engines.size();
    for (std::size_t i = 0; i < running; ++i) {
      if (m_engines[i]->hasRestarted() && !m_replaced[i]) {
        m_replaced[i] = true;
        std::this_thread::sleep_for(kRestart);
        add();
      } else if (!m_engines[i]->hasRestarted()) {
        report(*m_engines[i]);
      }
    }
  }

  [[nodiscard]] std::size_t ended() const {
    std::size_t count = 0;
    for (const auto& engine : m_engines) {
      count += engine->hasRestarted() ? 1 : 0;
    }
    return count;
  }

 private:
  void add() {
    m_engines.push_back(std::make_unique<StandInEngine>("i-" + std::to_string(m_engines.size())));
    m_engines.back()->endOn(m_path);
    m_replaced.push_back(false);
    report(*m_engines.back());
  }

  void report(const StandInEngine& engine) {
    cr_assert_eq(
        m_cluster
            .control("POST", "/Instances.Heartbeat/" + engine.id(), engine.heartbeat(++m_sequence))
            .status,
        kOk);
  }

  Cluster& m_cluster;
  const std::string m_path;
  std::vector<std::unique_ptr<StandInEngine>> m_engines;
  std::vector<bool> m_replaced;
  std::uint64_t m_sequence = 0;
};

/// Callers of all gateways in turn; each try has an id of its own.
class Callers {
 public:
  explicit Callers(Cluster& cluster) : m_cluster(cluster) {}

  HttpAnswer ask(const std::string& path) {
    ++m_tries;
    const std::string address = "127.0.3." + std::to_string(1 + m_tries % kGateways);
    return call({"POST",
                 m_cluster.gatewayUrl(address, path),
                 "two seats",
                 {},
                 {{"Host", "batches.example"}, {"Request-Id", "try-" + std::to_string(m_tries)}},
                 10});
  }

 private:
  Cluster& m_cluster;
  std::size_t m_tries = 0;
};

void configure(Cluster& cluster, Callers& callers) {
  cr_assert_eq(
      cluster.control("POST", "/Configuration.Replace", tenantConfiguration(2, Json::array()))
          .status,
      kOk);
  for (std::size_t served = 0; served < kGateways;) {
    waitUntil([&] { return callers.ask("/q/sound").status == kOk; }, "a gateway serves");
    ++served;
  }
}

void endAsManyAsAllowed(Callers& callers, EndingEngines& engines) {
  for (int tries = 0; tries < 20 && engines.ended() < kMaxEnded; ++tries) {
    callers.ask("/q/end");
    engines.tend();
  }
  cr_assert_geq(engines.ended(), kMaxEnded);
}

/// The requests that are held, as an operator reads them.
Json holds(Cluster& cluster) {
  return Json::parse(cluster.control("GET", "/v1/quarantine", nullptr).body)["held"];
}

/// A batch of four items, of which one ends each engine that runs it.
std::string batchWithOneThatEnds() {
  Json made = Json::parse(tackpick::test::batch(4));
  made["items"][0]["path"] = "/b/end";
  for (std::size_t i = 0; i < made["items"].size(); ++i) {
    made["items"][i]["group"] = "g" + std::to_string(i);
  }
  return made.dump();
}

}  // namespace

Test(quarantine, request_that_ends_every_engine_is_held_back_at_all_gateways) {
  Cluster cluster({.gateways = kGateways});
  Callers callers(cluster);
  cr_assert_eq(
      cluster.control("POST", "/Configuration.Replace", tenantConfiguration(1, Json::array()))
          .status,
      kOk);
  EndingEngines engines(cluster, "/q/end");
  configure(cluster, callers);

  endAsManyAsAllowed(callers, engines);
  std::this_thread::sleep_for(kKnownEverywhere);
  engines.tend();

  const std::size_t endedSoFar = engines.ended();
  constexpr std::size_t kFurtherTries = 12;
  for (std::size_t tries = 0; tries < kFurtherTries; ++tries) {
    const HttpAnswer answer = callers.ask("/q/end");
    cr_expect(answer.status == kBadGateway, "it has run in earlier tries: %d", answer.status);
    cr_expect(answer.headers.contains("retry-after"), "a caller is told when to come back");
    cr_expect_neq(answer.status, kUnavailable, "that would say that it never ran");
    engines.tend();
    waitUntil([&] { return callers.ask("/q/sound").status == kOk; }, "others are served");
  }
  cr_assert_leq(engines.ended(), endedSoFar + 1, "%zu engines ended under further tries",
                engines.ended() - endedSoFar);
}

Test(quarantine, hold_outlives_leader_and_gateways_and_ends_by_an_operators_word) {
  Cluster cluster({.gateways = kGateways});
  Callers callers(cluster);
  EndingEngines engines(cluster, "/q/end");
  configure(cluster, callers);
  endAsManyAsAllowed(callers, engines);
  waitUntil([&] { return holds(cluster).size() == 1; }, "the request is held");

  const std::string leader = cluster.leader("127.0.1.");
  cluster.machine(leader).process->kill();
  for (const std::string& address : cluster.addresses("127.0.3.")) {
    cluster.machine(address).process->kill();
    cluster.start(cluster.machine(address), false);
  }
  cluster.start(cluster.machine(leader), false);
  waitUntil([&] { return holds(cluster).size() == 1; }, "the next leader holds it");
  engines.tend();
  waitUntil([&] { return callers.ask("/q/sound").status == kOk; }, "a gateway serves again");
  const std::size_t endedSoFar = engines.ended();
  for (std::size_t tries = 0; tries < kGateways; ++tries) {
    const int status = callers.ask("/q/end").status;
    cr_expect(status == kBadGateway || status == kUnavailable, "held, or not ready: %d", status);
  }
  cr_assert_leq(engines.ended(), endedSoFar + 1, "one trial may have been due");

  const std::string fingerprint = holds(cluster)[0]["fingerprint"];
  cr_assert_eq(cluster.control("DELETE", "/v1/quarantine/none", nullptr).status, 400);
  cr_assert_eq(cluster.control("DELETE", "/v1/quarantine/" + fingerprint, nullptr).status, kOk);
  cr_assert_eq(cluster.control("DELETE", "/v1/quarantine/" + fingerprint, nullptr).status, 404);
  cr_assert(holds(cluster).empty());
  engines.tend();
  const std::size_t endedBefore = engines.ended();
  waitUntil(
      [&] {
        engines.tend();
        callers.ask("/q/end");
        return engines.ended() > endedBefore;
      },
      "a released request is sent again");
}

// An item has no caller who could give up: it went from engine to engine until its time was over.
Test(quarantine, item_that_ends_engines_is_held_and_the_others_finish) {
  Cluster cluster({.gateways = kGateways});
  Callers callers(cluster);
  EndingEngines engines(cluster, "/b/end");
  configure(cluster, callers);
  waitUntil(
      [&] {
        return cluster.gateway("POST", "/b/x", batchWithOneThatEnds(), "job").status == kAccepted;
      },
      "a batch is accepted");
  waitUntil(
      [&] {
        engines.tend();
        const HttpAnswer answer = cluster.gateway("GET", "/lots/job");
        return answer.status == kOk && Json::parse(answer.body)["results"].size() == 3;
      },
      "the sound items are whole");
  waitUntil(
      [&] {
        engines.tend();
        return holds(cluster).size() == 1;
      },
      "the item is held");
  constexpr int kRounds = 60;
  for (int round = 0; round < kRounds; ++round) {
    engines.tend();
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  constexpr std::size_t kTrialsByThen = 1;
  cr_assert_leq(engines.ended(), kMaxEnded + kTrialsByThen);
  cr_assert_eq(Json::parse(cluster.gateway("GET", "/lots/job").body)["results"].size(), 3U,
               "the held item is not given up before its time");
}
