/// Tests with real processes behind the fault proxy. They wait for conditions instead of
/// fixed delays.
#include "integration/fleet.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>

using tackpick::runtime::Json;
using tackpick::test::Fleet;
using tackpick::test::HttpRequest;
using tackpick::test::HttpResponse;
using tackpick::test::Node;
using tackpick::test::sendRequest;
using tackpick::test::waitUntil;

namespace {

const std::vector<std::uint32_t> kSampleLengths(24, 60);

Json completionBody(const std::string& prompt, std::uint32_t tokens) {
  return {{"workload", "ask"},
          {"prompt", "[[tokens=" + std::to_string(tokens) + "]]" + prompt},
          {"max_tokens", 4000}};
}

Json nonIdempotentBody(const std::string& prompt, std::uint32_t tokens) {
  Json body = completionBody(prompt, tokens);
  body["not_repeatable"] = true;
  return body;
}

std::size_t countExecutions(const Json& record, const std::string& prompt) {
  std::size_t times = 0;
  for (const Json& run : record["not_repeatable_runs"]) {
    times += run.get<std::string>().find(prompt) == std::string::npos ? 0 : 1;
  }
  return times;
}

std::string verdictOf(const HttpResponse& response) {
  const Json body = Json::parse(response.body, nullptr, false);
  return body.is_object() && body.contains("error") ? body["error"].value("verdict", "") : "";
}

}  // namespace

Test(fleet, serves_a_request_and_a_batch) {
  Fleet fleet;
  const HttpResponse response =
      fleet.requestCompletion(fleet.gateways()[0], completionBody("hello", 9));
  cr_assert_eq(response.status, 200);
  cr_assert_eq(Json::parse(response.body)["usage"]["completion_tokens"].get<int>(), 9);
  fleet.submitBatch("first", kSampleLengths);
  cr_assert_geq(fleet.readFullBatch("first", kSampleLengths.size()), 1U);
}

Test(fleet, killed_gateway_and_leading_ledger_lose_no_sample) {
  Fleet fleet;
  fleet.submitBatch("killed", kSampleLengths);
  fleet.gateways()[0].process->kill();
  for (Node& ledger : fleet.ledgers()) {
    ledger.process->kill();
    fleet.startNode(ledger);
  }
  fleet.readFullBatch("killed", kSampleLengths.size());
  fleet.startNode(fleet.gateways()[0]);
  fleet.submitBatch("afterwards", kSampleLengths);
  fleet.readFullBatch("afterwards", kSampleLengths.size());
}

Test(fleet, killed_engines_lose_no_sample) {
  Fleet fleet;
  fleet.submitBatch("engines", kSampleLengths);
  fleet.stopEmulator();
  fleet.startEmulator();
  fleet.readFullBatch("engines", kSampleLengths.size());
}

Test(fleet, paused_gateway_resumes_with_accepted_configuration) {
  Fleet fleet;
  Node& pausedGateway = fleet.gateways()[1];
  pausedGateway.process->signal(SIGSTOP);
  // The change is accepted only after the paused gateway's lease has expired.
  cr_assert_eq(fleet.setSetting("", "token_limit", 50).status, 200);
  pausedGateway.process->signal(SIGCONT);
  Json body = completionBody("above the new limit", 60);
  body["max_tokens"] = 51;
  const HttpResponse response = fleet.requestCompletion(pausedGateway, body);
  cr_assert(response.status == 422 || response.status == 503, "status %d", response.status);
  cr_assert_eq(verdictOf(response), "not_run");
  waitUntil(
      [&] {
        body["max_tokens"] = 50;
        return fleet.requestCompletion(pausedGateway, body).status == 200;
      },
      "the resumed gateway serves again");
}

