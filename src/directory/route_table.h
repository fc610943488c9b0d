/// \file
/// Lookup of routes by host and path.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "directory/configuration.h"

namespace tackpick::directory {

/// Routes by host, longest prefix first. References the configuration it was built from.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(const Configuration& configuration);

  /// Returns the route of the host with the longest prefix of the path; nullptr if there is none.
  /// `host` may contain a port and upper-case letters; `target` may contain a query.
  [[nodiscard]] const Route* find(std::string_view host, std::string_view target) const;

 private:
  std::map<std::string, std::vector<const Route*>, std::less<>> routes_by_host_;
};

/// Returns one of a route's services, drawn at random by weight.
[[nodiscard]] const std::string& pickService(const Route& route, base::Random& random);
/// Returns the host in lower case without a port.
[[nodiscard]] std::string normalizeHost(std::string_view host);

}  // namespace tackpick::directory
