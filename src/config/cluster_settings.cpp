#include "config/cluster_settings.h"

#include <asio/ip/address_v4.hpp>
#include <set>

#include "config/yaml_reader.h"

namespace tackpick::config {
namespace {

constexpr std::int64_t kMaxPort = 65'535;
constexpr double kMaxDuration = 86'400'000;
constexpr std::int64_t kMaxMachines = 1000;
constexpr double kMinCalls = 0.1;
constexpr double kMaxCalls = 1e6;

transport::Endpoint readEndpoint(MappingReader& reader, const std::string& key, bool required) {
  const std::string text = required ? reader.getRequiredString(key) : reader.getString(key, "");
  if (text.empty()) {
    return {};
  }
  return base::recover([&] { return parseEndpoint(text); },
                       [&](const base::Error& error) {
                         reader.addError(key, error.message);
                         return transport::Endpoint{};
                       });
}

directory::NodeRole readRole(MappingReader& reader) {
  const std::string role = reader.getRequiredString("role");
  if (role == "controller") {
    return directory::NodeRole::kController;
  }
  if (role == "ledger") {
    return directory::NodeRole::kLedger;
  }
  if (role != "gateway") {
    reader.addError("role", "expected controller, ledger or gateway");
  }
  return directory::NodeRole::kGateway;
}

base::Duration readDuration(MappingReader& reader, const std::string& key, base::Duration unit,
                            base::Duration fallback) {
  const auto unitMicros = static_cast<double>(unit.count());
  const double value =
      reader.getDouble(key, static_cast<double>(fallback.count()) / unitMicros, 0, kMaxDuration);
  return base::Duration(static_cast<base::Duration::rep>(value * unitMicros));
}

/// Returns the duties that the platform assigns; empty if the key is missing.
std::set<std::string> readPlatformDuties(MappingReader& reader) {
  std::set<std::string> duties;
  const YAML::Node list = reader.child("platform_duties");
  if (!list.IsDefined() || list.IsNull()) {
    return duties;
  }
  if (!list.IsSequence()) {
    reader.addError("platform_duties", "expected a list of names");
    return duties;
  }
  for (const YAML::Node& item : list) {
    duties.insert(item.as<std::string>(""));
  }
  return duties;
}

duties::CapacityMode readCapacityMode(MappingReader& reader, const ClusterSettings& settings) {
  const bool listed = readPlatformDuties(reader).contains("scaling");
  const bool isManaged = listed && !settings.platformEndpoint.host.empty();
  const std::string mode = reader.getString("capacity", isManaged ? "waiting" : "hold");
  if (mode == "hold") {
    return duties::CapacityMode::kFixed;
  }
  if (settings.platformEndpoint.host.empty()) {
    reader.addError("capacity", "scaling requires a duty_platform");
  }
  if (mode == "waiting") {
    return duties::CapacityMode::kReactive;
  }
  if (mode != "expected") {
    reader.addError("capacity", "expected hold, waiting or expected");
  }
  return duties::CapacityMode::kPredictive;
}

/// Reads the settings of the calls to the platform that only one process may make at a time.
void readPlatformSettings(MappingReader& reader, ClusterSettings& settings) {
  settings.platformEndpoint = readEndpoint(reader, "duty_platform", false);
  settings.platformCallsPerSecond =
      reader.getDouble("duty_calls_per_s", settings.platformCallsPerSecond, kMinCalls, kMaxCalls);
  settings.capacityMode = readCapacityMode(reader, settings);
  settings.usageWindow = readDuration(reader, "usage_window_s", base::seconds(1), {});
  settings.usageReportDelay =
      readDuration(reader, "usage_delay_s", base::seconds(1), settings.usageReportDelay);
  if (settings.usageWindow > base::Duration{0} && settings.platformEndpoint.host.empty()) {
    reader.addError("usage_window_s", "usage reports require a duty_platform");
  }
}

void readSeeds(MappingReader& reader, ClusterSettings& settings, ConfigErrors& errors) {
  const YAML::Node list = reader.child("seeds");
  if (!list.IsDefined() || !list.IsSequence() || list.size() == 0) {
    reader.addError("seeds", "expected a list of host:port");
    return;
  }
  for (const YAML::Node& item : list) {
    base::recover(
        [&]() -> base::Result<int> {
          BOOST_LEAF_AUTO(seed, parseEndpoint(item.as<std::string>("")));
          settings.seeds.push_back(seed);
          return 0;
        },
        [&](const base::Error& error) {
          errors.add(item, "seeds[]", error.message);
          return 0;
        });
  }
}

}  // namespace

bool isSelfFormed(const std::string& file) {
  return base::recover(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_AUTO(document, loadYaml(file));
        return document.IsMap() && document["formation"].as<std::string>("") == "self";
      },
      [](const base::Error&) { return false; });
}

