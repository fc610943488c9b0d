#include "integration/self_formed_cluster.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

namespace tackpick::test {
namespace {

using runtime::Json;

constexpr const char* kControllers = "127.0.1.";
constexpr const char* kLedgers = "127.0.2.";
constexpr const char* kGateways = "127.0.3.";
constexpr const char* kFirstGateway = "127.0.3.1";
constexpr int kUnavailable = 503;
constexpr long kCallSeconds = 3;

std::string netOf(const std::string& address) { return address.substr(0, address.rfind('.') + 1); }

}  // namespace

SelfFormedCluster::SelfFormedCluster(ClusterLayout layout)
    : m_layout(layout),
      m_folder(std::filesystem::temp_directory_path() /
               ("tackpick-cluster-" + std::to_string(getpid()))),
      m_internalPort(reservePort()),
      m_httpPort(reservePort()),
      m_readinessPort(reservePort()),
      m_metricsPort(reservePort()) {
  std::filesystem::remove_all(m_folder);
  std::filesystem::create_directories(m_folder);
  for (int i = 1; i <= layout.controllers; ++i) {
    add(kControllers + std::to_string(i), "controller");
  }
  for (int i = 1; i <= layout.ledgers; ++i) {
    add(kLedgers + std::to_string(i), "ledger");
  }
  for (int i = 1; i <= layout.gateways; ++i) {
    add(kGateways + std::to_string(i), "gateway");
  }
  for (const auto& machine : m_machines) {
    start(*machine, true);
  }
}

SelfFormedCluster::~SelfFormedCluster() {
  m_machines.clear();
  std::filesystem::remove_all(m_folder);
}

void SelfFormedCluster::add(const std::string& address, const std::string& role) {
  m_machines.push_back(std::make_unique<Machine>(Machine{address, role, nullptr, 0}));
  ++m_lastNumber[netOf(address)];
}

std::string SelfFormedCluster::seeds() const {
  constexpr std::size_t kSeeds = 3;
  std::string list;
  const std::vector<std::string> controllers = addresses(kControllers);
  for (std::size_t i = 0; i < std::min(kSeeds, controllers.size()); ++i) {
    list += (i == 0 ? "" : ", ") + controllers[i] + ":" + std::to_string(m_httpPort);
  }
  return list;
}

std::string SelfFormedCluster::settingsOf(const Machine& machine, bool bootstrap) const {
  const std::string& address = machine.address;
  const auto at = [&](std::uint16_t port) { return address + ":" + std::to_string(port); };
  std::string text =
      "formation: self\ncluster: test\nname: node-" + address + "\nrole: " + machine.role +
      "\naddress: " + address + "\nzone: a\ninternal_port: " + std::to_string(m_internalPort) +
      "\nmetrics: " + at(m_metricsPort) + "\nbootstrap: " + (bootstrap ? "true" : "false") +
      "\nseeds: [" + seeds() + "]\nlosses_borne: " + std::to_string(m_layout.losses) + "\n";
  if (m_layout.dutyPlatform != 0) {
    text += "duty_platform: 127.0.0.1:" + std::to_string(m_layout.dutyPlatform) +
            "\nusage_window_s: 1\nusage_delay_s: 4\nplatform_duties: [usage, scaling]\n";
  }
  if (machine.role == "gateway") {
    text += "traffic: " + at(m_httpPort) + "\nreadiness: " + at(m_readinessPort) + "\n";
  } else {
    text += "data_folder: " + dataFolder(address).string() + "\n";
  }
  if (machine.role == "controller") {
    text += "control: " + at(m_httpPort) + "\n";
  }
  return text;
}

void SelfFormedCluster::start(Machine& machine, bool bootstrap) {
  const std::string name = m_folder / machine.address;
  std::ofstream(name + ".yaml") << settingsOf(machine, bootstrap);
  ++machine.starts;
  machine.process = std::make_unique<Process>(
      "tackpickd", std::vector<std::string>{"--settings", name + ".yaml"}, name + ".log");
}

void SelfFormedCluster::wipe(Machine& machine) {
  machine.process->kill();
  std::filesystem::remove_all(dataFolder(machine.address));
  start(machine, false);
}

std::string SelfFormedCluster::replace(const std::string& address) {
  Machine& lost = machine(address);
  const std::string role = lost.role;
  const std::string net = netOf(address);
  std::erase_if(m_machines, [&](const auto& machine) { return machine->address == address; });
  std::filesystem::remove_all(dataFolder(address));
  const std::string successor = net + std::to_string(m_lastNumber[net] + 1);
  add(successor, role);
  start(machine(successor), false);
  return successor;
}

Machine& SelfFormedCluster::machine(const std::string& address) {
  for (const auto& machine : m_machines) {
    if (machine->address == address) {
      return *machine;
    }
  }
  cr_assert_fail("no machine %s", address.c_str());
  return *m_machines.front();
}

std::vector<std::string> SelfFormedCluster::addresses(const std::string& net) const {
  std::vector<std::string> found;
  for (const auto& machine : m_machines) {
    if (netOf(machine->address) == net) {
      found.push_back(machine->address);
    }
  }
  return found;
}

HttpAnswer SelfFormedCluster::control(const std::string& method, const std::string& path,
                                      const Json& body) {
  HttpAnswer answer;
  waitUntil(
      [&] {
        const std::vector<std::string> controllers = addresses(kControllers);
        const std::string address = controllers[++m_turn % controllers.size()];
        answer = call({method,
                       controlUrl(address, path),
                       body.is_null() ? "" : body.dump(),
                       {},
                       {},
                       kCallSeconds});
        return answer.status != 0 && answer.status != kUnavailable;
      },
      "a controller answers " + path);
  return answer;
}

HttpAnswer SelfFormedCluster::gateway(const std::string& method, const std::string& path,
                                      const std::string& body, const std::string& id,
                                      std::map<std::string, std::string> headers) {
  constexpr long kGatewaySeconds = 10;
  headers["Host"] = "batches.example";
  headers["Request-Id"] = id;
  return call(
      {method, gatewayUrl(kFirstGateway, path), body, {}, std::move(headers), kGatewaySeconds});
}

HttpAnswer SelfFormedCluster::gatewayAs(const std::string& key, const std::string& method,
                                        const std::string& path, const std::string& body,
                                        const std::string& id) {
  return gateway(method, path, body, id, {{"Authorization", "Token " + key}, {"Tenant", "x"}});
}

int SelfFormedCluster::readiness() const {
  const std::string url =
      std::string("http://") + kFirstGateway + ":" + std::to_string(m_readinessPort) + "/ready";
  return call({"GET", url, "", {}, {}, kCallSeconds}).status;
}

std::string SelfFormedCluster::figures(const std::string& address) const {
  const std::string url = "http://" + address + ":" + std::to_string(m_metricsPort) + "/metrics";
  return call({"GET", url, "", {}, {}, kCallSeconds}).body;
}

bool SelfFormedCluster::isWhole(const std::string& net) const {
  const std::string wanted = std::to_string(2 * m_layout.losses + 1);
  const std::vector<std::string> members = addresses(net);
  return std::any_of(members.begin(), members.end(), [&](const std::string& address) {
    const std::string told = figures(address);
    const auto tells = [&](const std::string& line) {
      return told.find("\n" + line + "\n") != std::string::npos;
    };
    return tells("tackpick_leader 1") && tells("tackpick_voters " + wanted) &&
           tells("tackpick_voters_heard " + wanted);
  });
}

std::size_t SelfFormedCluster::logged(const std::string& address, const std::string& text) const {
  std::ifstream log(m_folder / (address + ".log"));
  std::size_t count = 0;
  for (std::string line; std::getline(log, line);) {
    count += line.find(text) != std::string::npos ? 1 : 0;
  }
  return count;
}

std::string SelfFormedCluster::leader(const std::string& net) {
  std::string found;
  waitUntil(
      [&] {
        for (const std::string& address : addresses(net)) {
          if (logged(address, "became_leader") > logged(address, "lost_leadership")) {
            found = address;
          }
        }
        return !found.empty();
      },
      "a leader in " + net);
  return found;
}

Json batchConfiguration(std::uint64_t version) {
  return {{"version", version},
          {"routes",
           {{{"name", "batches"},
             {"host", "batches.example"},
             {"pathPrefix", "/b/"},
             {"kind", "rollout"},
             {"timeoutMs", 10000},
             {"targetLatencyMs", 400},
             {"service", "engines"},
             {"attempts", 3},
             {"queueTimeoutS", 60}}}},
          {"services",
           {{{"name", "engines"},
             {"healthPath", "/health"},
             {"engine", {{"slots", 4}, {"models", {{{"name", "m"}}}}}}}}},
          {"limits",
           {{"headerLimitBytes", 16384},
            {"bodyLimitBytes", 1000000},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}}};
}

/// The same with a route for plain requests and the tenants' keys.
Json tenantConfiguration(std::uint64_t version, const Json& tenants) {
  Json made = batchConfiguration(version);
  made["routes"].push_back({{"name", "queries"},
                            {"host", "batches.example"},
                            {"pathPrefix", "/q/"},
                            {"kind", "safe"},
                            {"timeoutMs", 5000},
                            {"targetLatencyMs", 400},
                            {"service", "engines"},
                            {"attempts", 2}});
  made["tenants"] = tenants;
  return made;
}

std::string batch(int items) {
  Json list = Json::array();
  for (int i = 0; i < items; ++i) {
    list.push_back({{"identifier", "item" + std::to_string(i)},
                    {"path", "/b/run"},
                    {"headers", {{"Model", "m"}}},
                    {"body", "YWI="},
                    {"tokens", 10},
                    {"group", "g"}});
  }
  return Json{{"step", 0}, {"model", "m"}, {"minimumVersion", 1}, {"items", list}}.dump();
}

}  // namespace tackpick::test
