/// \file
/// Which gateways may be serving, and under which configuration.
#pragma once

#include <map>

#include "base/identifiers.h"
#include "base/time.h"

namespace tackpick::control {

/// Knobs of ServingLeases.
struct ServingLeaseSettings {
  base::Duration duration = base::seconds(4);
  /// The clocks of a controller and a gateway may differ in rate by at most this many percent.
  int clockDriftPercent = 2;

  struct Mutants {
    bool forgetEarlierLeases = false;  ///< a new leader takes no care of its predecessor's leases
  } mutants;
};

/// Kept by the leading controller, in memory. A gateway serves only under a lease, so a revision is
/// in force everywhere once every gateway whose lease may still run has acknowledged it. A new
/// leader does not know its predecessor's leases and waits until they must have run out.
class ServingLeases {
 public:
  explicit ServingLeases(ServingLeaseSettings settings) : settings_(settings) {}

  /// Call when this controller becomes leader.
  void onBecameLeader(base::TimePoint now);
  /// Grants or renews; returns how long the gateway may serve from sending its request.
  base::Duration grant(base::NodeId gateway, base::Incarnation incarnation,
                       base::Revision acknowledged, base::TimePoint now);
  /// The gateway gave its lease back.
  void release(base::NodeId gateway);
  /// True when no gateway can be serving under a configuration older than `revision`.
  [[nodiscard]] bool inForceEverywhere(base::Revision revision, base::TimePoint now) const;
  /// Gateways with a lease that runs.
  [[nodiscard]] std::size_t size(base::TimePoint now) const;
  /// True when some lease had run out.
  bool dropExpired(base::TimePoint now);

  struct Lease {
    base::Incarnation incarnation;
    base::Revision acknowledged;
    base::TimePoint expiresAt{};
  };
  [[nodiscard]] const std::map<base::NodeId, Lease>& leases() const { return leases_; }

 private:
  /// A lease's length on this controller's clock, lengthened by the worst drift.
  [[nodiscard]] base::Duration maxDuration() const;

  const ServingLeaseSettings settings_;
  std::map<base::NodeId, Lease> leases_;
  base::TimePoint earlier_leases_end_{};
};

}  // namespace tackpick::control
