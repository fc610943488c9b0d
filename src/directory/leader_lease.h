/// \file
/// Interface to the lease of the controllers' leader.
#pragma once

#include <optional>

#include "base/time.h"
#include "consensus/raft_types.h"

namespace tackpick::directory {

/// The lease during which no other controller can be the leader.
class LeaderLease {
 public:
  virtual ~LeaderLease() = default;
  /// Returns the term in which this process holds the lease at `now`; std::nullopt if it does not
  /// hold it.
  [[nodiscard]] virtual std::optional<consensus::Term> heldTerm(base::TimePoint now) const = 0;
};

}  // namespace tackpick::directory
