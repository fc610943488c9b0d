/// \file
/// Functions shared by the services of both replication groups: responses to calls, commands
/// proposed for callers, repair of the membership.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "cluster/group_repair.h"
#include "consensus/replica.h"

namespace tackpick::cluster {

/// Sender and id of a call.
struct ServiceCaller {
  base::NodeId node;
  base::CallId call;

  auto operator<=>(const ServiceCaller&) const = default;
};

/// Answers calls to a group at one of its replicas. Deterministic; owned by one thread.
class GroupService {
 public:
  GroupService(base::NodeId self, consensus::Replica& replica) : self_(self), replica_(replica) {}

  /// Sends a successful response.
  void reply(const ServiceCaller& caller, base::Bytes payload);
  /// Rejects a call with `status`. The response names the leader if it is another node.
  void reject(const ServiceCaller& caller, transport::CommandStatus status);
  /// Proposes a command and replies with `payload` once it is applied, or rejects the call if
  /// this replica is not the leader or the outcome is unknown. A repeated call is not proposed
  /// again while its command is pending.
  void proposeFor(const ServiceCaller& caller, base::Bytes command, const base::Bytes& payload,
                  base::TimePoint now);
  /// Proposes a command without a response.
  void propose(base::Bytes command, base::TimePoint now);
  /// Starts the next membership change, if one is needed and none is pending.
  void repairMembership(const std::vector<GroupNode>& nodes, const GroupRepairSettings& settings,
                        base::TimePoint now);
  /// Returns the health of the group at the last call of repairMembership() in this term,
  /// std::nullopt before the first call.
  [[nodiscard]] const std::optional<GroupHealth>& health() const { return m_health; }
  /// Must be called when this replica loses leadership.
  void endTerm() { m_health.reset(); }
  /// Responses to be sent.
  [[nodiscard]] transport::Outbox& outbox() { return outbox_; }

 private:
  const base::NodeId self_;
  consensus::Replica& replica_;
  transport::Outbox outbox_;
  std::set<ServiceCaller> m_inFlight;  ///< calls whose command is pending
  std::optional<GroupHealth> m_health;
};

}  // namespace tackpick::cluster
