#include "config/cluster_settings.h"

#include <asio/ip/address_v4.hpp>
#include <set>

#include "config/yaml_reader.h"

namespace tackpick::config {
namespace {

constexpr std::int64_t kLargestPort = 65'535;
constexpr double kMaxDuration = 86'400'000;
constexpr std::int64_t kMaxMachines = 1000;
constexpr double kMinCalls = 0.1;
constexpr double kMaxCalls = 1e6;

transport::Endpoint readEndpoint(MappingReader& reader, const std::string& key, bool required) {
  const std::string text = required ? reader.requiredText(key) : reader.text(key, "");
  if (text.empty()) {
    return {};
  }
  return base::recover([&] { return parseEndpoint(text); },
                       [&](const base::Error& error) {
                         reader.problem(key, error.message);
                         return transport::Endpoint{};
                       });
}

directory::NodeRole readRole(MappingReader& reader) {
  const std::string role = reader.requiredText("role");
  if (role == "controller") {
    return directory::NodeRole::kController;
  }
  if (role == "ledger") {
    return directory::NodeRole::kLedger;
  }
  if (role != "gateway") {
    reader.problem("role", "expected controller, ledger or gateway");
  }
  return directory::NodeRole::kGateway;
}

base::Duration readDuration(MappingReader& reader, const std::string& key, base::Duration unit,
                            base::Duration fallback) {
  const auto micros = static_cast<double>(unit.count());
  const double value =
      reader.number(key, static_cast<double>(fallback.count()) / micros, 0, kMaxDuration);
  return base::Duration(static_cast<base::Duration::rep>(value * micros));
}

/// The duties that the platform gives out; none when it does not say.
std::set<std::string> readDuties(MappingReader& reader) {
  std::set<std::string> duties;
  const YAML::Node list = reader.child("platform_duties");
  if (!list.IsDefined() || list.IsNull()) {
    return duties;
  }
  if (!list.IsSequence()) {
    reader.problem("platform_duties", "expected a list of names");
    return duties;
  }
  for (const YAML::Node& item : list) {
    duties.insert(item.as<std::string>(""));
  }
  return duties;
}

duties::CapacityMode readCapacityMode(MappingReader& reader, const ClusterSettings& settings) {
  const bool listed = readDuties(reader).contains("scaling");
  const bool given = listed && !settings.dutyPlatform.host.empty();
  const std::string mode = reader.text("capacity", given ? "waiting" : "hold");
  if (mode == "hold") {
    return duties::CapacityMode::kFixed;
  }
  if (settings.dutyPlatform.host.empty()) {
    reader.problem("capacity", "numbers of instances need a duty_platform");
  }
  if (mode == "waiting") {
    return duties::CapacityMode::kReactive;
  }
  if (mode != "expected") {
    reader.problem("capacity", "expected hold, waiting or expected");
  }
  return duties::CapacityMode::kPredictive;
}

/// Calls to the platform that one machine at a time may make.
void readDutySettings(MappingReader& reader, ClusterSettings& settings) {
  settings.dutyPlatform = readEndpoint(reader, "duty_platform", false);
  settings.dutyCallsPerSecond =
      reader.number("duty_calls_per_s", settings.dutyCallsPerSecond, kMinCalls, kMaxCalls);
  settings.capacity = readCapacityMode(reader, settings);
  settings.usageWindow = readDuration(reader, "usage_window_s", base::seconds(1), {});
  settings.usageReportDelay =
      readDuration(reader, "usage_delay_s", base::seconds(1), settings.usageReportDelay);
  if (settings.usageWindow > base::Duration{0} && settings.dutyPlatform.host.empty()) {
    reader.problem("usage_window_s", "reports of usage need a duty_platform");
  }
}

void readSeeds(MappingReader& reader, ClusterSettings& settings, Problems& problems) {
  const YAML::Node list = reader.child("seeds");
  if (!list.IsDefined() || !list.IsSequence() || list.size() == 0) {
    reader.problem("seeds", "expected a list of host:port");
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
          problems.add(item, "seeds[]", error.message);
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

base::Result<std::uint32_t> nodeNumberOf(const std::string& address) {
  asio::error_code error;
  const auto parsed = asio::ip::make_address_v4(address, error);
  if (error || parsed.to_uint() == 0) {
    return base::fail(base::ErrorCode::kInvalidInput,
                      "expected an IPv4 number, got '" + address + "'");
  }
  return parsed.to_uint();
}

base::Result<ClusterSettings> loadClusterSettings(const std::string& file) {
  BOOST_LEAF_AUTO(document, loadYaml(file));
  Problems problems(file);
  ClusterSettings settings;
  MappingReader reader(document, "", problems);
  reader.requiredText("formation");
  settings.cluster = reader.requiredText("cluster");
  settings.name = reader.requiredText("name");
  settings.role = readRole(reader);
  settings.address = reader.requiredText("address");
  base::recover([&] { return nodeNumberOf(settings.address); },
                [&](const base::Error& error) {
                  reader.problem("address", error.message);
                  return 0U;
                });
  settings.zone = reader.requiredText("zone");
  settings.internalPort =
      static_cast<std::uint16_t>(reader.integer("internal_port", 0, 1, kLargestPort));
  const bool gateway = settings.role == directory::NodeRole::kGateway;
  settings.traffic = readEndpoint(reader, "traffic", gateway);
  settings.readiness = readEndpoint(reader, "readiness", gateway);
  settings.control =
      readEndpoint(reader, "control", settings.role == directory::NodeRole::kController);
  settings.metrics = readEndpoint(reader, "metrics", false);
  readSeeds(reader, settings, problems);
  settings.bootstrap = reader.flag("bootstrap", false);
  settings.dataFolder =
      gateway ? reader.text("data_folder", "") : reader.requiredText("data_folder");
  settings.toleratedLosses =
      static_cast<std::uint32_t>(reader.integer("losses_borne", 1, 0, kMaxMachines));
  settings.retention = readDuration(reader, "retention_s", base::seconds(1), settings.retention);
  settings.gracePeriod =
      readDuration(reader, "grace_period_s", base::seconds(1), settings.gracePeriod);
  settings.commandLease =
      readDuration(reader, "order_lease_ms", base::milliseconds(1), settings.commandLease);
  settings.instanceHeartbeat = readDuration(reader, "instance_heartbeat_ms", base::milliseconds(1),
                                            settings.instanceHeartbeat);
  settings.maxConfigurationLag = readDuration(reader, "configuration_lag_ms", base::milliseconds(1),
                                              settings.maxConfigurationLag);
  settings.enginesEnforceFences = reader.flag("engines_check_fences", false);
  readDutySettings(reader, settings);
  settings.concurrentLoads = static_cast<std::uint32_t>(
      reader.integer("concurrent_weight_loads", settings.concurrentLoads, 1, kMaxMachines));
  settings.limits = readProcessLimits(reader);
  reader.finish();
  if (!problems.empty()) {
    return base::fail(base::ErrorCode::kInvalidInput, problems.text());
  }
  return settings;
}

}  // namespace tackpick::config
