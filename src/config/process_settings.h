/// \file
/// The settings file of a tackpickd process.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/error.h"
#include "gateway/gateway.h"
#include "transport/peer_network.h"

namespace tackpick::config {

enum class ProcessRole { kController, kLedger, kGateway };

/// Number and members of a replication group.
struct GroupSettings {
  base::GroupId group;
  std::vector<std::uint32_t> nodes;  ///< node numbers
};

/// Settings of one process of a static cluster. Relative paths are relative to the settings file.
struct ProcessSettings {
  std::string cluster;
  std::uint32_t node = 0;
  std::string zone;
  std::string dataDirectory;
  std::string keyFile;
  transport::Endpoint internal;
  transport::Endpoint http;
  std::set<ProcessRole> roles;
  std::map<std::uint32_t, transport::Endpoint> peers;
  GroupSettings controllers;
  std::vector<GroupSettings> ledgers;
  std::string machineListUrl;     ///< controllers; optional
  std::string operatorTokenHash;  ///< controllers: an operator token that is always accepted
  std::uint32_t concurrentWeightLoads = 8;
  gateway::GatewaySettings gateway;
};

/// Reads and validates a settings file. The error message contains all errors found, one per line.
[[nodiscard]] base::Result<ProcessSettings> loadProcessSettings(const std::string& file);

/// Parses `host:port` with an IP address as host.
[[nodiscard]] base::Result<transport::Endpoint> parseEndpoint(const std::string& text);

}  // namespace tackpick::config
