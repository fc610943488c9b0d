/// \file
/// What the leaders of both replication groups have in common: answers to calls, commands proposed
/// on behalf of callers, repair of the group's membership.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "cluster/group_repair.h"
#include "consensus/replica.h"

namespace tackpick::cluster {

/// Who made a call, so that it can be answered.
struct ServiceCaller {
  base::NodeId node;
  base::CallId call;

  auto operator<=>(const ServiceCaller&) const = default;
};

/// Answers calls to a group at one of its replicas. Deterministic; owned by one thread.
class GroupService {
 public:
  GroupService(base::NodeId self, consensus::Replica& replica) : self_(self), replica_(replica) {}

  void reply(const ServiceCaller& caller, base::Bytes payload);
  /// Refuses a call and names the leader where it is another.
  void refuse(const ServiceCaller& caller, transport::CommandStatus status);
  /// Answers `payload` once the command is applied, or refuses when it cannot be. A call that is
  /// repeated while its command is under way is not proposed again.
  void proposeFor(const ServiceCaller& caller, base::Bytes command, const base::Bytes& payload,
                  base::TimePoint now);
  /// Proposes a command that nobody waits for.
  void propose(base::Bytes command, base::TimePoint now);
  /// Begins the next change of membership, when one is due and none is under way.
  void repair(const std::vector<GroupNode>& nodes, const GroupRepairSettings& settings,
              base::TimePoint now);
  /// As this leader last judged its group; nothing before the first time.
  [[nodiscard]] const std::optional<GroupHealth>& health() const { return m_health; }
  /// Forgets what belongs to a term that is over.
  void endTerm() { m_health.reset(); }
  /// Answers to send.
  [[nodiscard]] transport::Outbox& outbox() { return outbox_; }

 private:
  const base::NodeId self_;
  consensus::Replica& replica_;
  transport::Outbox outbox_;
  std::set<ServiceCaller> under_way_;
  std::optional<GroupHealth> m_health;
};

}  // namespace tackpick::cluster
