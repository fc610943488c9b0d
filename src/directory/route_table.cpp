#include "directory/route_table.h"

#include <algorithm>
#include <cctype>

namespace tackpick::directory {

std::string normalizeHost(std::string_view host) {
  std::string normalized(host.substr(0, host.rfind(':')));
  std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return normalized;
}

RouteTable::RouteTable(const Configuration& configuration) {
  for (const Route& route : configuration.routes) {
    routes_by_host_[normalizeHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : routes_by_host_) {
    std::sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) {
      return left->pathPrefix.size() > right->pathPrefix.size();
    });
  }
}

const Route* RouteTable::find(std::string_view host, std::string_view target) const {
  const auto found = routes_by_host_.find(normalizeHost(host));
  if (found == routes_by_host_.end()) {
    return nullptr;
  }
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Route* route : found->second) {
    if (path.starts_with(route->pathPrefix)) {
      return route;
    }
  }
  return nullptr;
}

const std::string& pickService(const Route& route, base::Random& random) {
  std::uint64_t total = 0;
  for (const TrafficSplit& split : route.splits) {
    total += split.weight;
  }
  std::uint64_t drawn = random.below(total);
  for (const TrafficSplit& split : route.splits) {
    if (drawn < split.weight) {
      return split.service;
    }
    drawn -= split.weight;
  }
  return route.splits.back().service;
}

}  // namespace tackpick::directory