Test(fleet, reset_after_last_byte_is_reported_as_may_have_run) {
  Fleet fleet;
  // A request is a few hundred bytes long: the connection is reset after its last byte.
  constexpr std::uint64_t kBytes = 300;
  for (int engine = 1; engine <= 4; ++engine) {
    fleet.setFault("engine-" + std::to_string(engine), "reset_after", kBytes);
  }
  const HttpResponse first =
      fleet.requestCompletion(fleet.gateways()[0], nonIdempotentBody("seat 12a", 40), "seat-12a");
  cr_assert_neq(first.status, 200);
  cr_assert_eq(verdictOf(first), "may_have_run", "%s", first.body.c_str());
  for (int engine = 1; engine <= 4; ++engine) {
    fleet.setFault("engine-" + std::to_string(engine), "pass");
  }
  const HttpResponse second =
      fleet.requestCompletion(fleet.gateways()[1], nonIdempotentBody("seat 12a", 40), "seat-12a");
  cr_assert_eq(second.status, 409);
  cr_assert_eq(verdictOf(second), "may_have_run");
  cr_assert_leq(countExecutions(fleet.executionRecord(), "seat 12a"), 1U);
}

Test(fleet, non_idempotent_request_is_replayed) {
  Fleet fleet;
  const HttpResponse first =
      fleet.requestCompletion(fleet.gateways()[0], nonIdempotentBody("seat 1b", 20), "seat-1b");
  const HttpResponse second =
      fleet.requestCompletion(fleet.gateways()[1], nonIdempotentBody("seat 1b", 20), "seat-1b");
  cr_assert_eq(first.status, 200);
  cr_assert_eq(second.status, 200);
  cr_assert(Json::parse(first.body)["choices"] == Json::parse(second.body)["choices"]);
  cr_assert_eq(countExecutions(fleet.executionRecord(), "seat 1b"), 1U);
  const HttpResponse other =
      fleet.requestCompletion(fleet.gateways()[0], nonIdempotentBody("seat 2c", 20), "seat-1b");
  cr_assert_eq(other.status, 409);
}

Test(fleet, partitioned_leader_is_replaced) {
  Fleet fleet;
  Node& oldLeader = fleet.leader();
  for (const Node& other : fleet.controllers()) {
    if (other.number != oldLeader.number) {
      fleet.setLinkFault(oldLeader, other, "black_hole");
    }
  }
  const Node* newLeader = nullptr;
  waitUntil(
      [&] {
        for (const Node& node : fleet.controllers()) {
          const Json state = fleet.controllerStatus(node);
          if (node.number != oldLeader.number && state.is_object() &&
              state.value("can_read", false)) {
            newLeader = &node;
          }
        }
        return newLeader != nullptr;
      },
      "another controller leads");
  cr_assert_not(fleet.controllerStatus(oldLeader).value("can_read", true));
  cr_assert_eq(fleet.setSetting("t", "token_limit", 321).status, 200);
  for (const Node& other : fleet.controllers()) {
    if (other.number != oldLeader.number) {
      fleet.setLinkFault(oldLeader, other, "pass");
    }
  }
  waitUntil(
      [&] {
        return fleet.controllerStatus(oldLeader)["revision"] ==
               fleet.controllerStatus(*newLeader)["revision"];
      },
      "the old leader catches up");
}

