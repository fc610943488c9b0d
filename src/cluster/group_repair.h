/// \file
/// Decides the membership changes with which a replication group replaces lost members.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"
#include "consensus/raft_types.h"

namespace tackpick::cluster {

/// A node that is or could become a member, as seen by the leader of the group.
struct GroupNode {
  base::NodeId node;
  base::Duration sinceHeartbeat{0};  ///< time since the last heartbeat
  bool retiring = false;             ///< must leave the group
};

/// Settings of nextMembershipChange().
struct GroupRepairSettings {
  std::size_t targetSize = 3;  ///< target number of voters
  /// Time without heartbeats after which a member is replaced if another node is available.
  base::Duration heartbeatTimeout = base::milliseconds(2500);
};

/// Voters of a group compared with the number that the tolerated losses require.
struct GroupHealth {
  std::size_t totalVoters = 0;
  std::size_t healthyVoters = 0;  ///< responsive and not retiring
  std::size_t targetVoters = 0;   ///< healthy voters required by the tolerated losses

  bool operator==(const GroupHealth&) const = default;
  /// Whether the group has enough healthy voters.
  [[nodiscard]] bool isAtTargetSize() const { return healthyVoters >= targetVoters; }
};

/// Returns the health of a group, given the state of all nodes.
[[nodiscard]] GroupHealth assessGroup(const consensus::Membership& membership,
                                      const std::vector<GroupNode>& nodes,
                                      const GroupRepairSettings& settings);

/// Adds `node` as a learner, or removes it.
struct MembershipChange {
  base::NodeId node;
  bool remove = false;

  bool operator==(const MembershipChange&) const = default;
};

/// Returns the next change, std::nullopt if none is needed. The first rule that applies decides:
/// 1. A member whose address is used by another instance has lost its disk and cannot return. It is
///    removed; as it never votes again, this cannot make a quorum harder to reach.
/// 2. If the number of voters is even, an unresponsive voter is removed regardless of `targetSize`:
///    the group tolerates as many losses without it, with a smaller quorum. Without this rule, a
///    group on fewer machines than `targetSize` would keep each lost voter until it has no quorum.
/// 3. If fewer than `targetSize` members are healthy, a responsive node is added as a learner.
/// 4. Retiring or unresponsive members are removed once enough healthy voters remain.
/// 5. A surplus voter other than the leader `self` is removed. A surplus arises when an
///    unresponsive member returns after another one was added in its place.
[[nodiscard]] std::optional<MembershipChange> nextMembershipChange(
    base::NodeId self, const consensus::Membership& membership, const std::vector<GroupNode>& nodes,
    const GroupRepairSettings& settings);

/// Whether the group needs another member and a responsive node is available.
[[nodiscard]] bool canAddMember(const consensus::Membership& membership,
                                const std::vector<GroupNode>& nodes,
                                const GroupRepairSettings& settings);

}  // namespace tackpick::cluster
