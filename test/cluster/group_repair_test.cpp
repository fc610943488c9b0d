#include "cluster/group_repair.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace cluster = tackpick::cluster;
namespace consensus = tackpick::consensus;

namespace {

constexpr base::NodeId node(std::uint32_t number, std::uint32_t instance = 1) {
  return base::makeNodeId(number, instance);
}

consensus::Membership voters(std::set<base::NodeId> nodes) {
  consensus::Membership membership;
  membership.voters = std::move(nodes);
  return membership;
}

constexpr base::Duration kResponsive = base::milliseconds(100);
constexpr base::Duration kUnresponsive = base::seconds(4);

}  // namespace

Test(group_repair, healthy_group_is_unchanged) {
  const auto group = voters({node(1), node(2), node(3)});
  const auto change = cluster::nextMembershipChange(node(1), group,
                                                    {{node(1), kResponsive},
                                                     {node(2), kResponsive},
                                                     {node(3), kResponsive},
                                                     {node(4), kResponsive}},
                                                    {});
  cr_assert_not(change.has_value());
}

Test(group_repair, wiped_member_is_removed_and_its_successor_added) {
  auto group = voters({node(1), node(2), node(3)});
  const std::vector<cluster::GroupNode> nodes = {{node(1), kResponsive},
                                                 {node(2), kResponsive},
                                                 {node(3), base::seconds(1)},
                                                 {node(3, 77), kResponsive}};
  auto change = cluster::nextMembershipChange(node(1), group, nodes, {});
  cr_assert(change == (cluster::MembershipChange{node(3), true}));
  group.voters.erase(node(3));
  change = cluster::nextMembershipChange(node(1), group, nodes, {});
  cr_assert(change == (cluster::MembershipChange{node(3, 77), false}));
}

// Guards against the removal of the later of two instances at one address because a heartbeat of
// the earlier instance arrives late.
Test(group_repair, successor_does_not_count_as_replaced) {
  const auto group = voters({node(1), node(2), node(3, 77)});
  const auto change = cluster::nextMembershipChange(node(1), group,
                                                    {{node(1), kResponsive},
                                                     {node(2), kResponsive},
                                                     {node(3), base::seconds(1)},
                                                     {node(3, 77), kResponsive}},
                                                    {});
  cr_assert_not(change.has_value());
}

Test(group_repair, unresponsive_member_stays_until_its_successor_votes) {
  auto group = voters({node(1), node(2), node(3)});
  const std::vector<cluster::GroupNode> without = {
      {node(1), kResponsive}, {node(2), kResponsive}, {node(3), kUnresponsive}};
  cr_assert_not(cluster::nextMembershipChange(node(1), group, without, {}).has_value());
  auto with = without;
  with.push_back({node(4), kResponsive});
  cr_assert(cluster::nextMembershipChange(node(1), group, with, {}) ==
            (cluster::MembershipChange{node(4), false}));
  group.learners.insert(node(4));
  cr_assert_not(cluster::nextMembershipChange(node(1), group, with, {}).has_value());
  group.learners.clear();
  group.voters.insert(node(4));
  cr_assert(cluster::nextMembershipChange(node(1), group, with, {}) ==
            (cluster::MembershipChange{node(3), true}));
}

Test(group_repair, retiring_member_leaves_after_its_successor_votes) {
  auto group = voters({node(1), node(2), node(3)});
  const std::vector<cluster::GroupNode> nodes = {{node(1), kResponsive},
                                                 {node(2), kResponsive},
                                                 {node(3), kResponsive, true},
                                                 {node(4), kResponsive}};
  cr_assert(cluster::nextMembershipChange(node(1), group, nodes, {}) ==
            (cluster::MembershipChange{node(4), false}));
  group.voters.insert(node(4));
  cr_assert(cluster::nextMembershipChange(node(1), group, nodes, {}) ==
            (cluster::MembershipChange{node(3), true}));
}

Test(group_repair, retiring_node_is_never_added) {
  const auto group = voters({node(1), node(2)});
  const auto change = cluster::nextMembershipChange(
      node(1), group,
      {{node(1), kResponsive}, {node(2), kResponsive}, {node(3), kResponsive, true}}, {});
  cr_assert_not(change.has_value());
}

// Guards against a group that stays too large after an unresponsive member returned while its
// successor was promoted.
Test(group_repair, surplus_voter_is_removed_but_not_the_leader) {
  const auto group = voters({node(1), node(2), node(3), node(4)});
  const std::vector<cluster::GroupNode> nodes = {{node(1), kResponsive},
                                                 {node(2), kResponsive},
                                                 {node(3), kResponsive},
                                                 {node(4), kResponsive}};
  cr_assert(cluster::nextMembershipChange(node(1), group, nodes, {}) ==
            (cluster::MembershipChange{node(4), true}));
  cr_assert(cluster::nextMembershipChange(node(4), group, nodes, {}) ==
            (cluster::MembershipChange{node(3), true}));
}

// If the number of voters is even, an unresponsive voter only increases the quorum. Its removal
// must not wait until the group has its target size, which it may never reach.
Test(group_repair, unresponsive_voter_of_an_even_group_is_removed_below_the_target_size) {
  const cluster::GroupRepairSettings settings{5, base::milliseconds(2500)};
  auto group = voters({node(1), node(2), node(3)});
  const std::vector<cluster::GroupNode> nodes = {{node(1), kResponsive},
                                                 {node(2), kResponsive},
                                                 {node(3), kUnresponsive},
                                                 {node(4), kResponsive}};
  cr_assert(cluster::nextMembershipChange(node(1), group, nodes, settings) ==
            (cluster::MembershipChange{node(4), false}));
  group.voters.insert(node(4));
  cr_assert(cluster::nextMembershipChange(node(1), group, nodes, settings) ==
            (cluster::MembershipChange{node(3), true}));
}

// An unresponsive voter in a group of three must not be removed: it may return, and a group of two
// voters tolerates no loss.
Test(group_repair, unresponsive_voter_of_an_odd_group_stays_until_another_votes) {
  const cluster::GroupRepairSettings settings{5, base::milliseconds(2500)};
  const auto group = voters({node(1), node(2), node(3)});
  cr_assert_not(cluster::nextMembershipChange(
                    node(1), group,
                    {{node(1), kResponsive}, {node(2), kResponsive}, {node(3), kUnresponsive}},
                    settings)
                    .has_value());
}

Test(group_repair, no_voter_counts_as_unresponsive_while_the_leader_itself_is_unknown) {
  const cluster::GroupRepairSettings settings{5, base::milliseconds(2500)};
  const auto group = voters({node(1), node(2), node(3), node(4)});
  cr_assert_not(cluster::nextMembershipChange(node(1), group, {}, settings).has_value());
}

Test(group_repair, group_is_assessed_against_its_target_size) {
  const cluster::GroupRepairSettings settings{5, base::milliseconds(2500)};
  const std::vector<cluster::GroupNode> nodes = {
      {node(1), kResponsive}, {node(2), kResponsive}, {node(3), kUnresponsive}};
  const auto group = voters({node(1), node(2), node(3)});
  const cluster::GroupHealth health = cluster::assessGroup(group, nodes, settings);
  cr_assert(health == (cluster::GroupHealth{3, 2, 5}));
  cr_assert_not(health.isAtTargetSize());
  cr_assert(cluster::assessGroup(group, nodes, {2, base::milliseconds(2500)}).isAtTargetSize());
  cr_assert_not(cluster::canAddMember(group, nodes, settings), "no other node is responsive");
}
