/// \file
/// The ledger role: a replica of one ledger group, which also watches that lease holders live.
#pragma once

#include <map>

#include "consensus/replica.h"
#include "ledger/ledger_state.h"

namespace tackpick::ledger {

/// Knobs of a Ledger.
struct LedgerSettings {
  consensus::ReplicaSettings replica;
  LedgerLimits limits;
  /// A gateway unresponsive for this long loses its samples. Safe at any value, because the first
  /// commit wins; too short a value runs samples twice.
  base::Duration gatewayTimeout = base::seconds(3);
};

/// Deterministic; owned by one thread.
class Ledger {
 public:
  Ledger(base::NodeId self, base::GroupId group, LedgerSettings settings, consensus::LogStore& log,
         base::Random& random, base::TimePoint now);

  void handle(base::NodeId from, const transport::RaftEnvelope& message, base::TimePoint now);
  /// Clients send a LedgerOperation as payload; the leader adds its wall clock.
  void handle(base::NodeId from, const transport::CommandRequest& message, base::TimePoint now);
  void handle(base::NodeId from, const transport::MembershipRequest& message, base::TimePoint now);
  /// `wallSeconds` is the wall clock, used for retention only.
  void tick(base::TimePoint now, std::uint64_t wallSeconds);
  [[nodiscard]] transport::Outbox finish(base::TimePoint now);

  [[nodiscard]] const LedgerState& state() const { return state_; }
  [[nodiscard]] const consensus::Replica& replica() const { return replica_; }
  [[nodiscard]] consensus::Replica& replica() { return replica_; }

 private:
  void releaseSilentHolders(base::TimePoint now);

  const LedgerSettings settings_;
  LedgerState state_;
  consensus::Replica replica_;
  std::uint64_t wall_seconds_ = 0;
  /// When each gateway run was last heard, while leading.
  std::map<SampleHolder, base::TimePoint> last_heard_;
  base::TimePoint checked_at_{};
};

}  // namespace tackpick::ledger
