/// How long the demand of a model is remembered.
#include "directory/engine_requirements.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace directory = tackpick::directory;

namespace {

/// What is open is told twice a second, for `time`.
void tell(directory::EngineRequirements& wanted, const directory::OpenItems& items,
          base::Duration time, base::TimePoint& now) {
  for (const base::TimePoint end = now + time; now < end; now += base::milliseconds(500)) {
    wanted.note(items, now);
  }
}

}  // namespace

// What is told names models with open jobs only.
Test(engine_requirements, model_whose_trainer_has_gone_is_forgotten) {
  directory::EngineRequirements wanted{{}};
  base::TimePoint now{base::seconds(100)};
  tell(wanted, {{"m", 800}, {"n", 100}}, base::seconds(10), now);
  tell(wanted, {{"m", 800}}, base::seconds(15), now);
  cr_assert_eq(wanted.openItems("n"), 100U, "a pause of some steps");
  tell(wanted, {{"m", 800}}, base::seconds(30), now);
  cr_assert_eq(wanted.openItems("n"), 0U);
  cr_assert_eq(wanted.openItems("m"), 800U);
}
