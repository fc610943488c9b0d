/// \file
/// Configuration of routes, services and tenants, uploaded by operators as one versioned document.
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

/// How often a request of a route may be executed.
enum class RouteKind : std::uint8_t {
  kRepeatable,  ///< a request may be executed more than once
  kAtMostOnce,  ///< a request is executed at most once
  kBatch,       ///< submits batches of items
};

/// Share of a route's requests that goes to one service.
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
  bool streaming = false;  ///< responses are forwarded as they arrive
  bool resumable = false;  ///< a broken stream may be resumed at another engine
  bool open = false;       ///< requests need no API key
  base::Duration timeout{0};
  base::Duration targetLatency{0};
  std::uint32_t priority = 0;  ///< 0 is the highest
  std::vector<TrafficSplit> splits;
  std::uint32_t attempts = 1;  ///< maximum number of engines that one request is sent to
  // The following apply to batches only.
  base::Duration queueTimeout{0};  ///< time after submission from which an item may be dropped
  base::Duration resultDeadline{0};
  bool singleVersion = false;  ///< all of an item's text must come from one weights version

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
  std::uint32_t maxConnections = 0;  ///< maximum per instance over all callers
  std::uint32_t slots = 0;           ///< requests that an engine batches; zero for plain servers
  std::vector<std::string> models;   ///< trained models whose weights its engines load
  /// std::nullopt if the instances are not started and stopped by the autoscaler.
  std::optional<duties::Scaling> scaling = std::nullopt;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, healthPath, maxConnections, slots, models, scaling);
  }
};

/// Limits on the size and duration of client requests.
struct RequestLimits {
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
  RequestLimits limits;
  std::vector<tenancy::Tenant> tenants;  ///< if empty, requests need no API key
  std::string document;                  ///< original document as uploaded

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, routes, services, limits, tenants, document);
  }
};

/// Fails with a description of the first error: a route names an unknown service, two routes share
/// host and prefix, a route's weights add up to zero, a timeout is not positive, or a tenant or a
/// service's scaling is invalid.
[[nodiscard]] base::Result<void> validate(const Configuration& configuration);

}  // namespace tackpick::directory
