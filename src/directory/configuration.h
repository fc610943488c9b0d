/// \file
/// A configuration as operators send it: whole, under a version of their own.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/serialization.h"
#include "base/time.h"
#include "duties/scaling.h"
#include "tenancy/tenant.h"

namespace tackpick::directory {

/// What may be done with a request of a route.
enum class RouteKind : std::uint8_t {
  kRepeatable,  ///< may run more than once
  kAtMostOnce,  ///< at most once
  kBatch,       ///< submits batches of items
};

/// A share of a route's requests.
struct TrafficSplit {
  std::string service;
  std::uint32_t weight = 1;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, weight);
  }
};

struct Route {
  std::string name;
  std::string host;        ///< lower case, without a port
  std::string pathPrefix;  ///< begins and ends with a slash
  RouteKind kind = RouteKind::kAtMostOnce;
  bool streaming = false;  ///< answers are passed on as they come
  bool resumable = false;  ///< a broken stream may go on at another engine
  bool open = false;       ///< needs no key of a tenant
  base::Duration timeout{0};
  base::Duration targetLatency{0};
  std::uint32_t priority = 0;  ///< 0 is the highest
  std::vector<TrafficSplit> splits;
  std::uint32_t attempts = 1;  ///< most engines that one request may be sent to
  // Batches only.
  base::Duration queueTimeout{0};  ///< an item may be given up so long after the submission
  base::Duration resultDeadline{0};
  bool singleVersion = false;  ///< an item's text must come from one version

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, host, pathPrefix, kind, streaming, resumable, open, timeout, targetLatency,
            priority, splits, attempts, queueTimeout, resultDeadline, singleVersion);
  }
};

/// A pool of instances that run the same requests.
struct Service {
  std::string name;
  std::string healthPath;
  std::uint32_t connectionLimit = 0;  ///< over all callers, per instance
  std::uint32_t slots = 0;            ///< requests an engine batches; zero for plain servers
  std::vector<std::string> models;    ///< trained models whose versions it takes
  /// Nothing: its instances are started and stopped by others only.
  std::optional<duties::Scaling> scaling = std::nullopt;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, healthPath, connectionLimit, slots, models, scaling);
  }
};

/// What callers may send.
struct CallerLimits {
  std::uint64_t headerBytes = 16U << 10U;
  std::uint64_t bodyBytes = 8U << 20U;
  base::Duration headerTimeout = base::seconds(5);
  base::Duration idleTimeout = base::seconds(20);

  template <class Archive>
  void serialize(Archive& archive) {
    archive(headerBytes, bodyBytes, headerTimeout, idleTimeout);
  }
};

struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
  std::vector<tenancy::Tenant> tenants;  ///< none: requests need no key
  std::string document;                  ///< as the operator sent it

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, routes, services, limits, tenants, document);
  }
};

/// Fails with what is wrong: a route names an unknown service, two routes share host and prefix, a
/// route's weights add up to zero, a time-out is zero, a tenant or
/// a service's scaling is invalid.
[[nodiscard]] base::Result<void> validate(const Configuration& configuration);

}  // namespace tackpick::directory
