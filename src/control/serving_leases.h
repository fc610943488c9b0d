/// \file
/// Leases under which gateways serve requests.
#pragma once

#include <map>

#include "base/identifiers.h"
#include "base/time.h"

namespace tackpick::control {

/// Settings of ServingLeases.
struct ServingLeaseSettings {
  base::Duration duration = base::seconds(4);
  /// Maximum difference between the clock rates of a controller and a gateway, in percent.
  int clockDriftPercent = 2;

  struct Mutants {
    bool forgetEarlierLeases = false;  ///< a new leader ignores leases of its predecessor
  } mutants;
};

/// Serving leases granted by the leading controller, held in memory. A gateway serves only under a
/// lease, so a revision is applied everywhere once every gateway with an unexpired lease has
/// acknowledged it. A new leader has no record of its predecessor's leases and waits until all of
/// them have expired.
class ServingLeases {
 public:
  explicit ServingLeases(ServingLeaseSettings settings) : settings_(settings) {}

  /// Call when this controller becomes leader.
  void onBecameLeader(base::TimePoint now);
  /// Grants or renews a lease. Returns the time for which the gateway may serve, counted from when
  /// it sent the request.
  base::Duration grant(base::NodeId gateway, base::Incarnation incarnation,
                       base::Revision acknowledged, base::TimePoint now);
  /// Removes the lease that the gateway returned.
  void release(base::NodeId gateway);
  /// Whether no gateway can be serving under a revision older than `revision`.
  [[nodiscard]] bool isAppliedEverywhere(base::Revision revision, base::TimePoint now) const;
  /// Returns the number of gateways with an unexpired lease.
  [[nodiscard]] std::size_t size(base::TimePoint now) const;
  /// Removes expired leases. Returns whether there were any.
  bool dropExpired(base::TimePoint now);

  struct Lease {
    base::Incarnation incarnation;
    base::Revision acknowledged;
    base::TimePoint expiresAt{};
  };
  [[nodiscard]] const std::map<base::NodeId, Lease>& leases() const { return leases_; }

 private:
  /// Returns the maximum duration of a lease on this controller's clock, including clock drift.
  [[nodiscard]] base::Duration maxDuration() const;

  const ServingLeaseSettings settings_;
  std::map<base::NodeId, Lease> leases_;
  base::TimePoint m_previousLeasesEnd{};
};

}  // namespace tackpick::control
