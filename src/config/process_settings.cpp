#include "config/process_settings.h"

#include <asio/ip/address.hpp>
#include <filesystem>
#include <limits>

#include "config/yaml_reader.h"

namespace tackpick::config {
namespace {

constexpr std::int64_t kLargestNode = std::numeric_limits<std::uint32_t>::max();
constexpr std::int64_t kLargestGroup = 1'000'000;

transport::Endpoint readEndpoint(MappingReader& reader, const std::string& key) {
  const std::string text = reader.requiredText(key);
  return base::recover([&] { return parseEndpoint(text); },
                       [&](const base::Error& error) {
                         reader.problem(key, error.message);
                         return transport::Endpoint{};
                       });
}

std::vector<std::uint32_t> readNodes(MappingReader& reader, const std::string& key,
                                     Problems& problems) {
  std::vector<std::uint32_t> nodes;
  const YAML::Node list = reader.child(key);
  if (!list.IsDefined() || !list.IsSequence() || list.size() == 0) {
    reader.problem(key, "expected a list of node numbers");
    return nodes;
  }
  for (const YAML::Node& item : list) {
    std::uint32_t number = 0;
    if (!YAML::convert<std::uint32_t>::decode(item, number) || number == 0) {
      problems.add(item, reader.childPath(key), "expected a node number");
      continue;
    }
    nodes.push_back(number);
  }
  return nodes;
}

GroupSettings readGroup(const YAML::Node& node, const std::string& path, Problems& problems) {
  MappingReader reader(node, path, problems);
  GroupSettings group;
  group.group = {static_cast<std::uint64_t>(reader.integer("group", 1, 1, kLargestGroup))};
  group.nodes = readNodes(reader, "nodes", problems);
  reader.finish();
  return group;
}

void readRoles(MappingReader& reader, ProcessSettings& settings, Problems& problems) {
  const YAML::Node list = reader.child("roles");
  if (!list.IsDefined() || !list.IsSequence() || list.size() == 0) {
    reader.problem("roles", "expected a list of controller, ledger, gateway");
    return;
  }
  for (const YAML::Node& item : list) {
    const auto name = item.as<std::string>("");
    if (name == "controller") {
      settings.roles.insert(Role::kController);
    } else if (name == "ledger") {
      settings.roles.insert(Role::kLedger);
    } else if (name == "gateway") {
      settings.roles.insert(Role::kGateway);
    } else {
      problems.add(item, "roles", "expected controller, ledger or gateway, got " + name);
    }
  }
}

void readPeers(MappingReader& reader, ProcessSettings& settings, Problems& problems) {
  const YAML::Node list = reader.child("peers");
  if (!list.IsDefined()) {
    return;
  }
  if (!list.IsSequence()) {
    reader.problem("peers", "expected a list of {node, address}");
    return;
  }
  for (const YAML::Node& item : list) {
    MappingReader peer(item, "peers[]", problems);
    const auto number = static_cast<std::uint32_t>(peer.integer("node", 0, 1, kLargestNode));
    const transport::Endpoint endpoint = readEndpoint(peer, "address");
    if (!settings.peers.emplace(number, endpoint).second) {
      peer.problem("node", "the node stands twice");
    }
    peer.finish();
  }
}

void readGateway(MappingReader& parent, ProcessSettings& settings, Problems& problems) {
  const YAML::Node node = parent.child("gateway");
  if (!node.IsDefined()) {
    return;
  }
  constexpr std::int64_t kMaxMillis = 3'600'000;
  constexpr std::int64_t kMaxSamples = 1'000'000;
  MappingReader reader(node, "gateway", problems);
  gateway::GatewaySettings& gateway = settings.gateway;
  gateway.hedgeSlowSamplesEnabled = reader.flag("hedge_tail", gateway.hedgeSlowSamplesEnabled);
  gateway.resumePartialOutput = reader.flag("resume_partial", gateway.resumePartialOutput);
  gateway.longestFirst = reader.flag("longest_first", gateway.longestFirst);
  const bool baseline = reader.flag("baseline_policy", false);
  gateway.queue.fifo = baseline;
  gateway.selector.policy = baseline ? routing::SelectionPolicy::kRoundRobin
                                     : routing::SelectionPolicy::kPowerOfTwoChoices;
  gateway.gatewaysPerEngine = static_cast<std::uint32_t>(
      reader.integer("readers_per_engine", gateway.gatewaysPerEngine, 0, kLargestGroup));
  gateway.maxLeasedSamples = static_cast<std::uint32_t>(
      reader.integer("maximum_samples", gateway.maxLeasedSamples, 1, kMaxSamples));
  gateway.samplePrefetch = static_cast<std::uint32_t>(
      reader.integer("sample_reserve", gateway.samplePrefetch, 0, kMaxSamples));
  gateway.retryRatio = reader.number("retry_ratio", gateway.retryRatio, 0.0, 1.0);
  const auto toMillis = [](base::Duration duration) { return duration.count() / 1000; };
  gateway.stallTimeout = base::milliseconds(
      reader.integer("stall_timeout_ms", toMillis(gateway.stallTimeout), 1, kMaxMillis));
  gateway.pollInterval = base::milliseconds(
      reader.integer("read_interval_ms", toMillis(gateway.pollInterval), 1, kMaxMillis));
  gateway.queue.starvationTimeout = base::milliseconds(reader.integer(
      "starvation_limit_ms", toMillis(gateway.queue.starvationTimeout), 1, kMaxMillis));
  if (baseline && reader.has("hedge_tail") && gateway.hedgeSlowSamplesEnabled) {
    reader.problem("hedge_tail", "clashes with baseline_policy, which has no tail handling");
  }
  if (baseline) {
    gateway.hedgeSlowSamplesEnabled = false;
    gateway.longestFirst = false;
    gateway.resumePartialOutput = false;
  }
  const YAML::Node peers = reader.child("peers");
  if (peers.IsDefined()) {
    for (const std::uint32_t number : readNodes(reader, "peers", problems)) {
      gateway.peers.push_back(base::makeNodeId(number, 0));
    }
  }
  reader.finish();
}

std::string resolve(const std::filesystem::path& folder, const std::string& path) {
  return path.empty() ? path : (folder / path).lexically_normal().string();
}

void checkAddresses(MappingReader& reader, const ProcessSettings& settings) {
  const auto check = [&](const GroupSettings& group, const std::string& key) {
    for (const std::uint32_t number : group.nodes) {
      if (number != settings.node && !settings.peers.contains(number)) {
        reader.problem(key, "node " + std::to_string(number) + " has no address under peers");
      }
    }
  };
  check(settings.controllers, "controllers");
  for (const GroupSettings& group : settings.ledgers) {
    check(group, "ledgers");
    if (group.group == settings.controllers.group) {
      reader.problem("ledgers", "a ledger group has the number of the controllers' group");
    }
  }
  if (settings.roles.contains(Role::kGateway) && settings.ledgers.empty()) {
    reader.problem("ledgers", "a gateway needs at least one ledger group");
  }
}

}  // namespace

base::Result<transport::Endpoint> parseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  const std::string expected = "expected host:port with an IP number as host, got '" + text + "'";
  if (colon == std::string::npos || colon + 1 == text.size()) {
    return base::fail(base::ErrorCode::kInvalidInput, expected);
  }
  transport::Endpoint endpoint;
  endpoint.host = text.substr(0, colon);
  asio::error_code error;
  asio::ip::make_address(endpoint.host, error);
  unsigned port = 0;
  for (const char c : text.substr(colon + 1)) {
    constexpr unsigned kDecimal = 10;
    const bool digit = c >= '0' && c <= '9';
    port = digit ? port * kDecimal + static_cast<unsigned>(c - '0') : kLargestNode;
    if (port > std::numeric_limits<std::uint16_t>::max()) {
      return base::fail(base::ErrorCode::kInvalidInput, expected);
    }
  }
  if (error) {
    return base::fail(base::ErrorCode::kInvalidInput, expected);
  }
  endpoint.port = static_cast<std::uint16_t>(port);
  return endpoint;
}

