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

constexpr std::uint32_t kEngineCount = 4;
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
const std::string kOperatorToken = "operator";
const std::string kCallerToken = "caller";
const std::string kTrainerToken = "trainer";

std::string joinPorts(const std::vector<std::uint16_t>& ports) {
  std::string text;
  for (const std::uint16_t port : ports) {
    text += (text.empty() ? "" : ",") + std::to_string(port);
  }
  return text;
}

std::string joinNodeNumbers(const std::vector<Node>& nodes) {
  std::string text;
  for (const Node& node : nodes) {
    text += (text.empty() ? "" : ", ") + std::to_string(node.number);
  }
  return text;
}

}  // namespace

Fleet::Fleet() {
  std::string pattern = "/tmp/tackpick-fleet-XXXXXX";
  m_folder = mkdtemp(pattern.data());
  std::ofstream(m_folder + "/cluster.key") << "a key for this test only, long enough\n";
  m_proxyPort = reservePort();
  m_platformPort = reservePort();
  m_emulatorAdminPort = reservePort();
  m_proxy = std::make_unique<Process>(
      "tackpick-faultproxy", std::vector<std::string>{"--admin-port", std::to_string(m_proxyPort)},
      m_folder + "/proxy.txt");
  waitUntil(
      [&] {
        return sendRequest({"GET", "http://127.0.0.1:" + std::to_string(m_proxyPort) + "/healthz"})
                   .status == kOk;
      },
      "the fault proxy is ready");
  for (std::uint32_t i = 1; i <= kEngineCount; ++i) {
    m_enginePorts.push_back(reservePort());
    m_advertisedPorts.push_back(addRoute("engine-" + std::to_string(i), m_enginePorts.back()));
  }
  startEmulator();
  std::uint32_t number = 0;
  for (int i = 0; i < 3; ++i) {
    m_controllers.push_back(makeNode("controller", ++number));
  }
  for (int i = 0; i < 3; ++i) {
    m_ledgers.push_back(makeNode("ledger", ++number));
  }
  for (int i = 0; i < 2; ++i) {
    m_gateways.push_back(makeNode("gateway", ++number));
  }
  for (auto* group : {&m_controllers, &m_ledgers, &m_gateways}) {
    for (Node& node : *group) {
      writeSettings(node);
      startNode(node, node.role == "gateway" ? std::vector<std::string>{}
                                             : std::vector<std::string>{"--init"});
    }
  }
  const Json rootNode{{"path", ""}, {"set", {{"token_limit", 4000}, {"hedging", true}}}};
  const Json tenantNode{{"path", "t"}, {"set", Json::object()}};
  const Json askNode{{"path", "t/ask"}, {"set", {{"priority", 1}}}};
  const Json trainNode{{"path", "t/train"}, {"set", {{"priority", 5}, {"staleness_bound", 2}}}};
  const HttpResponse applied = callController(
      "apply",
      {{"author", "test"}, {"changes", Json::array({rootNode, tenantNode, askNode, trainNode})}});
  cr_assert_eq(applied.status, kOk, "%s", applied.body.c_str());
  for (const auto& [token, role] :
       {std::pair{kCallerToken, "caller"}, {kTrainerToken, "trainer"}}) {
    callController("credentials",
                   {{"token_hash", transport::sha256Hex(token)}, {"role", role}, {"tenant", "t"}});
  }
  for (const Node& gateway : m_gateways) {
    waitUntil(
        [&] {
          return sendRequest({"GET", gateway.url("/readyz")}).status == kOk;
        },
        "a gateway is ready");
    waitUntil(
        [&] {
          const Json body{{"workload", "ask"}, {"prompt", "[[tokens=2]]probe"}, {"max_tokens", 4}};
          return requestCompletion(gateway, body).status == kOk;
        },
        "a completion is served");
  }
}

Fleet::~Fleet() {
  for (auto* group : {&m_gateways, &m_ledgers, &m_controllers}) {
    for (Node& node : *group) {
      node.process.reset();
    }
  }
  m_emulator.reset();
  m_proxy.reset();
  std::filesystem::remove_all(m_folder);
}