Test(fleet, second_controller_lost_right_after_the_first_was_replaced) {
  Fleet fleet;
  Node& leader = fleet.leader();
  Node* lost = nullptr;
  Node* second = nullptr;
  for (Node& node : fleet.controllers()) {
    if (node.number != leader.number) {
      second = lost;
      lost = &node;
    }
  }
  cr_assert_eq(fleet.setSetting("t", "token_limit", 111).status, 200);
  const std::string oldIdentity = fleet.controllerStatus(*lost)["node"].get<std::string>();
  lost->process->kill();
  std::filesystem::remove_all(fleet.directoryOf(*lost) + "/data");
  fleet.startNode(*lost);
  cr_assert_eq(lost->process->wait(), 2, "an empty data folder is rejected without --join");
  fleet.startNode(*lost, {"--join"});
  waitUntil([&] { return fleet.controllerStatus(*lost).is_object(); }, "the new machine responds");
  const std::string identity = fleet.controllerStatus(*lost)["node"].get<std::string>();
  cr_assert_neq(identity, oldIdentity);
  cr_assert_eq(fleet.callController("members", {{"node", identity}}).status, 200);
  waitUntil(
      [&] {
        const Json voters = fleet.controllerStatus(fleet.leader())["control"]["voters"];
        return std::find(voters.begin(), voters.end(), Json(identity)) != voters.end();
      },
      "the new machine is a voter");
  waitUntil(
      [&] {
        return fleet.callController("members", {{"node", oldIdentity}, {"remove", true}}).status ==
               200;
      },
      "the lost identity is removed");
  // Kills a second controller right after the replacement and deletes its data.
  second->process->kill();
  std::filesystem::remove_all(fleet.directoryOf(*second) + "/data");
  const HttpResponse changed = fleet.setSetting("t", "token_limit", 112);
  cr_assert_eq(changed.status, 200, "%s", changed.body.c_str());
  Json body = completionBody("limit", 10);
  body["max_tokens"] = 112;
  cr_assert_eq(fleet.requestCompletion(fleet.gateways()[0], body).status, 200);
}

Test(fleet, duplicate_change_is_applied_once) {
  Fleet fleet;
  const Json change{{"path", "t"}, {"set", {{"token_limit", 777}}}};
  const Json body{{"author", "test"}, {"request_id", "same"}, {"changes", Json::array({change})}};
  const HttpResponse first = fleet.callController("apply", body);
  fleet.leader().process->kill();
  const HttpResponse second = fleet.callController("apply", body);
  cr_assert_eq(Json::parse(first.body)["revision"], Json::parse(second.body)["revision"]);
  const Json other{{"path", "t"}, {"set", {{"token_limit", 778}}}};
  const Json reused{{"author", "test"}, {"request_id", "same"}, {"changes", Json::array({other})}};
  cr_assert_eq(fleet.callController("apply", reused).status, 409);
}

Test(fleet, graceful_shutdown_drops_no_request) {
  Fleet fleet;
  std::vector<std::future<HttpResponse>> running;
  for (int i = 0; i < 8; ++i) {
    running.push_back(std::async(std::launch::async, [&fleet, i] {
      return fleet.requestCompletion(fleet.gateways()[0],
                                     completionBody("long " + std::to_string(i), 400));
    }));
  }
  fleet.submitBatch("stops", kSampleLengths);
  waitUntil(
      [&] {
        const std::string metrics = sendRequest({"GET", fleet.gateways()[0].url("/metrics")}).body;
        return metrics.find("tackpick_attempts_started_total 0\n") == std::string::npos;
      },
      "requests are running");
  Node& controller = fleet.leader();
  for (Node* node : {&fleet.gateways()[0], &controller, &fleet.ledgers()[0]}) {
    node->process->signal(SIGTERM);
  }
  for (auto& future : running) {
    const HttpResponse result = future.get();
    const bool complete = result.status == 200 &&
                          Json::parse(result.body)["usage"]["completion_tokens"].get<int>() == 400;
    cr_assert(complete || verdictOf(result) == "not_run", "%s", result.body.c_str());
  }
  for (Node* node : {&fleet.gateways()[0], &controller, &fleet.ledgers()[0]}) {
    cr_assert_eq(node->process->wait(), 0);
  }
  fleet.readFullBatch("stops", kSampleLengths.size());
}

