#include "base/verdict.h"

#include <criterion/criterion.h>

using tackpick::base::combine;
using tackpick::base::Verdict;

Test(verdict, later_rejection_does_not_override_may_have_run) {
  cr_assert(combine(Verdict::kMayHaveRun, Verdict::kNotRun) == Verdict::kMayHaveRun);
  cr_assert(combine(Verdict::kNotRun, Verdict::kMayHaveRun) == Verdict::kMayHaveRun);
  cr_assert(combine(Verdict::kNotRun, Verdict::kNotRun) == Verdict::kNotRun);
}