Node Fleet::makeNode(const std::string& role, std::uint32_t number) {
  Node node;
  node.number = number;
  node.role = role;
  node.folder = role + "-" + std::to_string(number);
  node.internalPort = reservePort();
  node.httpPort = reservePort();
  std::filesystem::create_directory(directoryOf(node));
  return node;
}

std::uint16_t Fleet::addRoute(const std::string& name, std::uint16_t target) {
  HttpRequest request{"POST", "http://127.0.0.1:" + std::to_string(m_proxyPort) + "/routes"};
  request.body = Json{{"name", name}, {"host", "127.0.0.1"}, {"port", target}}.dump();
  return Json::parse(sendRequest(request).body)["port"].get<std::uint16_t>();
}

void Fleet::setFault(const std::string& route, const std::string& fault, std::uint64_t bytes) {
  HttpRequest request{"POST",
                      "http://127.0.0.1:" + std::to_string(m_proxyPort) + "/routes/" + route};
  request.body = Json{{"fault", fault}, {"bytes", bytes}}.dump();
  cr_assert_eq(sendRequest(request).status, kOk);
}

void Fleet::setLinkFault(const Node& one, const Node& other, const std::string& fault) {
  setFault(std::to_string(one.number) + "-" + std::to_string(other.number), fault);
  setFault(std::to_string(other.number) + "-" + std::to_string(one.number), fault);
}

