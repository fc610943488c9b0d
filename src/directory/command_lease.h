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
  /// Duration of a lease: minimum time between the last command of one holder and the first command
  /// of the next holder if the two alternate.
  base::Duration duration = base::milliseconds(3100);
  /// Maximum time from the end of a leader's lease until its last command arrives. A command is
  /// sent only during the lease, so this is the time for which the network may deliver its bytes.
  base::Duration maxTransitTime = base::milliseconds(700);
  /// Whether engines reject commands with a fence lower than the highest that they have seen. If
  /// so, delayed commands of a leader that was replaced before this process started cannot override
  /// commands of this process.
  bool enginesEnforceFences = false;
};

/// Prevents controllers from alternating as senders of load commands. A leader writes a claim to
/// the log before it sends commands. After a claim of another holder, a new leader waits until
/// commands of that holder are no longer in transit. If the new leader itself sent commands within
/// the lease duration before that claim, it also waits until the other holder's lease has expired.
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
  /// wait. Applies to calls that may take effect long after they were sent.
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
  std::optional<LeaseClaim> m_ownClaim;  ///< latest claim with the node number of m_self
};

}  // namespace tackpick::directory
