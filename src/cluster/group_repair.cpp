#include "cluster/group_repair.h"

#include <algorithm>

namespace tackpick::cluster {
namespace {

using consensus::Membership;

const GroupNode* findNode(const std::vector<GroupNode>& nodes, base::NodeId id) {
  const auto found = std::find_if(nodes.begin(), nodes.end(),
                                  [&](const GroupNode& node) { return node.node == id; });
  return found == nodes.end() ? nullptr : &*found;
}

std::set<base::NodeId> allMembers(const Membership& membership) {
  std::set<base::NodeId> members = membership.voters;
  members.insert(membership.learners.begin(), membership.learners.end());
  return members;
}

/// Whether another instance at the member's address is responsive and was seen more recently than
/// the member.
bool isReplaced(base::NodeId member, const std::vector<GroupNode>& nodes,
                const GroupRepairSettings& settings) {
  const GroupNode* memberNode = findNode(nodes, member);
  return std::any_of(nodes.begin(), nodes.end(), [&](const GroupNode& other) {
    const bool sameAddress = base::nodeNumber(other.node) == base::nodeNumber(member);
    return sameAddress && other.node != member &&
           other.sinceHeartbeat < settings.heartbeatTimeout &&
           (memberNode == nullptr || other.sinceHeartbeat < memberNode->sinceHeartbeat);
  });
}

bool isHealthy(base::NodeId member, const std::vector<GroupNode>& nodes,
               const GroupRepairSettings& settings) {
  const GroupNode* memberNode = findNode(nodes, member);
  return memberNode != nullptr && !memberNode->retiring &&
         memberNode->sinceHeartbeat < settings.heartbeatTimeout;
}

std::optional<base::NodeId> bestCandidate(const std::set<base::NodeId>& members,
                                          const std::vector<GroupNode>& nodes,
                                          const GroupRepairSettings& settings) {
  const GroupNode* best = nullptr;
  for (const GroupNode& node : nodes) {
    const bool usable = !members.contains(node.node) && !node.retiring &&
                        node.sinceHeartbeat < settings.heartbeatTimeout;
    if (usable && (best == nullptr || node.sinceHeartbeat < best->sinceHeartbeat)) {
      best = &node;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->node);
}

bool isResponsive(base::NodeId member, const std::vector<GroupNode>& nodes,
                  const GroupRepairSettings& settings) {
  const GroupNode* memberNode = findNode(nodes, member);
  return memberNode != nullptr && memberNode->sinceHeartbeat < settings.heartbeatTimeout;
}

/// Returns an unresponsive voter that increases the quorum without tolerating more losses.
std::optional<base::NodeId> redundantVoter(base::NodeId self, const Membership& membership,
                                           const std::vector<GroupNode>& nodes,
                                           const GroupRepairSettings& settings) {
  // The state of the nodes is incomplete until it contains at least the leader itself.
  if (membership.voters.size() % 2 != 0 || !isResponsive(self, nodes, settings)) {
    return std::nullopt;
  }
  const auto unresponsive =
      std::find_if(membership.voters.begin(), membership.voters.end(),
                   [&](base::NodeId voter) { return !isResponsive(voter, nodes, settings); });
  return unresponsive == membership.voters.end() ? std::nullopt : std::optional(*unresponsive);
}

std::size_t countHealthyMembers(const Membership& membership, const std::vector<GroupNode>& nodes,
                                const GroupRepairSettings& settings) {
  const std::set<base::NodeId> members = allMembers(membership);
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [&](base::NodeId member) { return isHealthy(member, nodes, settings); }));
}

std::size_t countHealthyVoters(const Membership& membership, const std::vector<GroupNode>& nodes,
                               const GroupRepairSettings& settings) {
  return static_cast<std::size_t>(
      std::count_if(membership.voters.begin(), membership.voters.end(),
                    [&](base::NodeId voter) { return isHealthy(voter, nodes, settings); }));
}

}  // namespace

GroupHealth assessGroup(const Membership& membership, const std::vector<GroupNode>& nodes,
                        const GroupRepairSettings& settings) {
  return {membership.voters.size(), countHealthyVoters(membership, nodes, settings),
          settings.targetSize};
}

bool canAddMember(const Membership& membership, const std::vector<GroupNode>& nodes,
                  const GroupRepairSettings& settings) {
  return countHealthyMembers(membership, nodes, settings) < settings.targetSize &&
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
  if (const auto redundant = redundantVoter(self, membership, nodes, settings)) {
    return MembershipChange{*redundant, true};
  }
  if (canAddMember(membership, nodes, settings)) {
    return MembershipChange{*bestCandidate(members, nodes, settings), false};
  }
  const auto isHealthyMember = [&](base::NodeId member) {
    return isHealthy(member, nodes, settings);
  };
  const std::size_t healthyVoters = countHealthyVoters(membership, nodes, settings);
  if (healthyVoters < settings.targetSize) {
    return std::nullopt;
  }
  for (const base::NodeId member : members) {
    if (!isHealthyMember(member)) {
      return MembershipChange{member, true};
    }
  }
  if (healthyVoters == settings.targetSize) {
    return std::nullopt;
  }
  const auto surplus = std::find_if(membership.voters.rbegin(), membership.voters.rend(),
                                    [&](base::NodeId voter) { return voter != self; });
  return MembershipChange{*surplus, true};
}

}  // namespace tackpick::cluster
