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

enum class Role { kController, kLedger, kGateway };

/// A replication group as the settings name it.
struct GroupSettings {
  base::GroupId group;
  std::vector<std::uint32_t> nodes;  ///< node numbers
};

/// Everything a process learns from its file. Relative paths are relative to the file.
struct ProcessSettings {
  std::string cluster;
  std::uint32_t node = 0;
  std::string zone;
  std::string dataFolder;
  std::string keyFile;
  transport::Endpoint internal;
  transport::Endpoint http;
  std::set<Role> roles;
  std::map<std::uint32_t, transport::Endpoint> peers;
  GroupSettings controllers;
  std::vector<GroupSettings> ledgers;
  std::string machineListUrl;     ///< controllers; may be empty
  std::string operatorTokenHash;  ///< controllers: an operator token that always works
  std::uint32_t concurrentWeightLoads = 8;
  gateway::GatewaySettings gateway;
};

/// Reads and checks a file. All problems are in the error's message, one a line.
[[nodiscard]] base::Result<ProcessSettings> loadProcessSettings(const std::string& file);

/// Parses `host:port` with an IP number as host.
[[nodiscard]] base::Result<transport::Endpoint> parseEndpoint(const std::string& text);

}  // namespace tackpick::config
