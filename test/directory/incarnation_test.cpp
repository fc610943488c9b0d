/// Instances that start again under the name that they had.
#include "directory/incarnation.h"

#include <criterion/criterion.h>

#include "directory/directory_state.h"

namespace base = tackpick::base;
namespace directory = tackpick::directory;
using directory::Incarnation;

namespace {

const std::string kFirst = Incarnation{"e", 1000}.key();
const std::string kSecond = Incarnation{"e", 2000}.key();
const std::string kOther = Incarnation{"e!", 1500}.key();  // sorts between the two

/// The controllers' state, and what is applied to it in turn.
class Applied {
 public:
  void apply(const directory::DirectoryCommand& command) {
    state.apply(++m_index, base::encode(command));
  }
  void registers(const std::string& id, std::uint16_t port = 1, bool draining = false) {
    apply(directory::RegisterInstance{{id, "s", "10.0.0.9", port, "z", 4, draining}});
  }
  [[nodiscard]] bool has(const std::string& id) const { return state.instances().contains(id); }

  directory::DirectoryState state;

 private:
  std::uint64_t m_index = 0;
};

}  // namespace

Test(incarnation, keys_of_one_name_are_ordered_by_their_start) {
  cr_assert_lt(Incarnation({"e", 999}).key(), kFirst);
  cr_assert_lt(kFirst, kSecond);
  cr_assert(Incarnation::parse(kSecond) == (Incarnation{"e", 2000}));
  cr_assert(Incarnation::parse("e") == (Incarnation{"e", 0}));
  cr_assert_eq(directory::instanceName(kFirst), "e");
  cr_assert_eq(directory::instanceName("e"), "e");
}

Test(incarnation, newer_one_begins_with_nothing_of_the_earlier_one) {
  Applied applied;
  applied.registers(kFirst, 1, true);
  applied.apply(directory::RecordVersions{{{kFirst, {{"m", 7}}}}});
  applied.registers(kOther, 3);
  applied.registers(kSecond, 2);
  cr_assert_not(applied.has(kFirst));
  cr_assert(applied.has(kSecond) && applied.has(kOther));
  cr_assert_not(applied.state.instances().at(kSecond).draining, "the earlier one was draining");
  cr_assert_not(applied.state.heldVersions().contains(kSecond));
  cr_assert_not(applied.state.heldVersions().contains(kFirst));
}

Test(incarnation, earlier_one_that_comes_late_changes_nothing) {
  Applied applied;
  applied.registers(kSecond, 2);
  cr_assert(applied.state.hasLeft(kFirst), "never seen, and over all the same");
  applied.registers(kFirst, 2, true);
  cr_assert(applied.has(kSecond));
  cr_assert_not(applied.has(kFirst));
  applied.apply(directory::RemoveInstance{kFirst, true});
  cr_assert(applied.has(kSecond), "a late word that it leaves");
}

Test(incarnation, instance_that_left_may_come_back) {
  Applied applied;
  applied.registers(kFirst);
  applied.apply(directory::RemoveInstance{kFirst, true});
  cr_assert(applied.state.hasLeft(kFirst));
  applied.registers(kSecond);
  cr_assert(applied.has(kSecond));
  applied.registers(kFirst);
  cr_assert_not(applied.has(kFirst));
}

// A clock that was set back before a restart: while the one with the later start is registered it
// decides; once it has been unresponsive long enough to be forgotten, whoever reports is taken.
Test(incarnation, earlier_start_is_taken_once_the_later_one_is_forgotten) {
  Applied applied;
  applied.registers(kSecond);
  applied.registers(kFirst);
  cr_assert_not(applied.has(kFirst));
  applied.apply(directory::ForgetInstances{{kSecond}});
  applied.registers(kFirst);
  cr_assert(applied.has(kFirst));
}

Test(incarnation, leave_without_a_start_means_the_newest) {
  Applied applied;
  cr_assert_not(applied.state.newestIncarnation("e").has_value());
  applied.registers(kFirst);
  applied.registers(kOther, 2);
  applied.registers(kSecond, 3);
  cr_assert(applied.state.newestIncarnation("e") == kSecond);
  cr_assert(applied.state.newestIncarnation(kFirst) == kSecond);
}
