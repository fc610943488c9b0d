#include "config/process_settings.h"

#include <asio/ip/address.hpp>
#include <filesystem>
#include <limits>

#include "config/yaml_reader.h"

namespace tackpick::config {
namespace {

constexpr std::int64_t kMaxNodeNumber = std::numeric_limits<std::uint32_t>::max();
constexpr std::int64_t kMaxGroupNumber = 1'000'000;

transport::Endpoint readEndpoint(MappingReader& reader, const std::string& key) {
  const std::string text = reader.getRequiredString(key);
  return base::recover([&] { return parseEndpoint(text); },
                       [&](const base::Error& error) {
                         reader.addError(key, error.message);
                         return transport::Endpoint{};
                       });
}

std::vector<std::uint32_t> readNodes(MappingReader& reader, const std::string& key,
                                     ConfigErrors& errors) {
  std::vector<std::uint32_t> nodes;
  const YAML::Node list = reader.child(key);
  if (!list.IsDefined() || !list.IsSequence() || list.size() == 0) {
    reader.addError(key, "expected a list of node numbers");
    return nodes;
  }
  for (const YAML::Node& item : list) {
    std::uint32_t number = 0;
    if (!YAML::convert<std::uint32_t>::decode(item, number) || number == 0) {
      errors.add(item, reader.childPath(key), "expected a node number");
      continue;
    }
    nodes.push_back(number);
  }
  return nodes;
}

GroupSettings readGroup(const YAML::Node& node, const std::string& path, ConfigErrors& errors) {
  MappingReader reader(node, path, errors);
  GroupSettings group;
  group.group = {static_cast<std::uint64_t>(reader.getInteger("group", 1, 1, kMaxGroupNumber))};
  group.nodes = readNodes(reader, "nodes", errors);
  reader.rejectUnknownKeys();
  return group;
}

void readRoles(MappingReader& reader, ProcessSettings& settings, ConfigErrors& errors) {
  const YAML::Node list = reader.child("roles");
  if (!list.IsDefined() || !list.IsSequence() || list.size() == 0) {
    reader.addError("roles", "expected a list of controller, ledger, gateway");
    return;
  }
  for (const YAML::Node& item : list) {
    const auto name = item.as<std::string>("");
    if (name == "controller") {
      settings.roles.insert(ProcessRole::kController);
    } else if (name == "ledger") {
      settings.roles.insert(ProcessRole::kLedger);
    } else if (name == "gateway") {
      settings.roles.insert(ProcessRole::kGateway);
    } else {
      errors.add(item, "roles", "expected controller, ledger or gateway, got " + name);
    }
  }
}

void readPeers(MappingReader& reader, ProcessSettings& settings, ConfigErrors& errors) {
  const YAML::Node list = reader.child("peers");
  if (!list.IsDefined()) {
    return;
  }
  if (!list.IsSequence()) {
    reader.addError("peers", "expected a list of {node, address}");
    return;
  }
  for (const YAML::Node& item : list) {
    MappingReader peer(item, "peers[]", errors);
    const auto number = static_cast<std::uint32_t>(peer.getInteger("node", 0, 1, kMaxNodeNumber));
    const transport::Endpoint endpoint = readEndpoint(peer, "address");
    if (!settings.peers.emplace(number, endpoint).second) {
      peer.addError("node", "duplicate node number");
    }
    peer.rejectUnknownKeys();
  }
}

void readGateway(MappingReader& parent, ProcessSettings& settings, ConfigErrors& errors) {
  const YAML::Node node = parent.child("gateway");
  if (!node.IsDefined()) {
    return;
  }
  constexpr std::int64_t kMaxMillis = 3'600'000;
  constexpr std::int64_t kMaxSamples = 1'000'000;
  MappingReader reader(node, "gateway", errors);
  gateway::GatewaySettings& gateway = settings.gateway;
  gateway.hedgeSlowSamplesEnabled = reader.getBool("hedge_tail", gateway.hedgeSlowSamplesEnabled);
  gateway.resumePartialOutput = reader.getBool("resume_partial", gateway.resumePartialOutput);
  gateway.longestFirst = reader.getBool("longest_first", gateway.longestFirst);
  const bool useBaselinePolicy = reader.getBool("baseline_policy", false);
  gateway.queue.fifo = useBaselinePolicy;
  gateway.selector.policy = useBaselinePolicy ? routing::SelectionPolicy::kRoundRobin
                                              : routing::SelectionPolicy::kPowerOfTwoChoices;
  gateway.gatewaysPerEngine = static_cast<std::uint32_t>(
      reader.getInteger("readers_per_engine", gateway.gatewaysPerEngine, 0, kMaxGroupNumber));
  gateway.maxLeasedSamples = static_cast<std::uint32_t>(
      reader.getInteger("maximum_samples", gateway.maxLeasedSamples, 1, kMaxSamples));
  gateway.samplePrefetch = static_cast<std::uint32_t>(
      reader.getInteger("sample_reserve", gateway.samplePrefetch, 0, kMaxSamples));
  gateway.retryRatio = reader.getDouble("retry_ratio", gateway.retryRatio, 0.0, 1.0);
  const auto toMillis = [](base::Duration duration) { return duration.count() / 1000; };
  gateway.stallTimeout = base::milliseconds(
      reader.getInteger("stall_timeout_ms", toMillis(gateway.stallTimeout), 1, kMaxMillis));
  gateway.pollInterval = base::milliseconds(
      reader.getInteger("read_interval_ms", toMillis(gateway.pollInterval), 1, kMaxMillis));
  gateway.queue.starvationTimeout = base::milliseconds(reader.getInteger(
      "starvation_limit_ms", toMillis(gateway.queue.starvationTimeout), 1, kMaxMillis));
  if (useBaselinePolicy && reader.has("hedge_tail") && gateway.hedgeSlowSamplesEnabled) {
    reader.addError("hedge_tail", "conflicts with baseline_policy, which does not hedge");
  }
  if (useBaselinePolicy) {
    gateway.hedgeSlowSamplesEnabled = false;
    gateway.longestFirst = false;
    gateway.resumePartialOutput = false;
  }
  const YAML::Node peers = reader.child("peers");
  if (peers.IsDefined()) {
    for (const std::uint32_t number : readNodes(reader, "peers", errors)) {
      gateway.peers.push_back(base::makeNodeId(number, 0));
    }
  }
  reader.rejectUnknownKeys();
}

std::string resolve(const std::filesystem::path& directory, const std::string& path) {
  return path.empty() ? path : (directory / path).lexically_normal().string();
}

void checkAddresses(MappingReader& reader, const ProcessSettings& settings) {
  const auto check = [&](const GroupSettings& group, const std::string& key) {
    for (const std::uint32_t number : group.nodes) {
      if (number != settings.node && !settings.peers.contains(number)) {
        reader.addError(key, "node " + std::to_string(number) + " has no address under peers");
      }
    }
  };
  check(settings.controllers, "controllers");
  for (const GroupSettings& group : settings.ledgers) {
    check(group, "ledgers");
    if (group.group == settings.controllers.group) {
      reader.addError("ledgers", "a ledger group has the same number as the controllers' group");
    }
  }
  if (settings.roles.contains(ProcessRole::kGateway) && settings.ledgers.empty()) {
    reader.addError("ledgers", "a gateway needs at least one ledger group");
  }
}

}  // namespace

base::Result<transport::Endpoint> parseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  const std::string expected = "expected host:port with an IP address as host, got '" + text + "'";
  if (colon == std::string::npos || colon + 1 == text.size()) {
    return base::fail(base::ErrorCode::kInvalidInput, expected);
  }
  transport::Endpoint endpoint;
  endpoint.host = text.substr(0, colon);
  asio::error_code error;
  asio::ip::make_address(endpoint.host, error);
  unsigned port = 0;
  for (const char c : text.substr(colon + 1)) {
    constexpr unsigned kDecimalBase = 10;
    const bool digit = c >= '0' && c <= '9';
    port = digit ? port * kDecimalBase + static_cast<unsigned>(c - '0') : kMaxNodeNumber;
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
  ConfigErrors errors(file);
  const std::filesystem::path directory = std::filesystem::absolute(file).parent_path();
  ProcessSettings settings;
  MappingReader reader(document, "", errors);
  settings.cluster = reader.getRequiredString("cluster");
  settings.node = static_cast<std::uint32_t>(reader.getInteger("node", 0, 1, kMaxNodeNumber));
  if (settings.node == 0) {
    reader.addError("node", "expected a node number; it is required");
  }
  settings.zone = reader.getRequiredString("zone");
  settings.dataDirectory = resolve(directory, reader.getRequiredString("data_folder"));
  settings.keyFile = resolve(directory, reader.getRequiredString("key_file"));
  settings.internal = readEndpoint(reader, "internal");
  settings.http = readEndpoint(reader, "http");
  readRoles(reader, settings, errors);
  readPeers(reader, settings, errors);
  if (reader.has("controllers")) {
    settings.controllers = readGroup(reader.child("controllers"), "controllers", errors);
  } else {
    reader.addError("controllers", "expected {group, nodes}; it is required");
  }
  const YAML::Node ledgers = reader.child("ledgers");
  if (ledgers.IsDefined() && ledgers.IsSequence()) {
    for (const YAML::Node& item : ledgers) {
      settings.ledgers.push_back(readGroup(item, "ledgers[]", errors));
    }
  }
  settings.machineListUrl = reader.getString("machine_list", "");
  settings.operatorTokenHash = reader.getString("operator_token_hash", "");
  settings.concurrentWeightLoads = static_cast<std::uint32_t>(reader.getInteger(
      "concurrent_weight_loads", settings.concurrentWeightLoads, 1, kMaxGroupNumber));
  readGateway(reader, settings, errors);
  checkAddresses(reader, settings);
  reader.rejectUnknownKeys();
  if (!errors.empty()) {
    return base::fail(base::ErrorCode::kInvalidInput, errors.toString());
  }
  return settings;
}

}  // namespace tackpick::config
