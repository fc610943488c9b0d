/// \file
/// Decides the next change of a replication group's membership, so that a group repairs itself.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "base/identifiers.h"
#include "base/time.h"
#include "consensus/raft_types.h"

namespace tackpick::cluster {

/// A node that could belong to the group, as its leader hears it.
struct GroupNode {
  base::NodeId node;
  base::Duration silence{0};
  bool retiring = false;  ///< to be emptied
};

/// Knobs of nextMembershipChange().
struct GroupRepairSettings {
  std::size_t targetSize = 3;  ///< voters wanted
  /// A member unresponsive for longer is replaced when another node can take its place.
  base::Duration heartbeatTimeout = base::milliseconds(2500);
};

/// How much of a group stands against what it must bear.
struct GroupHealth {
  std::size_t voters = 0;
  std::size_t heard = 0;   ///< voters that are sound
  std::size_t wanted = 0;  ///< sound voters that the losses to be borne need

  bool operator==(const GroupHealth&) const = default;
  [[nodiscard]] bool isAtTargetSize() const { return heard >= wanted; }
};

/// As judged by what is known of the nodes.
[[nodiscard]] GroupHealth judgeGroup(const consensus::Membership& membership,
                                     const std::vector<GroupNode>& nodes,
                                     const GroupRepairSettings& settings);

struct MembershipChange {
  base::NodeId node;
  bool remove = false;

  bool operator==(const MembershipChange&) const = default;
};

/// The next change, one at a time; nothing when the group is as it should be. In this order:
/// 1. A member whose address another instance uses has lost its disk and can never return: it is
///    removed. Since it will never vote again this cannot make a quorum harder to reach.
/// 2. An unresponsive voter of an even number is removed, whatever size is wanted: as many losses
/// are
///    borne without it, by a smaller quorum. A group on fewer machines than `targetSize` would
///    otherwise keep each lost voter, until fewer live than the quorum.
/// 3. When fewer than `targetSize` members are sound, a node that is heard is added as a learner.
/// 4. Members that are retiring or unresponsive are removed once enough sound voters remain.
/// 5. A voter too many, left when an unresponsive member came back after another took its place, is
///    removed; never the leader `self`.
[[nodiscard]] std::optional<MembershipChange> nextMembershipChange(
    base::NodeId self, const consensus::Membership& membership, const std::vector<GroupNode>& nodes,
    const GroupRepairSettings& settings);

/// True when a node that is heard could still join, and is wanted.
[[nodiscard]] bool canAddMember(const consensus::Membership& membership,
                                const std::vector<GroupNode>& nodes,
                                const GroupRepairSettings& settings);

}  // namespace tackpick::cluster
