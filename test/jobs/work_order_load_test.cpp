/// Groups that complete in time with each scheduler, under a load of several models that share
/// engines.
#include <criterion/criterion.h>

#include <cstdio>

#include "lease_simulation.h"

namespace base = tackpick::base;
namespace jobs = tackpick::jobs;
namespace test = tackpick::test;

namespace {

constexpr std::uint64_t kSeeds = 3;

test::LoadOptions fourModels() {
  test::LoadOptions options;
  options.trainers = {{"a", "m1", 8, 16, 30},
                      {"b", "m2", 18, 8, 55},
                      {"c", "m3", 9, 16, 55},
                      {"d", "m4", 12, 8, 45}};
  options.time = base::seconds(40);
  return options;
}

/// Returns the mean share of groups that complete in time.
double inTime(test::LoadOptions options, jobs::SchedulerPolicy policy) {
  options.policy = policy;
  double sum = 0;
  for (options.seed = 1; options.seed <= kSeeds; ++options.seed) {
    sum += test::LeaseSimulation(options).run().inTime();
  }
  return sum / kSeeds;
}

struct Comparison {
  double oldestFirst = 0;
  double bySlack = 0;
};

Comparison compare(const char* name, const test::LoadOptions& options) {
  const Comparison found{inTime(options, jobs::SchedulerPolicy::kOldestFirst),
                         inTime(options, jobs::SchedulerPolicy::kAutomatic)};
  std::printf("%s: groups in time %.3f oldest first, %.3f by slack\n", name, found.oldestFirst,
              found.bySlack);
  return found;
}

}  // namespace

Test(work_order_load, low_load_is_not_harmed) {
  const Comparison found = compare("calm", fourModels());
  cr_assert_geq(found.bySlack, found.oldestFirst - 0.01);
  cr_assert_geq(found.bySlack, 0.97);
}

Test(work_order_load, low_load_with_separate_engines_is_not_harmed) {
  test::LoadOptions options = fourModels();
  options.enginePerModel = true;
  options.engines = 48;
  const Comparison found = compare("calm, engines of each model", options);
  cr_assert_geq(found.bySlack, found.oldestFirst - 0.01);
}

Test(work_order_load, more_groups_complete_in_time_during_a_shortage) {
  test::LoadOptions options = fourModels();
  options.engines = 36;
  options.shortagePercent = 60;
  const Comparison found = compare("shortage", options);
  cr_assert_geq(found.bySlack, found.oldestFirst + 0.05);
}

Test(work_order_load, overload_does_not_make_all_jobs_late) {
  test::LoadOptions options = fourModels();
  options.engines = 32;
  const Comparison found = compare("overload", options);
  cr_assert_geq(found.bySlack, found.oldestFirst + 0.05);
}

// 75 tenants with small jobs and 4 with large ones.
Test(work_order_load, small_tenants_get_their_jobs_done_beside_large_ones) {
  test::LoadOptions options;
  options.engines = 36;
  options.time = base::seconds(40);
  for (int tenant = 0; tenant < 79; ++tenant) {
    const bool large = tenant % 20 == 0;
    const std::string model = "m" + std::to_string(tenant % 4);
    options.trainers.push_back({"t" + std::to_string(tenant), model, large ? 18U : 2U,
                                large ? 8U : 2U, large ? 55.0 : 30.0});
  }
  const Comparison found = compare("79 tenants", options);
  cr_assert_geq(found.bySlack, found.oldestFirst);
  options.policy = jobs::SchedulerPolicy::kAutomatic;
  options.seed = 1;
  const test::LoadOutcome outcome = test::LeaseSimulation(options).run();
  cr_assert_eq(outcome.jobsOfTenant.size(), 79U, "every tenant completes jobs");
}
