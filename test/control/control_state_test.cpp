#include "control/control_state.h"

#include <criterion/criterion.h>

#include "control/serving_leases.h"

namespace base = tackpick::base;
namespace control = tackpick::control;

namespace {

control::ChangeOutcome apply(control::ControlState& state, std::uint64_t index,
                             const control::ControlCommand& command) {
  return base::decode<control::ChangeOutcome>(state.apply(index, base::encode(command))).value();
}

control::ControlCommand set(const std::string& id, const std::string& path, std::int64_t priority,
                            std::optional<base::Revision> expected = std::nullopt) {
  control::NodeChange change;
  change.path = path;
  change.expectedRevision = expected;
  change.set[control::SettingKey::kPriority] = priority;
  return {id, control::ApplyChange{"test", false, {change}}};
}

}  // namespace

Test(control_state, values_are_inherited_unless_overridden) {
  control::ControlState state;
  apply(state, 1, set("", "t", 3));
  apply(state, 2, set("", "t/a", 7));
  control::NodeChange plain;
  plain.path = "t/b";
  apply(state, 3, {"", control::ApplyChange{"test", false, {plain}}});
  const auto key = control::SettingKey::kPriority;
  cr_assert_eq(state.settings().integer("t/a", key), 7);
  cr_assert_eq(state.settings().integer("t/b", key), 3);
  cr_assert_eq(state.settings().effective("t/b", key).source, "t");
}

Test(control_state, second_change_on_the_same_revision_conflicts) {
  control::ControlState state;
  const auto first = apply(state, 1, set("one", "t", 3, base::Revision{0}));
  cr_assert(first.status == control::ChangeStatus::kAccepted);
  const auto second = apply(state, 2, set("two", "t", 4, base::Revision{0}));
  cr_assert(second.status == control::ChangeStatus::kConflict);
  cr_assert_eq(second.conflicts.at(0).currentRevision.value, 1U);
}

Test(control_state, resend_gives_the_first_outcome_also_after_a_snapshot) {
  control::ControlState state;
  const auto first = apply(state, 1, set("id", "t", 3, base::Revision{0}));
  control::ControlState restored;
  restored.loadSnapshot(state.takeSnapshot());
  const auto again = apply(restored, 9, set("id", "t", 3, base::Revision{0}));
  cr_assert(again.status == control::ChangeStatus::kAccepted);
  cr_assert_eq(again.revision.value, first.revision.value);
  const auto reused = apply(restored, 10, set("id", "t", 4, base::Revision{1}));
  cr_assert(reused.status == control::ChangeStatus::kRequestIdReused);
}

Test(control_state, change_of_many_nodes_is_atomic_and_checked) {
  control::ControlState state;
  control::ControlCommand command = set("", "t", 3);
  control::NodeChange bad;
  bad.path = "t/a";
  bad.set[control::SettingKey::kPriority] = std::int64_t{-5};
  std::get<control::ApplyChange>(command.operation).changes.push_back(bad);
  const auto outcome = apply(state, 1, command);
  cr_assert(outcome.status == control::ChangeStatus::kInvalid);
  cr_assert_null(state.settings().find("t"), "no part of the change was applied");
}

Test(control_state, weights_versions_only_increase_and_draining_is_never_reset) {
  control::ControlState state;
  apply(state, 1, {"", control::PublishWeights{"m", {5}}});
  cr_assert(apply(state, 2, {"", control::PublishWeights{"m", {4}}}).status !=
            control::ChangeStatus::kAccepted);
  control::EngineRecord record;
  record.engine = {1};
  record.incarnation = {10};
  record.draining = true;
  apply(state, 3, {"", control::RegisterEngine{record}});
  record.draining = false;
  apply(state, 4, {"", control::RegisterEngine{record}});
  cr_assert(state.engines().at({1}).draining, "draining is never reset for an incarnation");
  record.incarnation = {11};
  apply(state, 5, {"", control::RegisterEngine{record}});
  cr_assert_not(state.engines().at({1}).draining, "a new incarnation is not draining");
}

Test(serving_leases, revision_is_applied_after_acknowledgements_or_expired_leases) {
  constexpr base::TimePoint kStart{base::seconds(1000)};
  control::ServingLeases leases({});
  leases.onBecameLeader(kStart);
  cr_assert_not(leases.isAppliedEverywhere({5}, kStart + base::seconds(1)),
                "leases of the predecessor may be valid");
  const base::TimePoint later = kStart + base::seconds(5);
  cr_assert(leases.isAppliedEverywhere({5}, later));
  leases.grant({1}, {1}, {4}, later);
  cr_assert_not(leases.isAppliedEverywhere({5}, later));
  leases.grant({1}, {1}, {5}, later);
  cr_assert(leases.isAppliedEverywhere({5}, later));
  cr_assert_not(leases.isAppliedEverywhere({6}, later + base::seconds(4)),
                "clock drift is included");
  cr_assert(leases.isAppliedEverywhere({6}, later + base::seconds(5)), "the lease has expired");
}
