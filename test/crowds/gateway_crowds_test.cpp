/// Tests of crowds of clients at the callers' port of a gateway: it stays within the resources of
/// its machine and serves an ordinary request while the crowd's connections are open.
#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include "crowds/crowd_cluster.h"

using namespace tackpick::test;
using tackpick::runtime::Json;

namespace {

constexpr std::size_t kCrowd = 16;
constexpr std::size_t kConnections = 900;
constexpr std::size_t kPieceBytes = 64U << 10U;
constexpr int kPayloadTooLarge = 413;

/// Plays the script with `count` clients and checks the gateway.
void checkCrowd(const ClientScript& script, std::size_t count = kCrowd, CrowdSetting setting = {}) {
  CrowdCluster crowd(setting);
  ClientCrowd clients(kCrowdGateway, crowd.cluster().httpPort(), script, count);
  clients.send();
  crowd.expectOrdinaryRequestServed();
  crowd.expectWithinResources();
}

/// Script of a client that announces a body at the limit and stops `missing` bytes before its end.
ClientScript announcedBody(std::size_t missing, std::chrono::milliseconds pause = {}) {
  const std::size_t limit = CrowdSetting{}.bodyLimitBytes;
  return {headWithLength("/q/1", limit), std::string(kPieceBytes, 'x'), limit - missing, pause};
}

/// Script of a client that sends `payload` bytes in chunks of `chunkBytes` and not the last chunk.
ClientScript chunkedBody(std::size_t chunkBytes, std::size_t payload) {
  const std::string one = chunk(std::string(chunkBytes, 'x'));
  const std::size_t chunks = payload / chunkBytes;
  const std::size_t perPiece = std::max<std::size_t>(1, kPieceBytes / one.size());
  std::string piece;
  for (std::size_t i = 0; i < perPiece; ++i) {
    piece += one;
  }
  return {chunkedHead("/q/1"), piece, chunks * one.size()};
}

/// Returns a batch of about `bytes` bytes whose items do not compress.
std::string incompressibleBatch(std::size_t bytes) {
  constexpr std::size_t kItems = 16;
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::mt19937 random(1);
  Json items = Json::array();
  for (std::size_t i = 0; i < kItems; ++i) {
    std::string body(bytes / kItems / 4 * 4, 'A');
    for (char& digit : body) {
      digit = kDigits[random() % kDigits.size()];
    }
    items.push_back({{"identifier", "item" + std::to_string(i)},
                     {"path", "/b/run"},
                     {"headers", {{"Model", "m"}}},
                     {"body", body},
                     {"tokens", 10},
                     {"group", "g"}});
  }
  return Json{{"step", 0}, {"model", "m"}, {"minimumVersion", 1}, {"items", items}}.dump();
}

/// The limits and machines of the smallest deployment whose bodies may have 32 MiB.
CrowdSetting smallMachines() {
  CrowdSetting setting;
  setting.gateway = {160, 4100};
  setting.ledger = {270, 8200};
  setting.controller = {256, 4096};
  setting.bodyLimitBytes = std::size_t{32} << 20U;
  return setting;
}

ClientScript wholeBody(const std::string& path, const std::string& id, const std::string& body) {
  std::string head = headWithLength(path, body.size());
  head.replace(head.find("crowd"), 5, id);
  return {head, body, body.size()};
}

}  // namespace

Test(gateway_crowds, bodies_that_stop_one_byte_before_their_end_exhaust_the_memory) {
  checkCrowd(announcedBody(1));
}

Test(gateway_crowds, bodies_that_arrive_in_pieces_and_stop_short_exhaust_the_memory) {
  checkCrowd(announcedBody(1, std::chrono::milliseconds(2)));
}

Test(gateway_crowds, half_sent_bodies_exhaust_the_memory) {
  checkCrowd(announcedBody(CrowdSetting{}.bodyLimitBytes / 2), 2 * kCrowd);
}

Test(gateway_crowds, whole_bodies_at_the_limit_exhaust_the_memory) { checkCrowd(announcedBody(0)); }

Test(gateway_crowds, bodies_in_large_chunks_that_stop_short_exhaust_the_memory) {
  constexpr std::size_t kChunkBytes = 256U << 10U;
  checkCrowd(chunkedBody(kChunkBytes, CrowdSetting{}.bodyLimitBytes - kChunkBytes));
}

Test(gateway_crowds, bodies_in_chunks_of_one_byte_exhaust_the_memory) {
  checkCrowd(chunkedBody(1, CrowdSetting{}.bodyLimitBytes / 2), kCrowd);
}

Test(gateway_crowds, chunks_without_end_exhaust_the_memory) {
  constexpr std::size_t kChunkBytes = 256U << 10U;
  checkCrowd(chunkedBody(kChunkBytes, 4 * CrowdSetting{}.bodyLimitBytes));
}

Test(gateway_crowds, bodies_announced_far_over_the_limit_exhaust_the_memory) {
  checkCrowd({headWithLength("/q/1", std::size_t{64} << 30U), std::string(kPieceBytes, 'x'),
              2 * CrowdSetting{}.bodyLimitBytes});
}

