/// Real processes behind the fault proxy: what only they can show. Conditions are waited for, never
/// times.
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
using tackpick::test::call;
using tackpick::test::Fleet;
using tackpick::test::HttpAnswer;
using tackpick::test::HttpCall;
using tackpick::test::Node;
using tackpick::test::waitUntil;

namespace {

const std::vector<std::uint32_t> kLengths(24, 60);

Json question(const std::string& prompt, std::uint32_t tokens) {
  return {{"workload", "ask"},
          {"prompt", "[[tokens=" + std::to_string(tokens) + "]]" + prompt},
          {"max_tokens", 4000}};
}

Json onceOnly(const std::string& prompt, std::uint32_t tokens) {
  Json body = question(prompt, tokens);
  body["not_repeatable"] = true;
  return body;
}

std::size_t timesRun(const Json& record, const std::string& prompt) {
  std::size_t times = 0;
  for (const Json& run : record["not_repeatable_runs"]) {
    times += run.get<std::string>().find(prompt) == std::string::npos ? 0 : 1;
  }
  return times;
}

std::string verdictOf(const HttpAnswer& answer) {
  const Json body = Json::parse(answer.body, nullptr, false);
  return body.is_object() && body.contains("error") ? body["error"].value("verdict", "") : "";
}

}  // namespace

Test(fleet, serves_a_request_and_a_batch) {
  Fleet fleet;
  const HttpAnswer answer = fleet.complete(fleet.gateways()[0], question("hello", 9));
  cr_assert_eq(answer.status, 200);
  cr_assert_eq(Json::parse(answer.body)["usage"]["completion_tokens"].get<int>(), 9);
  fleet.submitBatch("first", kLengths);
  cr_assert_geq(fleet.readWholeBatch("first", kLengths.size()), 1U);
}

Test(fleet, killed_gateway_and_leading_ledger_lose_no_sample) {
  Fleet fleet;
  fleet.submitBatch("killed", kLengths);
  fleet.gateways()[0].process->kill();
  for (Node& ledger : fleet.ledgers()) {
    ledger.process->kill();
    fleet.startNode(ledger);
  }
  fleet.readWholeBatch("killed", kLengths.size());
  fleet.startNode(fleet.gateways()[0]);
  fleet.submitBatch("afterwards", kLengths);
  fleet.readWholeBatch("afterwards", kLengths.size());
}

Test(fleet, killed_engines_lose_no_sample) {
  Fleet fleet;
  fleet.submitBatch("engines", kLengths);
  fleet.stopEmulator();
  fleet.startEmulator();
  fleet.readWholeBatch("engines", kLengths.size());
}

Test(fleet, frozen_gateway_wakes_under_the_accepted_configuration) {
  Fleet fleet;
  Node& frozen = fleet.gateways()[1];
  frozen.process->signal(SIGSTOP);
  // Accepted only once the frozen gateway's lease has run out.
  cr_assert_eq(fleet.set("", "token_limit", 50).status, 200);
  frozen.process->signal(SIGCONT);
  Json body = question("above the new limit", 60);
  body["max_tokens"] = 51;
  const HttpAnswer answer = fleet.complete(frozen, body);
  cr_assert(answer.status == 422 || answer.status == 503, "status %d", answer.status);
  cr_assert_eq(verdictOf(answer), "not_run");
  waitUntil(
      [&] {
        body["max_tokens"] = 50;
        return fleet.complete(frozen, body).status == 200;
      },
      "the woken gateway serves again");
}

Test(fleet, reset_after_the_last_byte_is_never_called_not_run_nor_repeated) {
  Fleet fleet;
  // Headers and body of one request are a few hundred bytes: the break comes after the last one.
  constexpr std::uint64_t kBytes = 300;
  for (int engine = 1; engine <= 4; ++engine) {
    fleet.setFault("engine-" + std::to_string(engine), "reset_after", kBytes);
  }
  const HttpAnswer first =
      fleet.complete(fleet.gateways()[0], onceOnly("seat 12a", 40), "seat-12a");
  cr_assert_neq(first.status, 200);
  cr_assert_eq(verdictOf(first), "may_have_run", "%s", first.body.c_str());
  for (int engine = 1; engine <= 4; ++engine) {
    fleet.setFault("engine-" + std::to_string(engine), "pass");
  }
  const HttpAnswer second =
      fleet.complete(fleet.gateways()[1], onceOnly("seat 12a", 40), "seat-12a");
  cr_assert_eq(second.status, 409);
  cr_assert_eq(verdictOf(second), "may_have_run");
  cr_assert_leq(timesRun(fleet.engineRecord(), "seat 12a"), 1U);
}

