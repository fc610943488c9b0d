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

constexpr base::Duration kHeard = base::milliseconds(100);
constexpr base::Duration kUnresponsive = base::seconds(4);

}  // namespace

Test(group_repair, sound_group_stays_as_it_is) {
  const auto group = voters({node(1), node(2), node(3)});
  const auto change = cluster::nextMembershipChange(
      node(1), group, {{node(1), kHeard}, {node(2), kHeard}, {node(3), kHeard}, {node(4), kHeard}},
      {});
  cr_assert_not(change.has_value());
}

Test(group_repair, wiped_member_is_removed_and_its_successor_added) {
  auto group = voters({node(1), node(2), node(3)});
  const std::vector<cluster::GroupNode> nodes = {
      {node(1), kHeard}, {node(2), kHeard}, {node(3), base::seconds(1)}, {node(3, 77), kHeard}};
  auto change = cluster::nextMembershipChange(node(1), group, nodes, {});
  cr_assert(change == (cluster::MembershipChange{node(3), true}));
  group.voters.erase(node(3));
  change = cluster::nextMembershipChange(node(1), group, nodes, {});
  cr_assert(change == (cluster::MembershipChange{node(3, 77), false}));
}

// Two instances at one address: a late word from the earlier one must not oust the later one.
Test(group_repair, successor_is_not_taken_for_replaced) {
  const auto group = voters({node(1), node(2), node(3, 77)});
  const auto change = cluster::nextMembershipChange(
      node(1), group,
      {{node(1), kHeard}, {node(2), kHeard}, {node(3), base::seconds(1)}, {node(3, 77), kHeard}},
      {});
  cr_assert_not(change.has_value());
}

Test(group_repair, silent_member_stays_until_another_votes_in_its_place) {
  auto group = voters({node(1), node(2), node(3)});
  const std::vector<cluster::GroupNode> without = {
      {node(1), kHeard}, {node(2), kHeard}, {node(3), kUnresponsive}};
  cr_assert_not(cluster::nextMembershipChange(node(1), group, without, {}).has_value());
  auto with = without;
  with.push_back({node(4), kHeard});
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
  const std::vector<cluster::GroupNode> nodes = {
      {node(1), kHeard}, {node(2), kHeard}, {node(3), kHeard, true}, {node(4), kHeard}};
  cr_assert(cluster::nextMembershipChange(node(1), group, nodes, {}) ==
            (cluster::MembershipChange{node(4), false}));
  group.voters.insert(node(4));
  cr_assert(cluster::nextMembershipChange(node(1), group, nodes, {}) ==
            (cluster::MembershipChange{node(3), true}));
}

Test(group_repair, retiring_node_is_never_added) {
  const auto group = voters({node(1), node(2)});
  const auto change = cluster::nextMembershipChange(
      node(1), group, {{node(1), kHeard}, {node(2), kHeard}, {node(3), kHeard, true}}, {});
  cr_assert_not(change.has_value());
}

// Found by the simulated cluster, seed 81: the unresponsive member came back while its successor
// was made a voter, and the group stayed at four.
Test(group_repair, voter_too_many_is_removed_but_not_the_leader) {
  const auto group = voters({node(1), node(2), node(3), node(4)});
  const std::vector<cluster::GroupNode> nodes = {
      {node(1), kHeard}, {node(2), kHeard}, {node(3), kHeard}, {node(4), kHeard}};
  cr_assert(cluster::nextMembershipChange(node(1), group, nodes, {}) ==
            (cluster::MembershipChange{node(4), true}));
  cr_assert(cluster::nextMembershipChange(node(4), group, nodes, {}) ==
            (cluster::MembershipChange{node(3), true}));
}

// With an even number of voters an unresponsive one only raises the quorum: without it as many
// losses are borne. It must not wait for a size that the group may never have.
Test(group_repair, silent_voter_of_an_even_group_goes_whatever_the_size_wanted) {
  const cluster::GroupRepairSettings five{5, base::milliseconds(2500)};
  auto group = voters({node(1), node(2), node(3)});
  const std::vector<cluster::GroupNode> nodes = {
      {node(1), kHeard}, {node(2), kHeard}, {node(3), kUnresponsive}, {node(4), kHeard}};
  cr_assert(cluster::nextMembershipChange(node(1), group, nodes, five) ==
            (cluster::MembershipChange{node(4), false}));
  group.voters.insert(node(4));
  cr_assert(cluster::nextMembershipChange(node(1), group, nodes, five) ==
            (cluster::MembershipChange{node(3), true}));
}

// Of three, an unresponsive one may come back: without it not one more loss is borne, with it
// perhaps.
Test(group_repair, silent_voter_of_an_odd_group_stays_until_another_votes) {
  const cluster::GroupRepairSettings five{5, base::milliseconds(2500)};
  const auto group = voters({node(1), node(2), node(3)});
  cr_assert_not(
      cluster::nextMembershipChange(
          node(1), group, {{node(1), kHeard}, {node(2), kHeard}, {node(3), kUnresponsive}}, five)
          .has_value());
}

Test(group_repair, nothing_is_concluded_from_silence_while_the_leader_itself_is_not_known) {
  const cluster::GroupRepairSettings five{5, base::milliseconds(2500)};
  const auto group = voters({node(1), node(2), node(3), node(4)});
  cr_assert_not(cluster::nextMembershipChange(node(1), group, {}, five).has_value());
}

Test(group_repair, group_is_judged_against_the_losses_it_must_bear) {
  const cluster::GroupRepairSettings five{5, base::milliseconds(2500)};
  const std::vector<cluster::GroupNode> nodes = {
      {node(1), kHeard}, {node(2), kHeard}, {node(3), kUnresponsive}};
  const auto group = voters({node(1), node(2), node(3)});
  const cluster::GroupHealth health = cluster::judgeGroup(group, nodes, five);
  cr_assert(health == (cluster::GroupHealth{3, 2, 5}));
  cr_assert_not(health.isAtTargetSize());
  cr_assert(cluster::judgeGroup(group, nodes, {2, base::milliseconds(2500)}).isAtTargetSize());
  cr_assert_not(cluster::canAddMember(group, nodes, five), "nobody else is heard");
}
