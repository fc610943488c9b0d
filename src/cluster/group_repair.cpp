#include "cluster/group_repair.h"

#include <algorithm>

namespace tackpick::cluster {
namespace {

using consensus::Membership;

const GroupNode* findNode(const std::vector<GroupNode>& nodes, base::NodeId wanted) {
  const auto found = std::find_if(nodes.begin(), nodes.end(),
                                  [&](const GroupNode& node) { return node.node == wanted; });
  return found == nodes.end() ? nullptr : &*found;
}

std::set<base::NodeId> allMembers(const Membership& membership) {
  std::set<base::NodeId> members = membership.voters;
  members.insert(membership.learners.begin(), membership.learners.end());
  return members;
}

/// True when another instance is heard at that member's address, more lately than the member.
bool isReplaced(base::NodeId member, const std::vector<GroupNode>& nodes,
                const GroupRepairSettings& settings) {
  const GroupNode* known = findNode(nodes, member);
  return std::any_of(nodes.begin(), nodes.end(), [&](const GroupNode& other) {
    const bool sameAddress = base::nodeNumber(other.node) == base::nodeNumber(member);
    return sameAddress && other.node != member && other.silence < settings.heartbeatTimeout &&
           (known == nullptr || other.silence < known->silence);
  });
}

bool isSound(base::NodeId member, const std::vector<GroupNode>& nodes,
             const GroupRepairSettings& settings) {
  const GroupNode* known = findNode(nodes, member);
  return known != nullptr && !known->retiring && known->silence < settings.heartbeatTimeout;
}

std::optional<base::NodeId> bestCandidate(const std::set<base::NodeId>& members,
                                          const std::vector<GroupNode>& nodes,
                                          const GroupRepairSettings& settings) {
  const GroupNode* best = nullptr;
  for (const GroupNode& node : nodes) {
    const bool usable =
        !members.contains(node.node) && !node.retiring && node.silence < settings.heartbeatTimeout;
    if (usable && (best == nullptr || node.silence < best->silence)) {
      best = &node;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->node);
}

bool isHeard(base::NodeId member, const std::vector<GroupNode>& nodes,
             const GroupRepairSettings& settings) {
  const GroupNode* known = findNode(nodes, member);
  return known != nullptr && known->silence < settings.heartbeatTimeout;
}

/// An unresponsive voter that only raises the quorum.
std::optional<base::NodeId> uselessVoter(base::NodeId self, const Membership& membership,
                                         const std::vector<GroupNode>& nodes,
                                         const GroupRepairSettings& settings) {
  // Where not even the leader is heard, the picture of the nodes is not there yet.
  if (membership.voters.size() % 2 != 0 || !isHeard(self, nodes, settings)) {
    return std::nullopt;
  }
  const auto unresponsive =
      std::find_if(membership.voters.begin(), membership.voters.end(),
                   [&](base::NodeId voter) { return !isHeard(voter, nodes, settings); });
  return unresponsive == membership.voters.end() ? std::nullopt : std::optional(*unresponsive);
}

std::size_t countSoundMembers(const Membership& membership, const std::vector<GroupNode>& nodes,
                              const GroupRepairSettings& settings) {
  const std::set<base::NodeId> members = allMembers(membership);
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [&](base::NodeId member) { return isSound(member, nodes, settings); }));
}

std::size_t countSoundVoters(const Membership& membership, const std::vector<GroupNode>& nodes,
                             const GroupRepairSettings& settings) {
  return static_cast<std::size_t>(
      std::count_if(membership.voters.begin(), membership.voters.end(),
                    [&](base::NodeId voter) { return isSound(voter, nodes, settings); }));
}

}  // namespace

GroupHealth judgeGroup(const Membership& membership, const std::vector<GroupNode>& nodes,
                       const GroupRepairSettings& settings) {
  return {membership.voters.size(), countSoundVoters(membership, nodes, settings),
          settings.targetSize};
}

bool canAddMember(const Membership& membership, const std::vector<GroupNode>& nodes,
                  const GroupRepairSettings& settings) {
  return countSoundMembers(membership, nodes, settings) < settings.targetSize &&
         bestCandidate(allMembers(membership), nodes, settings).has_value();
}

std::optional<MembershipChange> nextMembershipChange(base::NodeId self,
                                                     const Membership& membership,
                                                     const std::vector<GroupNode>& nodes,
                                                     const GroupRepairSettings& settings) {
  const std::set<base::NodeId> members = allMembers(membership);
  for (const base::NodeId member : members) {
    if (isReplaced(member, nodes, settings)) {
      return MembershipChange{member, true};
    }
  }
  if (const auto useless = uselessVoter(self, membership, nodes, settings)) {
    return MembershipChange{*useless, true};
  }
  if (canAddMember(membership, nodes, settings)) {
    return MembershipChange{*bestCandidate(members, nodes, settings), false};
  }
  const auto sound = [&](base::NodeId member) { return isSound(member, nodes, settings); };
  const std::size_t soundVoters = countSoundVoters(membership, nodes, settings);
  if (soundVoters < settings.targetSize) {
    return std::nullopt;
  }
  for (const base::NodeId member : members) {
    if (!sound(member)) {
      return MembershipChange{member, true};
    }
  }
  if (soundVoters == settings.targetSize) {
    return std::nullopt;
  }
  const auto spare = std::find_if(membership.voters.rbegin(), membership.voters.rend(),
                                  [&](base::NodeId voter) { return voter != self; });
  return MembershipChange{*spare, true};
}

}  // namespace tackpick::cluster