base::Result<std::uint32_t> parseNodeNumber(const std::string& address) {
  asio::error_code error;
  const auto parsed = asio::ip::make_address_v4(address, error);
  if (error || parsed.to_uint() == 0) {
    return base::fail(base::ErrorCode::kInvalidInput,
                      "expected an IPv4 address, got '" + address + "'");
  }
  return parsed.to_uint();
}

base::Result<ClusterSettings> loadClusterSettings(const std::string& file) {
  BOOST_LEAF_AUTO(document, loadYaml(file));
  ConfigErrors errors(file);
  ClusterSettings settings;
  MappingReader reader(document, "", errors);
  reader.getRequiredString("formation");
  settings.cluster = reader.getRequiredString("cluster");
  settings.name = reader.getRequiredString("name");
  settings.role = readRole(reader);
  settings.address = reader.getRequiredString("address");
  base::recover([&] { return parseNodeNumber(settings.address); },
                [&](const base::Error& error) {
                  reader.addError("address", error.message);
                  return 0U;
                });
  settings.zone = reader.getRequiredString("zone");
  settings.internalPort =
      static_cast<std::uint16_t>(reader.getInteger("internal_port", 0, 1, kMaxPort));
  const bool gateway = settings.role == directory::NodeRole::kGateway;
  settings.traffic = readEndpoint(reader, "traffic", gateway);
  settings.readiness = readEndpoint(reader, "readiness", gateway);
  settings.control =
      readEndpoint(reader, "control", settings.role == directory::NodeRole::kController);
  settings.metrics = readEndpoint(reader, "metrics", false);
  readSeeds(reader, settings, errors);
  settings.bootstrap = reader.getBool("bootstrap", false);
  settings.dataDirectory =
      gateway ? reader.getString("data_folder", "") : reader.getRequiredString("data_folder");
  settings.toleratedLosses =
      static_cast<std::uint32_t>(reader.getInteger("losses_borne", 1, 0, kMaxMachines));
  settings.jobRetention =
      readDuration(reader, "retention_s", base::seconds(1), settings.jobRetention);
  settings.gracePeriod =
      readDuration(reader, "grace_period_s", base::seconds(1), settings.gracePeriod);
  settings.commandLease =
      readDuration(reader, "order_lease_ms", base::milliseconds(1), settings.commandLease);
  settings.instanceHeartbeatInterval = readDuration(
      reader, "instance_heartbeat_ms", base::milliseconds(1), settings.instanceHeartbeatInterval);
  settings.maxConfigurationLag = readDuration(reader, "configuration_lag_ms", base::milliseconds(1),
                                              settings.maxConfigurationLag);
  settings.enginesEnforceFences = reader.getBool("engines_check_fences", false);
  readPlatformSettings(reader, settings);
  settings.concurrentLoads = static_cast<std::uint32_t>(
      reader.getInteger("concurrent_weight_loads", settings.concurrentLoads, 1, kMaxMachines));
  settings.limits = readResourceLimits(reader);
  reader.rejectUnknownKeys();
  if (!errors.empty()) {
    return base::fail(base::ErrorCode::kInvalidInput, errors.toString());
  }
  return settings;
}

}  // namespace tackpick::config
