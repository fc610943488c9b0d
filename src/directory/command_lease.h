/// \file
/// Delays the first command of a new controller leader until commands of its predecessor have
/// arrived.
#pragma once

#include <optional>

#include "base/identifiers.h"
#include "base/time.h"
#include "consensus/raft_types.h"

namespace tackpick::directory {

/// Settings of CommandLease.
struct CommandLeaseSettings {
  /// Minimum time between the last command of one holder and the first of another when they would
  /// alternate.
  base::Duration duration = base::milliseconds(3100);
  /// Maximum time that a command of a former leader may be in transit: the timeout of an upstream
  /// connection attempt plus a margin.
  base::Duration maxTransitTime = base::milliseconds(700);
  /// Whether engines reject commands with a fence lower than the highest that they have seen. A
  /// leader that was replaced while this process was not running can then not override commands of
  /// this process.
  bool enginesEnforceFences = false;
};

/// Prevents controllers from alternating as senders of load commands. A leader writes a claim to
/// the log before it sends commands. If the claims show that this process, another one, and this
/// process again would send within the lease duration, the new leader waits for the rest of the
/// other holder's lease; otherwise it waits until commands of the former leader have arrived.
/// Deterministic; owned by one thread.
class CommandLease {
 public:
  /// `lastIndex`: last index of the log when this process started; claims up to it predate the
  /// process.
  CommandLease(base::NodeId self, CommandLeaseSettings settings, consensus::LogIndex lastIndex,
               base::TimePoint startedAt)
      : m_self(self), m_settings(settings), m_startIndex(lastIndex), m_startedAt(startedAt) {}

  /// Records the latest claim of a holder when its log entry has been applied.
  void onClaim(base::NodeId holder, consensus::LogIndex index, base::TimePoint now);
  /// Returns the time from which this process, leader since `leaderSince`, may send commands.
  [[nodiscard]] base::TimePoint earliestCommandTime(base::TimePoint leaderSince) const;
  /// Returns the end of another holder's lease, or a time in the past if this process need not
  /// wait. For calls that may take effect long after they were sent.
  [[nodiscard]] base::TimePoint leaseExpiry() const;

 private:
  struct LeaseClaim {
    base::NodeId holder;
    consensus::LogIndex index = 0;
    base::TimePoint claimedAt{};
  };

  [[nodiscard]] bool predatesProcess(const LeaseClaim& claim) const {
    return claim.index <= m_startIndex;
  }
  /// Returns the latest time at which commands of the claim were sent.
  [[nodiscard]] base::TimePoint latestCommandTime(const LeaseClaim& claim) const {
    return predatesProcess(claim) ? m_startedAt : claim.claimedAt;
  }
  /// Whether this process sent commands within the lease duration before the other holder, so that
  /// the two would alternate.
  [[nodiscard]] bool wouldAlternate(const LeaseClaim& other) const;

  const base::NodeId m_self;
  const CommandLeaseSettings m_settings;
  const consensus::LogIndex m_startIndex;
  const base::TimePoint m_startedAt;
  std::optional<LeaseClaim> m_latestClaim;
  std::optional<LeaseClaim> m_ownClaim;  ///< also claims of this machine before it lost its disk
};

}  // namespace tackpick::directory
