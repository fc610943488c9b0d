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
    return invalid("its prefix does not begin and end with a slash");
  }
  if (route.timeout <= base::Duration{0}) {
    return invalid("its time-out is not above zero");
  }
  if (route.attempts == 0) {
    return invalid("it allows no attempt");
  }
  std::uint64_t weights = 0;
  for (const TrafficSplit& split : route.splits) {
    if (!services.contains(split.service)) {
      return invalid("unknown service " + split.service);
    }
    weights += split.weight;
  }
  if (weights == 0) {
    return invalid("its weights add up to zero");
  }
  return {};
}

}  // namespace

base::Result<void> validate(const Configuration& configuration) {
  BOOST_LEAF_CHECK(tenancy::validate(configuration.tenants));
  std::set<std::string> services;
  for (const Service& service : configuration.services) {
    if (service.name.empty() || !services.insert(service.name).second) {
      return base::fail(base::ErrorCode::kInvalidInput, "a service has no name of its own");
    }
    if (service.scaling) {
      BOOST_LEAF_CHECK(duties::validate(*service.scaling));
    }
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const Route& route : configuration.routes) {
    BOOST_LEAF_CHECK(validateRoute(route, services));
    if (!places.emplace(route.host, route.pathPrefix).second) {
      return base::fail(base::ErrorCode::kInvalidInput,
                        "route " + route.name + ": another has the same host and prefix");
    }
  }
  return {};
}

}  // namespace tackpick::directory
