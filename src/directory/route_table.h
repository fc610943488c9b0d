/// \file
/// Finds the route of a request.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "directory/configuration.h"

namespace tackpick::directory {

/// Routes by host, longest prefix first. Refers to the configuration it was built from.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(const Configuration& configuration);

  /// The route of that host whose prefix begins the path and is longest; null when there is none.
  /// `host` may carry a port and capitals; `target` may carry a query.
  [[nodiscard]] const Route* find(std::string_view host, std::string_view target) const;

 private:
  std::map<std::string, std::vector<const Route*>, std::less<>> routes_by_host_;
};

/// Draws one of a route's services by weight.
[[nodiscard]] const std::string& pickService(const Route& route, base::Random& random);
/// The host in lower case, without a port.
[[nodiscard]] std::string normalizeHost(std::string_view host);

}  // namespace tackpick::directory
