/// Retention of a model's demand.
#include "directory/engine_requirements.h"

#include <criterion/criterion.h>

namespace base = tackpick::base;
namespace directory = tackpick::directory;

namespace {

/// Reports the items twice a second for `time`.
void reportOpenItems(directory::EngineRequirements& requirements, const directory::OpenItems& items,
                     base::Duration time, base::TimePoint& now) {
  for (const base::TimePoint end = now + time; now < end; now += base::milliseconds(500)) {
    requirements.update(items, now);
  }
}

}  // namespace

// Reports list only models with open jobs.
Test(engine_requirements, model_without_open_jobs_is_removed_after_the_retention_time) {
  directory::EngineRequirements requirements{{}};
  base::TimePoint now{base::seconds(100)};
  reportOpenItems(requirements, {{"m", 800}, {"n", 100}}, base::seconds(10), now);
  reportOpenItems(requirements, {{"m", 800}}, base::seconds(15), now);
  cr_assert_eq(requirements.openItems("n"), 100U, "retained during a short pause");
  reportOpenItems(requirements, {{"m", 800}}, base::seconds(30), now);
  cr_assert_eq(requirements.openItems("n"), 0U);
  cr_assert_eq(requirements.openItems("m"), 800U);
}
