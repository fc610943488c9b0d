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
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr std::size_t kGateways = 3;
constexpr std::size_t kEngines = 3;
/// Engines that one request may end before it is held back.
constexpr std::size_t kMostEnded = 3;
/// An engine is back after it ended.
constexpr auto kRestart = std::chrono::milliseconds(400);
/// Within this time all gateways must know what any of them has seen.
constexpr auto kKnownEverywhere = std::chrono::milliseconds(3000);

/// Engines that end under requests to `/q/end`, each replaced by a new one that does too.
class EndingEngines {
 public:
  explicit EndingEngines(Cluster& cluster) : m_cluster(cluster) {
    for (std::size_t i = 0; i < kEngines; ++i) {
      add();
    }
  }

  /// Starts a new engine for each that has ended, and tells the controllers that the others live.
  void tend() {
    const std::size_t running = m_engines.size();
    for (std::size_t i = 0; i < running; ++i) {
      if (m_engines[i]->hasEnded() && !m_replaced[i]) {
        m_replaced[i] = true;
        std::this_thread::sleep_for(kRestart);
        add();
      } else if (!m_engines[i]->hasEnded()) {
        report(*m_engines[i]);
      }
    }
  }

  [[nodiscard]] std::size_t ended() const {
    std::size_t count = 0;
    for (const auto& engine : m_engines) {
      count += engine->hasEnded() ? 1 : 0;
    }
    return count;
  }

 private:
  void add() {
    m_engines.push_back(std::make_unique<StandInEngine>("i-" + std::to_string(m_engines.size())));
    m_engines.back()->endOn("/q/end");
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

}  // namespace

Test(quarantine, request_that_ends_every_engine_is_held_back_at_all_gateways) {
  Cluster cluster({.gateways = kGateways});
  Callers callers(cluster);
  cr_assert_eq(
      cluster.control("POST", "/Configuration.Replace", tenantConfiguration(1, Json::array()))
          .status,
      kOk);
  EndingEngines engines(cluster);
  configure(cluster, callers);

  for (int tries = 0; tries < 20 && engines.ended() < kMostEnded; ++tries) {
    callers.ask("/q/end");
    engines.tend();
  }
  cr_assert_geq(engines.ended(), kMostEnded);
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