base::Result<ProcessSettings> loadProcessSettings(const std::string& file) {
  BOOST_LEAF_AUTO(document, loadYaml(file));
  Problems problems(file);
  const std::filesystem::path folder = std::filesystem::absolute(file).parent_path();
  ProcessSettings settings;
  MappingReader reader(document, "", problems);
  settings.cluster = reader.requiredText("cluster");
  settings.node = static_cast<std::uint32_t>(reader.integer("node", 0, 1, kLargestNode));
  if (settings.node == 0) {
    reader.problem("node", "expected a node number; it is required");
  }
  settings.zone = reader.requiredText("zone");
  settings.dataFolder = resolve(folder, reader.requiredText("data_folder"));
  settings.keyFile = resolve(folder, reader.requiredText("key_file"));
  settings.internal = readEndpoint(reader, "internal");
  settings.http = readEndpoint(reader, "http");
  readRoles(reader, settings, problems);
  readPeers(reader, settings, problems);
  if (reader.has("controllers")) {
    settings.controllers = readGroup(reader.child("controllers"), "controllers", problems);
  } else {
    reader.problem("controllers", "expected {group, nodes}; it is required");
  }
  const YAML::Node ledgers = reader.child("ledgers");
  if (ledgers.IsDefined() && ledgers.IsSequence()) {
    for (const YAML::Node& item : ledgers) {
      settings.ledgers.push_back(readGroup(item, "ledgers[]", problems));
    }
  }
  settings.machineListUrl = reader.text("machine_list", "");
  settings.operatorTokenHash = reader.text("operator_token_hash", "");
  settings.concurrentWeightLoads = static_cast<std::uint32_t>(
      reader.integer("concurrent_weight_loads", settings.concurrentWeightLoads, 1, kLargestGroup));
  readGateway(reader, settings, problems);
  checkAddresses(reader, settings);
  reader.finish();
  if (!problems.empty()) {
    return base::fail(base::ErrorCode::kInvalidInput, problems.text());
  }
  return settings;
}

}  // namespace tackpick::config
