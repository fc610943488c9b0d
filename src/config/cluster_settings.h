/// \file
/// Settings of a process of a cluster that forms itself (`formation: self`).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "config/process_limits.h"
#include "config/process_settings.h"
#include "directory/directory_messages.h"
#include "duties/capacity_policy.h"
#include "transport/peer_network.h"

namespace tackpick::config {

struct ClusterSettings {
  std::string cluster;
  std::string name;
  directory::NodeRole role = directory::NodeRole::kGateway;
  std::string address;  ///< an IPv4 number: the node's number follows from it
  std::string zone;
  std::uint16_t internalPort = 0;                 ///< the same on every machine
  transport::Endpoint traffic;                    ///< gateways: callers
  transport::Endpoint readiness;                  ///< gateways
  transport::Endpoint control;                    ///< controllers: operators and instances
  transport::Endpoint metrics;                    ///< figures for scrapers; may be left out
  std::vector<transport::Endpoint> seeds;         ///< control interfaces of some controllers
  bool bootstrap = false;                         ///< the whole cluster starts for the first time
  std::string dataFolder;                         ///< controllers and ledgers
  std::uint32_t toleratedLosses = 1;              ///< machines that may be lost at once
  base::Duration retention = base::seconds(120);  ///< of a batch, from its submission
  base::Duration gracePeriod = base::seconds(8);  ///< for a planned stop
  base::Duration commandLease = base::milliseconds(3000);       ///< between orders of two leaders
  base::Duration instanceHeartbeat = base::milliseconds(1200);  ///< between two of an instance
  /// An accepted change of the configuration must be in force at every gateway after this time.
  base::Duration maxConfigurationLag = base::milliseconds(2000);
  bool enginesEnforceFences = false;  ///< engines refuse orders with a lower fence than they saw
  /// The platform's service for calls that one machine at a time may make; may be left out.
  transport::Endpoint dutyPlatform;
  double dutyCallsPerSecond = 10;  ///< most calls that the platform takes there
  /// Calls to it set the numbers of instances where a service has bounds on them.
  duties::CapacityMode capacity = duties::CapacityMode::kFixed;
  base::Duration usageWindow{0};  ///< of usage reports; zero: none are wanted
  base::Duration usageReportDelay =
      base::seconds(10);              ///< a report is due so long after its window
  std::uint32_t concurrentLoads = 2;  ///< engines that change weights at once
  ProcessLimits limits;               ///< of the process's machine
};

/// True when the file's `formation` is `self`.
[[nodiscard]] bool isSelfFormed(const std::string& file);
/// Reads and checks a file. Keys it does not know are refused.
[[nodiscard]] base::Result<ClusterSettings> loadClusterSettings(const std::string& file);
/// The number of a node at that IPv4 address.
[[nodiscard]] base::Result<std::uint32_t> nodeNumberOf(const std::string& address);

}  // namespace tackpick::config
