/// \file
/// Settings of a process of a cluster that forms itself (`formation: self`).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "config/process_settings.h"
#include "config/resource_limits.h"
#include "directory/directory_messages.h"
#include "duties/capacity_policy.h"
#include "transport/peer_network.h"

namespace tackpick::config {

/// Settings of one process of a self-formed cluster.
struct ClusterSettings {
  std::string cluster;
  std::string name;
  directory::NodeRole role = directory::NodeRole::kGateway;
  std::string address;  ///< an IPv4 address, from which the node number is derived
  std::string zone;
  std::uint16_t internalPort = 0;          ///< the same for all processes
  transport::Endpoint traffic;             ///< gateways: listens for requests of callers
  transport::Endpoint readiness;           ///< gateways: listens for readiness checks
  transport::Endpoint control;             ///< controllers: listens for operators and instances
  transport::Endpoint metrics;             ///< listens for metrics scrapers; optional
  std::vector<transport::Endpoint> seeds;  ///< control interfaces of some controllers
  bool bootstrap = false;                  ///< whether the cluster starts for the first time
  std::string dataDirectory;               ///< required for controllers and ledgers
  std::uint32_t toleratedLosses = 1;       ///< number of simultaneous machine losses
  base::Duration jobRetention = base::seconds(120);  ///< measured from the submission of a job
  base::Duration gracePeriod = base::seconds(8);     ///< for a planned shutdown
  base::Duration commandLease =
      base::milliseconds(3000);  ///< minimum between commands of two leaders
  base::Duration instanceHeartbeatInterval = base::milliseconds(1200);  ///< of each instance
  /// Time after which every gateway must have applied an accepted configuration change.
  base::Duration maxConfigurationLag = base::milliseconds(2000);
  bool enginesEnforceFences = false;  ///< engines reject commands with outdated fences
  /// Platform service for calls that only one process may make at a time; optional.
  transport::Endpoint platformEndpoint;
  double platformCallsPerSecond = 10;  ///< maximum rate that the platform accepts
  /// How the number of instances is determined for services that have limits on it.
  duties::CapacityMode capacityMode = duties::CapacityMode::kFixed;
  base::Duration usageWindow{0};  ///< length of a usage window; zero: no usage reports
  base::Duration usageReportDelay = base::seconds(10);  ///< from the end of a window to its report
  std::uint32_t concurrentLoads = 2;  ///< maximum number of engines that load weights at a time
  ResourceLimits limits;              ///< resources available to the process
};

/// Whether the `formation` in the settings file is `self`.
[[nodiscard]] bool isSelfFormed(const std::string& file);
/// Reads and validates a settings file. Unknown keys are errors.
[[nodiscard]] base::Result<ClusterSettings> loadClusterSettings(const std::string& file);
/// Returns the node number that corresponds to an IPv4 address.
[[nodiscard]] base::Result<std::uint32_t> parseNodeNumber(const std::string& address);

}  // namespace tackpick::config
