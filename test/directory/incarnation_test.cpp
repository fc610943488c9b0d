/// Instances that restart under the same name.
#include "directory/incarnation.h"

#include <criterion/criterion.h>

#include "directory/directory_state.h"

namespace base = tackpick::base;
namespace directory = tackpick::directory;
using directory::Incarnation;

namespace {

const std::string kFirst = Incarnation{"e", 1000}.key();
const std::string kSecond = Incarnation{"e", 2000}.key();
const std::string kOther = Incarnation{"e!", 1500}.key();  // sorts between kFirst and kSecond

/// Directory state with the index of the last applied command.
class StateFixture {
 public:
  void apply(const directory::DirectoryCommand& command) {
    state.apply(++m_index, base::encode(command));
  }
  void registerInstance(const std::string& id, std::uint16_t port = 1, bool draining = false) {
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

Test(incarnation, newer_incarnation_inherits_nothing) {
  StateFixture fixture;
  fixture.registerInstance(kFirst, 1, true);
  fixture.apply(directory::RecordVersions{{{kFirst, {{"m", 7}}}}});
  fixture.registerInstance(kOther, 3);
  fixture.registerInstance(kSecond, 2);
  cr_assert_not(fixture.has(kFirst));
  cr_assert(fixture.has(kSecond) && fixture.has(kOther));
  cr_assert_not(fixture.state.instances().at(kSecond).draining,
                "only the earlier incarnation was draining");
  cr_assert_not(fixture.state.heldVersions().contains(kSecond));
  cr_assert_not(fixture.state.heldVersions().contains(kFirst));
}

Test(incarnation, delayed_earlier_incarnation_changes_nothing) {
  StateFixture fixture;
  fixture.registerInstance(kSecond, 2);
  cr_assert(fixture.state.isDeregistered(kFirst), "superseded although never registered");
  fixture.registerInstance(kFirst, 2, true);
  cr_assert(fixture.has(kSecond));
  cr_assert_not(fixture.has(kFirst));
  fixture.apply(directory::RemoveInstance{kFirst, true});
  cr_assert(fixture.has(kSecond), "a delayed deregistration of the earlier incarnation");
}

Test(incarnation, deregistered_instance_may_register_as_a_new_incarnation) {
  StateFixture fixture;
  fixture.registerInstance(kFirst);
  fixture.apply(directory::RemoveInstance{kFirst, true});
  cr_assert(fixture.state.isDeregistered(kFirst));
  fixture.registerInstance(kSecond);
  cr_assert(fixture.has(kSecond));
  fixture.registerInstance(kFirst);
  cr_assert_not(fixture.has(kFirst));
}

// After a clock was set back, the registered incarnation with the later start time stays registered
// until it expires.
Test(incarnation, earlier_start_time_is_accepted_once_the_later_one_expired) {
  StateFixture fixture;
  fixture.registerInstance(kSecond);
  fixture.registerInstance(kFirst);
  cr_assert_not(fixture.has(kFirst));
  fixture.apply(directory::ExpireInstances{{kSecond}});
  fixture.registerInstance(kFirst);
  cr_assert(fixture.has(kFirst));
}

Test(incarnation, deregistration_without_a_start_time_means_the_newest) {
  StateFixture fixture;
  cr_assert_not(fixture.state.newestIncarnation("e").has_value());
  fixture.registerInstance(kFirst);
  fixture.registerInstance(kOther, 2);
  fixture.registerInstance(kSecond, 3);
  cr_assert(fixture.state.newestIncarnation("e") == kSecond);
  cr_assert(fixture.state.newestIncarnation(kFirst) == kSecond);
}
