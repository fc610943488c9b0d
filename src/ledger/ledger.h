/// \file
/// Ledger role: a replica of one ledger group.
#pragma once

#include <map>

#include "consensus/replica.h"
#include "ledger/ledger_state.h"

namespace tackpick::ledger {

/// Settings of Ledger.
struct LedgerSettings {
  consensus::ReplicaSettings replica;
  LedgerStateSettings state;
  /// Time without contact after which a gateway loses its leases. A short timeout may run samples
  /// twice, but never delivers one twice, because the first commit wins.
  base::Duration gatewayTimeout = base::seconds(3);
};

/// Replica of a ledger group. The leader also releases the leases of unresponsive gateways.
/// Deterministic; owned by one thread.
class Ledger {
 public:
  Ledger(base::NodeId self, base::GroupId group, LedgerSettings settings, consensus::LogStore& log,
         base::Random& random, base::TimePoint now);

  void handle(base::NodeId from, const transport::RaftEnvelope& message, base::TimePoint now);
  /// Handles a command or query of a client. The payload of a command is a LedgerOperation, to
  /// which the wall clock is added.
  void handle(base::NodeId from, const transport::CommandRequest& message, base::TimePoint now);
  void handle(base::NodeId from, const transport::MembershipRequest& message, base::TimePoint now);
  /// `wallClockSeconds` is used for retention only.
  void tick(base::TimePoint now, std::uint64_t wallClockSeconds);
  /// Ends an iteration of the event loop and returns the messages to send.
  [[nodiscard]] transport::Outbox finish(base::TimePoint now);

  [[nodiscard]] const LedgerState& state() const { return state_; }
  [[nodiscard]] const consensus::Replica& replica() const { return replica_; }
  [[nodiscard]] consensus::Replica& replica() { return replica_; }

 private:
  void releaseTimedOutHolders(base::TimePoint now);

  const LedgerSettings settings_;
  LedgerState state_;
  consensus::Replica replica_;
  std::uint64_t m_wallClockSeconds = 0;
  /// Time of the last contact with each gateway run; cleared while not leading.
  std::map<LeaseHolder, base::TimePoint> m_lastContactAt;
  base::TimePoint m_lastHolderCheckAt{};
};

}  // namespace tackpick::ledger