Test(fleet, not_repeatable_request_is_answered_the_same_again) {
  Fleet fleet;
  const HttpAnswer first = fleet.complete(fleet.gateways()[0], onceOnly("seat 1b", 20), "seat-1b");
  const HttpAnswer second = fleet.complete(fleet.gateways()[1], onceOnly("seat 1b", 20), "seat-1b");
  cr_assert_eq(first.status, 200);
  cr_assert_eq(second.status, 200);
  cr_assert(Json::parse(first.body)["choices"] == Json::parse(second.body)["choices"]);
  cr_assert_eq(timesRun(fleet.engineRecord(), "seat 1b"), 1U);
  const HttpAnswer other = fleet.complete(fleet.gateways()[0], onceOnly("seat 2c", 20), "seat-1b");
  cr_assert_eq(other.status, 409);
}

Test(fleet, leader_cut_off_in_silence_gives_way) {
  Fleet fleet;
  Node& old = fleet.leader();
  for (const Node& other : fleet.controllers()) {
    if (other.number != old.number) {
      fleet.setFaultBetween(old, other, "black_hole");
    }
  }
  const Node* next = nullptr;
  waitUntil(
      [&] {
        for (const Node& node : fleet.controllers()) {
          const Json state = fleet.status(node);
          if (node.number != old.number && state.is_object() && state.value("can_read", false)) {
            next = &node;
          }
        }
        return next != nullptr;
      },
      "another controller leads");
  cr_assert_not(fleet.status(old).value("can_read", true));
  cr_assert_eq(fleet.set("t", "token_limit", 321).status, 200);
  for (const Node& other : fleet.controllers()) {
    if (other.number != old.number) {
      fleet.setFaultBetween(old, other, "pass");
    }
  }
  waitUntil([&] { return fleet.status(old)["revision"] == fleet.status(*next)["revision"]; },
            "the old leader catches up");
}

Test(fleet, second_controller_lost_right_after_the_first_was_replaced) {
  Fleet fleet;
  Node& leading = fleet.leader();
  Node* lost = nullptr;
  Node* second = nullptr;
  for (Node& node : fleet.controllers()) {
    if (node.number != leading.number) {
      second = lost;
      lost = &node;
    }
  }
  cr_assert_eq(fleet.set("t", "token_limit", 111).status, 200);
  const std::string oldIdentity = fleet.status(*lost)["node"].get<std::string>();
  lost->process->kill();
  std::filesystem::remove_all(fleet.folderOf(*lost) + "/data");
  fleet.startNode(*lost);
  cr_assert_eq(lost->process->wait(), 2, "an empty folder is refused without --join");
  fleet.startNode(*lost, {"--join"});
  waitUntil([&] { return fleet.status(*lost).is_object(); }, "the new machine");
  const std::string identity = fleet.status(*lost)["node"].get<std::string>();
  cr_assert_neq(identity, oldIdentity);
  cr_assert_eq(fleet.control("members", {{"node", identity}}).status, 200);
  waitUntil(
      [&] {
        const Json voters = fleet.status(fleet.leader())["control"]["voters"];
        return std::find(voters.begin(), voters.end(), Json(identity)) != voters.end();
      },
      "the new machine votes");
  waitUntil(
      [&] {
        return fleet.control("members", {{"node", oldIdentity}, {"remove", true}}).status == 200;
      },
      "the lost identity is removed");
  // The second loss, at once.
  second->process->kill();
  std::filesystem::remove_all(fleet.folderOf(*second) + "/data");
  const HttpAnswer changed = fleet.set("t", "token_limit", 112);
  cr_assert_eq(changed.status, 200, "%s", changed.body.c_str());
  Json body = question("limit", 10);
  body["max_tokens"] = 112;
  cr_assert_eq(fleet.complete(fleet.gateways()[0], body).status, 200);
}

Test(fleet, resent_change_has_one_effect) {
  Fleet fleet;
  const Json change{{"path", "t"}, {"set", {{"token_limit", 777}}}};
  const Json body{{"author", "test"}, {"request_id", "same"}, {"changes", Json::array({change})}};
  const HttpAnswer first = fleet.control("apply", body);
  fleet.leader().process->kill();
  const HttpAnswer second = fleet.control("apply", body);
  cr_assert_eq(Json::parse(first.body)["revision"], Json::parse(second.body)["revision"]);
  const Json other{{"path", "t"}, {"set", {{"token_limit", 778}}}};
  const Json reused{{"author", "test"}, {"request_id", "same"}, {"changes", Json::array({other})}};
  cr_assert_eq(fleet.control("apply", reused).status, 409);
}