Test(fleet, new_weights_reach_every_engine_and_label_every_sample) {
  Fleet fleet;
  fleet.postToEmulator("/fail-next-swap?engine=2");
  fleet.submitBatch("before", kSampleLengths);
  for (std::uint64_t version = 2; version <= 5; ++version) {
    fleet.publishWeights(version);
  }
  fleet.readFullBatch("before", kSampleLengths.size());
  waitUntil(
      [&] {
        const Json weights = fleet.controllerStatus(fleet.leader())["weights"];
        return !weights.empty() && weights[0]["version"] == 5 && weights[0]["engines_active"] == 4;
      },
      "all engines run the newest weights");
  fleet.submitBatch("behind", kSampleLengths, 5);
  cr_assert_geq(fleet.readFullBatch("behind", kSampleLengths.size()), 3U,
                "the staleness bound is two versions");
}

Test(fleet, invalid_input_is_rejected) {
  Fleet fleet;
  const Node& gateway = fleet.gateways()[0];
  const auto send = [&](const std::string& body, const std::string& token) {
    HttpRequest request{"POST", gateway.url("/v1/completions")};
    request.token = token;
    request.body = body;
    return sendRequest(request).status;
  };
  const std::string nestedArrays = std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string& body :
       {std::string("{"), nestedArrays, std::string("[]"), std::string("\xff\xfe{}"),
        std::string(R"({"workload":5,"prompt":"x"})"),
        std::string(R"({"workload":"ask","prompt":"x","max_tokens":-3})"),
        std::string(R"({"workload":"ask","prompt":"x","max_tokens":1e30})"),
        std::string("{\"workload\":\"ask\",\"prompt\":\"\xc3\x28\"}")}) {
    cr_assert_eq(send(body, "caller"), 400, "%.60s", body.c_str());
  }
  cr_assert_eq(send(R"({"workload":"none","prompt":"x"})", "caller"), 404);
  cr_assert_eq(send("{}", ""), 401);
  cr_assert_eq(send("{}", "unknown"), 401);
  HttpRequest batch{"GET", gateway.url("/v1/batches/x/samples")};
  batch.token = "caller";
  cr_assert_eq(sendRequest(batch).status, 403, "a caller must not read batches");
  constexpr std::size_t kHuge = 80U << 20U;
  cr_assert_neq(send(std::string(kHuge, 'x'), "caller"), 200);
  HttpRequest members{"POST", fleet.leader().url("/v1/control/members")};
  members.token = "operator";
  members.body = R"({"node":"99999999999999999999999999"})";
  cr_assert_eq(sendRequest(members).status, 400);
  // Invalid bytes on the internal port close the connection.
  const int socketFd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(fleet.controllers()[0].internalPort);
  cr_assert_eq(connect(socketFd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  const std::string garbageBytes(4096, '\x7f');
  cr_assert_gt(::send(socketFd, garbageBytes.data(), garbageBytes.size(), MSG_NOSIGNAL), 0);
  std::string received(64, '\0');
  while (recv(socketFd, received.data(), received.size(), 0) > 0) {
  }
  close(socketFd);
  cr_assert_eq(fleet.requestCompletion(gateway, completionBody("still here", 5)).status, 200);
}

Test(fleet, mismatched_settings_and_data_are_rejected) {
  Fleet fleet;
  Node& ledger = fleet.ledgers()[0];
  ledger.process->kill();
  const std::string file = fleet.directoryOf(ledger) + "/settings.yaml";
  std::ifstream stream(file);
  const std::string validSettings((std::istreambuf_iterator<char>(stream)), {});
  std::ofstream(file) << validSettings << "no_such_key: 1\n";
  fleet.startNode(ledger, {"--check"});
  cr_assert_eq(ledger.process->wait(), 2);
  std::string other = validSettings;
  other.replace(other.find("cluster: test"), 13, "cluster: elsewhere");
  std::ofstream(file) << other;
  fleet.startNode(ledger);
  cr_assert_eq(ledger.process->wait(), 2, "the data folder of another cluster is rejected");
  std::ofstream(file) << validSettings;
  fleet.startNode(ledger, {"--check"});
  cr_assert_eq(ledger.process->wait(), 0);
}
