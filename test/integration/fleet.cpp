#include "integration/fleet.h"

#include <criterion/criterion.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>

#include "checking/response_check.h"
#include "transport/shared_key.h"

namespace tackpick::test {
namespace {

constexpr std::uint32_t kEngines = 4;
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
const std::string kOperatorToken = "operator";
const std::string kCallerToken = "caller";
const std::string kTrainerToken = "trainer";

std::string joined(const std::vector<std::uint16_t>& ports) {
  std::string text;
  for (const std::uint16_t port : ports) {
    text += (text.empty() ? "" : ",") + std::to_string(port);
  }
  return text;
}

std::string numbersOf(const std::vector<Node>& nodes) {
  std::string text;
  for (const Node& node : nodes) {
    text += (text.empty() ? "" : ", ") + std::to_string(node.number);
  }
  return text;
}

}  // namespace

Fleet::Fleet() {
  std::string pattern = "/tmp/tackpick-fleet-XXXXXX";
  folder_ = mkdtemp(pattern.data());
  std::ofstream(folder_ + "/cluster.key") << "a key for this test only, long enough\n";
  proxy_port_ = reservePort();
  platform_port_ = reservePort();
  emulator_admin_port_ = reservePort();
  proxy_ = std::make_unique<Process>(
      "tackpick-faultproxy", std::vector<std::string>{"--admin-port", std::to_string(proxy_port_)},
      folder_ + "/proxy.txt");
  waitUntil(
      [&] {
        return call({"GET", "http://127.0.0.1:" + std::to_string(proxy_port_) + "/healthz"})
                   .status == kOk;
      },
      "the proxy");
  for (std::uint32_t i = 1; i <= kEngines; ++i) {
    engine_ports_.push_back(reservePort());
    announced_ports_.push_back(addRoute("engine-" + std::to_string(i), engine_ports_.back()));
  }
  startEmulator();
  std::uint32_t number = 0;
  for (int i = 0; i < 3; ++i) {
    controllers_.push_back(makeNode("controller", ++number));
  }
  for (int i = 0; i < 3; ++i) {
    ledgers_.push_back(makeNode("ledger", ++number));
  }
  for (int i = 0; i < 2; ++i) {
    gateways_.push_back(makeNode("gateway", ++number));
  }
  for (auto* group : {&controllers_, &ledgers_, &gateways_}) {
    for (Node& node : *group) {
      writeSettings(node);
      startNode(node, node.role == "gateway" ? std::vector<std::string>{}
                                             : std::vector<std::string>{"--init"});
    }
  }
  const Json first{{"path", ""}, {"set", {{"token_limit", 4000}, {"hedging", true}}}};
  const Json tenant{{"path", "t"}, {"set", Json::object()}};
  const Json ask{{"path", "t/ask"}, {"set", {{"priority", 1}}}};
  const Json train{{"path", "t/train"}, {"set", {{"priority", 5}, {"staleness_bound", 2}}}};
  const HttpAnswer applied =
      control("apply", {{"author", "test"}, {"changes", Json::array({first, tenant, ask, train})}});
  cr_assert_eq(applied.status, kOk, "%s", applied.body.c_str());
  for (const auto& [token, role] :
       {std::pair{kCallerToken, "caller"}, {kTrainerToken, "trainer"}}) {
    control("credentials",
            {{"token_hash", transport::sha256Hex(token)}, {"role", role}, {"tenant", "t"}});
  }
  for (const Node& gateway : gateways_) {
    waitUntil([&] { return call({"GET", gateway.url("/readyz")}).status == kOk; }, "a gateway");
    waitUntil(
        [&] {
          const Json body{{"workload", "ask"}, {"prompt", "[[tokens=2]]probe"}, {"max_tokens", 4}};
          return complete(gateway, body).status == kOk;
        },
        "an engine");
  }
}

Fleet::~Fleet() {
  for (auto* group : {&gateways_, &ledgers_, &controllers_}) {
    for (Node& node : *group) {
      node.process.reset();
    }
  }
  emulator_.reset();
  proxy_.reset();
  std::filesystem::remove_all(folder_);
}

Node Fleet::makeNode(const std::string& role, std::uint32_t number) {
  Node node;
  node.number = number;
  node.role = role;
  node.folder = role + "-" + std::to_string(number);
  node.internalPort = reservePort();
  node.httpPort = reservePort();
  std::filesystem::create_directory(folderOf(node));
  return node;
}

std::uint16_t Fleet::addRoute(const std::string& name, std::uint16_t target) {
  HttpCall request{"POST", "http://127.0.0.1:" + std::to_string(proxy_port_) + "/routes"};
  request.body = Json{{"name", name}, {"host", "127.0.0.1"}, {"port", target}}.dump();
  return Json::parse(call(request).body)["port"].get<std::uint16_t>();
}

void Fleet::setFault(const std::string& route, const std::string& fault, std::uint64_t bytes) {
  HttpCall request{"POST", "http://127.0.0.1:" + std::to_string(proxy_port_) + "/routes/" + route};
  request.body = Json{{"fault", fault}, {"bytes", bytes}}.dump();
  cr_assert_eq(call(request).status, kOk);
}

void Fleet::setFaultBetween(const Node& one, const Node& other, const std::string& fault) {
  setFault(std::to_string(one.number) + "-" + std::to_string(other.number), fault);
  setFault(std::to_string(other.number) + "-" + std::to_string(one.number), fault);
}

void Fleet::writeSettings(const Node& node) {
  std::ofstream file(folderOf(node) + "/settings.yaml");
  file << "cluster: test\nnode: " << node.number << "\nzone: zone-a\ndata_folder: data\n"
       << "key_file: ../cluster.key\ninternal: 127.0.0.1:" << node.internalPort
       << "\nhttp: 127.0.0.1:" << node.httpPort << "\nroles: [" << node.role << "]\n"
       << "machine_list: http://127.0.0.1:" << platform_port_ << "/machines\n"
       << "operator_token_hash: " << transport::sha256Hex(kOperatorToken) << "\n"
       << "controllers: {group: 1, nodes: [" << numbersOf(controllers_) << "]}\n"
       << "ledgers:\n  - {group: 101, nodes: [" << numbersOf(ledgers_) << "]}\npeers:\n";
  for (const auto* group : {&controllers_, &ledgers_}) {
    for (const Node& peer : *group) {
      if (peer.number != node.number) {
        const std::string name = std::to_string(node.number) + "-" + std::to_string(peer.number);
        file << "  - {node: " << peer.number
             << ", address: '127.0.0.1:" << addRoute(name, peer.internalPort) << "'}\n";
      }
    }
  }
}

void Fleet::startNode(Node& node, const std::vector<std::string>& flags) {
  std::vector<std::string> arguments{"--settings", folderOf(node) + "/settings.yaml"};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  node.process = std::make_unique<Process>("tackpickd", arguments, folderOf(node) + "/log.txt");
}

void Fleet::startEmulator() {
  emulator_ = std::make_unique<Process>(
      "tackpick-emulator",
      std::vector<std::string>{"--engines", std::to_string(kEngines), "--serve-platform",
                               "--platform-port", std::to_string(platform_port_), "--admin-port",
                               std::to_string(emulator_admin_port_), "--engine-ports",
                               joined(engine_ports_), "--announce-ports", joined(announced_ports_)},
      folder_ + "/emulator.txt");
}

Json Fleet::status(const Node& controller) const {
  HttpCall request{"GET", controller.url("/v1/control/status")};
  request.token = kOperatorToken;
  request.timeoutSeconds = 2;
  return Json::parse(call(request).body, nullptr, false);
}

Node& Fleet::leader() {
  Node* found = nullptr;
  waitUntil(
      [&] {
        for (Node& node : controllers_) {
          const Json state = status(node);
          if (state.is_object() && state.value("can_read", false)) {
            found = &node;
            return true;
          }
        }
        return false;
      },
      "a controller that leads");
  return *found;
}

HttpAnswer Fleet::control(const std::string& path, const Json& body) {
  Json identified = body;
  if (!identified.contains("request_id")) {
    identified["request_id"] = "test-" + std::to_string(++request_number_);
  }
  HttpAnswer answer;
  waitUntil(
      [&] {
        for (const Node& node : controllers_) {
          HttpCall request{"POST", node.url("/v1/control/" + path)};
          request.token = kOperatorToken;
          request.body = identified.dump();
          request.timeoutSeconds = 15;
          answer = call(request);
          if (answer.status != 0 && answer.status != kMisdirected &&
              answer.status != kUnavailable) {
            return true;
          }
        }
        return false;
      },
      "an answer to " + path);
  return answer;
}

HttpAnswer Fleet::set(const std::string& path, const std::string& key, const Json& value) {
  const Json change{{"path", path}, {"set", {{key, value}}}};
  return control("apply", {{"author", "test"}, {"changes", Json::array({change})}});
}

HttpAnswer Fleet::complete(const Node& gateway, const Json& body, const std::string& key) const {
  HttpCall request{"POST", gateway.url("/v1/completions")};
  request.token = kCallerToken;
  request.body = body.dump();
  if (!key.empty()) {
    request.headers["Idempotency-Key"] = key;
  }
  return call(request);
}

HttpAnswer Fleet::fromAnyGateway(HttpCall request) {
  HttpAnswer answer;
  request.token = kTrainerToken;
  request.timeoutSeconds = 15;
  const std::string path = request.url;
  waitUntil(
      [&] {
        for (const Node& gateway : gateways_) {
          request.url = gateway.url(path);
          answer = call(request);
          if (answer.status == kOk || answer.status == kAccepted) {
            return true;
          }
        }
        return false;
      },
      "an answer to " + path);
  return answer;
}

void Fleet::submitBatch(const std::string& name, const std::vector<std::uint32_t>& lengths,
                        std::uint64_t trainerVersion) {
  Json samples = Json::array();
  for (const std::uint32_t tokens : lengths) {
    samples.push_back({{"prompt", engine::lengthDirective(tokens) + name},
                       {"seed", samples.size()},
                       {"max_tokens", 4000}});
  }
  HttpCall request{"POST", "/v1/batches"};
  request.body = Json{
      {"batch", name},
      {"workload", "train"},
      {"trainer_version", trainerVersion},
      {"samples",
       samples}}.dump();
  fromAnyGateway(request);
}

std::uint64_t Fleet::readWholeBatch(const std::string& name, std::size_t samples) {
  std::set<std::uint32_t> seen;
  std::uint64_t oldest = UINT64_MAX;
  std::uint32_t cursor = 0;
  waitUntil(
      [&] {
        const HttpCall request{
            "GET", "/v1/batches/" + name + "/samples?max=64&cursor=" + std::to_string(cursor)};
        const Json page = Json::parse(fromAnyGateway(request).body);
        for (const Json& sample : page["samples"]) {
          const auto index = sample["index"].get<std::uint32_t>();
          cr_assert(seen.insert(index).second, "sample %u came twice", index);
          checking::ReceivedResponse answer;
          answer.tokens = sample["token_ids"].get<std::vector<engine::Token>>();
          for (const Json& span : sample["weights"]) {
            const auto version = span["version"].get<std::uint64_t>();
            oldest = std::min(oldest, version);
            answer.spans.push_back({{version}, span["first"], span["count"]});
          }
          const std::string prompt =
              engine::lengthDirective(static_cast<std::uint32_t>(answer.tokens.size())) + name;
          cr_assert(checking::hasCorrectVersions(answer, prompt, index), "sample %u", index);
        }
        cursor = page["cursor"].get<std::uint32_t>();
        return seen.size() == samples;
      },
      "the whole of batch " + name);
  return oldest;
}

void Fleet::publishWeights(std::uint64_t version) {
  HttpCall request{"POST", "/v1/weights"};
  request.body = Json{{"model", "default"}, {"version", version}}.dump();
  fromAnyGateway(request);
}

HttpAnswer Fleet::emulatorAdmin(const std::string& path) const {
  return call({"POST", "http://127.0.0.1:" + std::to_string(emulator_admin_port_) + path});
}

Json Fleet::engineRecord() const { return Json::parse(emulatorAdmin("/record").body); }

}  // namespace tackpick::test