Test(fleet, planned_stop_of_every_role_cuts_nothing) {
  Fleet fleet;
  std::vector<std::future<HttpAnswer>> running;
  for (int i = 0; i < 8; ++i) {
    running.push_back(std::async(std::launch::async, [&fleet, i] {
      return fleet.complete(fleet.gateways()[0], question("long " + std::to_string(i), 400));
    }));
  }
  fleet.submitBatch("stops", kLengths);
  waitUntil(
      [&] {
        const std::string metrics = call({"GET", fleet.gateways()[0].url("/metrics")}).body;
        return metrics.find("tackpick_attempts_started_total 0\n") == std::string::npos;
      },
      "requests run");
  Node& controller = fleet.leader();
  for (Node* node : {&fleet.gateways()[0], &controller, &fleet.ledgers()[0]}) {
    node->process->signal(SIGTERM);
  }
  for (auto& answer : running) {
    const HttpAnswer result = answer.get();
    const bool whole = result.status == 200 &&
                       Json::parse(result.body)["usage"]["completion_tokens"].get<int>() == 400;
    cr_assert(whole || verdictOf(result) == "not_run", "%s", result.body.c_str());
  }
  for (Node* node : {&fleet.gateways()[0], &controller, &fleet.ledgers()[0]}) {
    cr_assert_eq(node->process->wait(), 0);
  }
  fleet.readWholeBatch("stops", kLengths.size());
}

Test(fleet, new_weights_reach_every_engine_and_label_every_sample) {
  Fleet fleet;
  fleet.emulatorAdmin("/fail-next-swap?engine=2");
  fleet.submitBatch("before", kLengths);
  for (std::uint64_t version = 2; version <= 5; ++version) {
    fleet.publishWeights(version);
  }
  fleet.readWholeBatch("before", kLengths.size());
  waitUntil(
      [&] {
        const Json weights = fleet.status(fleet.leader())["weights"];
        return !weights.empty() && weights[0]["version"] == 5 && weights[0]["engines_active"] == 4;
      },
      "all engines run the newest weights");
  fleet.submitBatch("behind", kLengths, 5);
  cr_assert_geq(fleet.readWholeBatch("behind", kLengths.size()), 3U, "the bound is two versions");
}

Test(fleet, bad_input_is_refused_and_harms_nobody) {
  Fleet fleet;
  const Node& gateway = fleet.gateways()[0];
  const auto send = [&](const std::string& body, const std::string& token) {
    HttpCall request{"POST", gateway.url("/v1/completions")};
    request.token = token;
    request.body = body;
    return call(request).status;
  };
  const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string& body :
       {std::string("{"), deep, std::string("[]"), std::string("\xff\xfe{}"),
        std::string(R"({"workload":5,"prompt":"x"})"),
        std::string(R"({"workload":"ask","prompt":"x","max_tokens":-3})"),
        std::string(R"({"workload":"ask","prompt":"x","max_tokens":1e30})"),
        std::string("{\"workload\":\"ask\",\"prompt\":\"\xc3\x28\"}")}) {
    cr_assert_eq(send(body, "caller"), 400, "%.60s", body.c_str());
  }
  cr_assert_eq(send(R"({"workload":"none","prompt":"x"})", "caller"), 404);
  cr_assert_eq(send("{}", ""), 401);
  cr_assert_eq(send("{}", "unknown"), 401);
  HttpCall batch{"GET", gateway.url("/v1/batches/x/samples")};
  batch.token = "caller";
  cr_assert_eq(call(batch).status, 403, "a caller is no trainer");
  constexpr std::size_t kHuge = 80U << 20U;
  cr_assert_neq(send(std::string(kHuge, 'x'), "caller"), 200);
  HttpCall members{"POST", fleet.leader().url("/v1/control/members")};
  members.token = "operator";
  members.body = R"({"node":"99999999999999999999999999"})";
  cr_assert_eq(call(members).status, 400);
  // Garbage on the internal port: the connection is closed.
  const int garbage = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(fleet.controllers()[0].internalPort);
  cr_assert_eq(connect(garbage, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  const std::string noise(4096, '\x7f');
  cr_assert_gt(::send(garbage, noise.data(), noise.size(), MSG_NOSIGNAL), 0);
  std::string received(64, '\0');
  while (recv(garbage, received.data(), received.size(), 0) > 0) {
  }
  close(garbage);
  cr_assert_eq(fleet.complete(gateway, question("still here", 5)).status, 200);
}

Test(fleet, settings_and_folders_that_do_not_fit_are_refused) {
  Fleet fleet;
  Node& ledger = fleet.ledgers()[0];
  ledger.process->kill();
  const std::string file = fleet.folderOf(ledger) + "/settings.yaml";
  std::ifstream stream(file);
  const std::string good((std::istreambuf_iterator<char>(stream)), {});
  std::ofstream(file) << good << "no_such_key: 1\n";
  fleet.startNode(ledger, {"--check"});
  cr_assert_eq(ledger.process->wait(), 2);
  std::string other = good;
  other.replace(other.find("cluster: test"), 13, "cluster: elsewhere");
  std::ofstream(file) << other;
  fleet.startNode(ledger);
  cr_assert_eq(ledger.process->wait(), 2, "a folder of another cluster is refused");
  std::ofstream(file) << good;
  fleet.startNode(ledger, {"--check"});
  cr_assert_eq(ledger.process->wait(), 0);
}
