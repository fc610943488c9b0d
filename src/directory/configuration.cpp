#include "directory/configuration.h"

#include <set>
#include <utility>

namespace tackpick::directory {
namespace {

base::Result<void> validateRoute(const Route& route, const std::set<std::string>& services) {
  const auto invalid = [&](const std::string& why) {
    return base::fail(base::ErrorCode::kInvalidInput, "route " + route.name + ": " + why);
  };
  if (route.host.empty()) {
    return invalid("no host");
  }
  if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' ||
      route.pathPrefix.back() != '/') {
    return invalid("path prefix must begin and end with a slash");
  }
  if (route.timeout <= base::Duration{0}) {
    return invalid("timeout must be greater than zero");
  }
  if (route.attempts == 0) {
    return invalid("attempts must be at least 1");
  }
  std::uint64_t weights = 0;
  for (const TrafficSplit& split : route.splits) {
    if (!services.contains(split.service)) {
      return invalid("unknown service " + split.service);
    }
    weights += split.weight;
  }
  if (weights == 0) {
    return invalid("weights of its services add up to zero");
  }
  return {};
}

}  // namespace

base::Result<void> validate(const Configuration& configuration) {
  BOOST_LEAF_CHECK(tenancy::validate(configuration.tenants));
  std::set<std::string> services;
  for (const Service& service : configuration.services) {
    if (service.name.empty() || !services.insert(service.name).second) {
      return base::fail(base::ErrorCode::kInvalidInput, "service name is empty or used twice");
    }
    if (service.scaling) {
      BOOST_LEAF_CHECK(duties::validate(*service.scaling));
    }
  }
  std::set<std::pair<std::string, std::string>> routeKeys;
  for (const Route& route : configuration.routes) {
    BOOST_LEAF_CHECK(validateRoute(route, services));
    if (!routeKeys.emplace(route.host, route.pathPrefix).second) {
      return base::fail(
          base::ErrorCode::kInvalidInput,
          "route " + route.name + ": another route has the same host and path prefix");
    }
  }
  return {};
}

}  // namespace tackpick::directory