Test(gateway_crowds, chunk_extensions_without_end_exhaust_the_memory) {
  checkCrowd({chunkedHead("/q/1") + "1;x=", std::string(kPieceBytes, 'x'),
              2 * CrowdSetting{}.bodyLimitBytes});
}

Test(gateway_crowds, heads_without_a_body_exhaust_the_descriptors) {
  checkCrowd({headWithLength("/q/1", 1)}, kConnections);
}

Test(gateway_crowds, connections_that_send_nothing_exhaust_the_descriptors) {
  checkCrowd({""}, kConnections);
}

Test(gateway_crowds, unfinished_heads_exhaust_the_descriptors) {
  checkCrowd({"POST /q/1 HTTP/1.1\r\nHost: batches.example\r\nX-"}, kConnections);
}

Test(gateway_crowds, heads_of_many_short_fields_exhaust_the_memory) {
  std::string fields = "POST /q/1 HTTP/1.1\r\nHost: batches.example\r\n";
  while (fields.size() < 7000) {
    fields += "a:\r\n";
  }
  CrowdSetting setting;
  setting.gateway = {64, 4000};
  checkCrowd({fields}, 1500, setting);
}

Test(gateway_crowds, requests_sent_ahead_exhaust_the_memory) {
  const std::string head = headWithLength("/q/1", kPieceBytes);
  CrowdSetting setting;
  setting.gateway = {64, 4000};
  checkCrowd({head, std::string(kPieceBytes, 'x') + head, 8 * kPieceBytes}, 800, setting);
}

Test(gateway_crowds, body_of_nested_arrays_exhausts_the_memory) {
  const std::string body(CrowdSetting{}.bodyLimitBytes, '[');
  checkCrowd(wholeBody("/b/x", "nested", body), 2);
}

Test(gateway_crowds, body_of_many_values_exhausts_the_memory) {
  std::string body = R"({"items":[)";
  while (body.size() < CrowdSetting{}.bodyLimitBytes - 2) {
    body += "0,";
  }
  checkCrowd(wholeBody("/b/x", "flat", body), 2);
}

Test(gateway_crowds, job_with_a_field_of_many_values_exhausts_the_memory) {
  std::string body = R"({"extra":[0)";
  while (body.size() < CrowdSetting{}.bodyLimitBytes - 20) {
    body += ",{}";
  }
  checkCrowd(wholeBody("/b/x", "extra", body + R"(],"items":[]})"), 2);
}

Test(gateway_crowds, batch_jobs_at_once_exhaust_the_memory) {
  constexpr std::size_t kJobs = 20;
  CrowdCluster crowd;
  const std::string body = incompressibleBatch(crowd.bodyLimitBytes() - (1U << 20U));
  std::vector<std::unique_ptr<ClientCrowd>> clients;
  for (std::size_t i = 0; i < kJobs; ++i) {
    clients.push_back(
        std::make_unique<ClientCrowd>(kCrowdGateway, crowd.cluster().httpPort(),
                                      wholeBody("/b/x", "job-" + std::to_string(i), body), 1));
  }
  std::vector<std::thread> senders;
  for (const auto& client : clients) {
    senders.emplace_back([&client] { client->send(); });
  }
  for (std::thread& sender : senders) {
    sender.join();
  }
  crowd.expectOrdinaryRequestServed();
  crowd.expectWithinResources();
}

Test(gateway_crowds, all_kinds_again_and_again_exhaust_the_memory) {
  constexpr int kRounds = 3;
  constexpr std::size_t kChunkBytes = 256U << 10U;
  CrowdCluster crowd;
  std::vector<std::unique_ptr<ClientCrowd>> clients;
  const std::string nested(crowd.bodyLimitBytes(), '[');
  const std::vector<ClientScript> scripts = {
      announcedBody(1),
      announcedBody(0),
      chunkedBody(kChunkBytes, crowd.bodyLimitBytes() - kChunkBytes),
      chunkedBody(1, crowd.bodyLimitBytes() / 8),
      wholeBody("/b/x", "nested", nested),
      {headWithLength("/q/1", 1)}};
  for (int round = 0; round < kRounds; ++round) {
    for (const ClientScript& script : scripts) {
      clients.push_back(std::make_unique<ClientCrowd>(kCrowdGateway, crowd.cluster().httpPort(),
                                                      script, kCrowd / 2));
      clients.back()->send();
    }
    crowd.expectOrdinaryRequestServed();
    clients.clear();
  }
  crowd.expectOrdinaryRequestServed();
  crowd.expectWithinResources();
}

