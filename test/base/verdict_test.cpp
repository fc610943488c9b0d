#include "base/verdict.h"

#include <criterion/criterion.h>

using tackpick::base::combine;
using tackpick::base::Verdict;

Test(verdict, a_later_refusal_does_not_take_back_that_a_request_may_have_run) {
  cr_assert(combine(Verdict::kMayHaveRun, Verdict::kNotRun) == Verdict::kMayHaveRun);
  cr_assert(combine(Verdict::kNotRun, Verdict::kMayHaveRun) == Verdict::kMayHaveRun);
  cr_assert(combine(Verdict::kNotRun, Verdict::kNotRun) == Verdict::kNotRun);
}