void Fleet::writeSettings(const Node& node) {
  std::ofstream file(directoryOf(node) + "/settings.yaml");
  file << "cluster: test\nnode: " << node.number << "\nzone: zone-a\ndata_folder: data\n"
       << "key_file: ../cluster.key\ninternal: 127.0.0.1:" << node.internalPort
       << "\nhttp: 127.0.0.1:" << node.httpPort << "\nroles: [" << node.role << "]\n"
       << "machine_list: http://127.0.0.1:" << m_platformPort << "/machines\n"
       << "operator_token_hash: " << transport::sha256Hex(kOperatorToken) << "\n"
       << "controllers: {group: 1, nodes: [" << joinNodeNumbers(m_controllers) << "]}\n"
       << "ledgers:\n  - {group: 101, nodes: [" << joinNodeNumbers(m_ledgers) << "]}\npeers:\n";
  for (const auto* group : {&m_controllers, &m_ledgers}) {
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
  std::vector<std::string> arguments{"--settings", directoryOf(node) + "/settings.yaml"};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  node.process = std::make_unique<Process>("tackpickd", arguments, directoryOf(node) + "/log.txt");
}

void Fleet::startEmulator() {
  m_emulator = std::make_unique<Process>(
      "tackpick-emulator",
      std::vector<std::string>{"--engines", std::to_string(kEngineCount), "--serve-platform",
                               "--platform-port", std::to_string(m_platformPort), "--admin-port",
                               std::to_string(m_emulatorAdminPort), "--engine-ports",
                               joinPorts(m_enginePorts), "--announce-ports",
                               joinPorts(m_advertisedPorts)},
      m_folder + "/emulator.txt");
}

Json Fleet::controllerStatus(const Node& controller) const {
  HttpRequest request{"GET", controller.url("/v1/control/status")};
  request.token = kOperatorToken;
  request.timeoutSeconds = 2;
  return Json::parse(sendRequest(request).body, nullptr, false);
}

Node& Fleet::leader() {
  Node* found = nullptr;
  waitUntil(
      [&] {
        for (Node& node : m_controllers) {
          const Json state = controllerStatus(node);
          if (state.is_object() && state.value("can_read", false)) {
            found = &node;
            return true;
          }
        }
        return false;
      },
      "a leading controller");
  return *found;
}

HttpResponse Fleet::callController(const std::string& path, const Json& body) {
  Json bodyWithRequestId = body;
  if (!bodyWithRequestId.contains("request_id")) {
    bodyWithRequestId["request_id"] = "test-" + std::to_string(++m_lastRequestNumber);
  }
  HttpResponse response;
  waitUntil(
      [&] {
        for (const Node& node : m_controllers) {
          HttpRequest request{"POST", node.url("/v1/control/" + path)};
          request.token = kOperatorToken;
          request.body = bodyWithRequestId.dump();
          request.timeoutSeconds = 15;
          response = sendRequest(request);
          if (response.status != 0 && response.status != kMisdirected &&
              response.status != kUnavailable) {
            return true;
          }
        }
        return false;
      },
      "a response to " + path);
  return response;
}

HttpResponse Fleet::setSetting(const std::string& path, const std::string& key, const Json& value) {
  const Json change{{"path", path}, {"set", {{key, value}}}};
  return callController("apply", {{"author", "test"}, {"changes", Json::array({change})}});
}

HttpResponse Fleet::requestCompletion(const Node& gateway, const Json& body,
                                      const std::string& key) const {
  HttpRequest request{"POST", gateway.url("/v1/completions")};
  request.token = kCallerToken;
  request.body = body.dump();
  if (!key.empty()) {
    request.headers["Idempotency-Key"] = key;
  }
  return sendRequest(request);
}

HttpResponse Fleet::callAnyGateway(HttpRequest request) {
  HttpResponse response;
  request.token = kTrainerToken;
  request.timeoutSeconds = 15;
  const std::string path = request.url;
  waitUntil(
      [&] {
        for (const Node& gateway : m_gateways) {
          request.url = gateway.url(path);
          response = sendRequest(request);
          if (response.status == kOk || response.status == kAccepted) {
            return true;
          }
        }
        return false;
      },
      "a response to " + path);
  return response;
}

void Fleet::submitBatch(const std::string& name, const std::vector<std::uint32_t>& lengths,
                        std::uint64_t trainerVersion) {
  Json samples = Json::array();
  for (const std::uint32_t tokens : lengths) {
    samples.push_back({{"prompt", engine::lengthDirective(tokens) + name},
                       {"seed", samples.size()},
                       {"max_tokens", 4000}});
  }
  HttpRequest request{"POST", "/v1/batches"};
  request.body = Json{
      {"batch", name},
      {"workload", "train"},
      {"trainer_version", trainerVersion},
      {"samples",
       samples}}.dump();
  callAnyGateway(request);
}

std::uint64_t Fleet::readFullBatch(const std::string& name, std::size_t samples) {
  std::set<std::uint32_t> seen;
  std::uint64_t oldestVersion = UINT64_MAX;
  std::uint32_t cursor = 0;
  waitUntil(
      [&] {
        const HttpRequest request{
            "GET", "/v1/batches/" + name + "/samples?max=64&cursor=" + std::to_string(cursor)};
        const Json page = Json::parse(callAnyGateway(request).body);
        for (const Json& sample : page["samples"]) {
          const auto index = sample["index"].get<std::uint32_t>();
          cr_assert(seen.insert(index).second, "sample %u delivered twice", index);
          checking::ReceivedResponse received;
          received.tokens = sample["token_ids"].get<std::vector<engine::Token>>();
          for (const Json& span : sample["weights"]) {
            const auto version = span["version"].get<std::uint64_t>();
            oldestVersion = std::min(oldestVersion, version);
            received.spans.push_back({{version}, span["first"], span["count"]});
          }
          const std::string prompt =
              engine::lengthDirective(static_cast<std::uint32_t>(received.tokens.size())) + name;
          cr_assert(checking::hasCorrectVersions(received, prompt, index),
                    "versions of sample %u do not match its tokens", index);
        }
        cursor = page["cursor"].get<std::uint32_t>();
        return seen.size() == samples;
      },
      "all samples of batch " + name);
  return oldestVersion;
}

void Fleet::publishWeights(std::uint64_t version) {
  HttpRequest request{"POST", "/v1/weights"};
  request.body = Json{{"model", "default"}, {"version", version}}.dump();
  callAnyGateway(request);
}

HttpResponse Fleet::postToEmulator(const std::string& path) const {
  return sendRequest({"POST", "http://127.0.0.1:" + std::to_string(m_emulatorAdminPort) + path});
}

Json Fleet::executionRecord() const { return Json::parse(postToEmulator("/record").body); }

}  // namespace tackpick::test