Test(gateway_crowds, crowd_at_the_readiness_port_exhausts_the_memory) {
  CrowdCluster crowd;
  constexpr std::size_t kBytes = 7U << 20U;
  ClientCrowd bodies(kCrowdGateway, crowd.cluster().readinessPort(),
                     {headWithLength("/ready", kBytes), std::string(kPieceBytes, 'x'), kBytes - 1},
                     kCrowd);
  bodies.send();
  ClientCrowd connections(kCrowdGateway, crowd.cluster().readinessPort(),
                          {headWithLength("/ready", 1)}, kConnections);
  connections.send();
  waitUntil([&] { return crowd.cluster().readinessStatus() == 200; }, "the gateway reports ready");
  crowd.expectOrdinaryRequestServed();
  crowd.expectWithinResources();
}

Test(gateway_crowds, crowd_at_the_metrics_port_exhausts_the_memory) {
  CrowdCluster crowd;
  constexpr std::size_t kBytes = 7U << 20U;
  ClientCrowd bodies(
      kCrowdGateway, crowd.cluster().metricsPort(),
      {headWithLength("/metrics", kBytes), std::string(kPieceBytes, 'x'), kBytes - 1}, kCrowd);
  bodies.send();
  ClientCrowd connections(kCrowdGateway, crowd.cluster().metricsPort(),
                          {headWithLength("/metrics", 1)}, kConnections);
  connections.send();
  waitUntil([&] { return !crowd.cluster().readMetrics(kCrowdGateway).empty(); },
            "the gateway's metrics are read");
  crowd.expectOrdinaryRequestServed();
  crowd.expectWithinResources();
}

Test(gateway_crowds, connections_at_the_internal_port_exhaust_the_descriptors) {
  CrowdCluster crowd;
  ClientCrowd connections(kCrowdGateway, crowd.cluster().internalPort(), {""}, kConnections);
  connections.send();
  crowd.expectOrdinaryRequestServed();
  crowd.expectWithinResources();
}

Test(gateway_crowds, rejection_is_lost_by_a_client_that_is_still_sending) {
  CrowdCluster crowd;
  constexpr std::size_t kSent = 1U << 20U;
  ClientCrowd clients(kCrowdGateway, crowd.cluster().httpPort(),
                      {headWithLength("/q/1", 2 * crowd.bodyLimitBytes()),
                       std::string(kPieceBytes, 'x'), kSent, std::chrono::milliseconds(20)},
                      1);
  clients.send();
  waitUntil([&] { return !clients.responses().front().empty(); }, "a response");
  cr_expect_eq(clients.closedCount(), 0, "the connection was reset while the client was sending");
  cr_expect(
      clients.responses().front().starts_with("HTTP/1.1 " + std::to_string(kPayloadTooLarge)));
}

Test(gateway_crowds, single_request_at_the_limit_is_not_served) {
  CrowdCluster crowd(smallMachines());
  const std::string body(crowd.bodyLimitBytes(), 'x');
  const int status = crowd.cluster().callGateway("POST", "/q/1", body, "forwarded").status;
  cr_expect_eq(status, 200, "status %d", status);
  crowd.expectOrdinaryRequestServed();
  crowd.expectWithinResources();
}

Test(gateway_crowds, single_request_at_the_limit_in_chunks_is_not_served) {
  CrowdCluster crowd(smallMachines());
  constexpr std::size_t kChunkBytes = 256U << 10U;
  ClientScript script{chunkedHead("/q/1")};
  for (std::size_t sent = 0; sent < crowd.bodyLimitBytes(); sent += kChunkBytes) {
    script.piece += chunk(std::string(kChunkBytes, 'x'));
  }
  script.piece += "0\r\n\r\n";
  script.bytesOfPieces = script.piece.size();
  ClientCrowd client(kCrowdGateway, crowd.cluster().httpPort(), script, 1);
  client.send();
  waitUntil([&] { return !client.responses().front().empty(); }, "a response");
  cr_expect(client.responses().front().starts_with("HTTP/1.1 200"));
  crowd.expectOrdinaryRequestServed();
  crowd.expectWithinResources();
}

Test(gateway_crowds, single_batch_job_at_the_limit_is_not_accepted) {
  CrowdCluster crowd(smallMachines());
  const std::string job = incompressibleBatch(crowd.bodyLimitBytes() - (1U << 20U));
  waitUntil([&] { return crowd.cluster().callGateway("POST", "/b/x", job, "job").status == 202; },
            "the job is accepted");
  crowd.expectOrdinaryRequestServed();
  crowd.expectWithinResources();
}

Test(gateway_crowds, single_configuration_at_the_limit_is_not_accepted) {
  CrowdCluster crowd(smallMachines());
  Json configuration = crowd.configuration();
  configuration["version"] = 3;
  constexpr std::size_t kNoteBytes = 1U << 20U;
  for (std::size_t i = 0; i + 1 < crowd.bodyLimitBytes() / kNoteBytes; ++i) {
    configuration["notes"].push_back(std::string(kNoteBytes, static_cast<char>('a' + i % 26)));
  }
  const int status =
      crowd.cluster().callController("POST", "/Configuration.Replace", configuration).status;
  cr_expect_eq(status, 200, "status %d", status);
  crowd.expectOrdinaryRequestServed();
  crowd.expectWithinResources();
}
