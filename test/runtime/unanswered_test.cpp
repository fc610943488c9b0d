/// Answers to callers whose call found no leader in time.
#include "edge/unanswered.h"

#include <criterion/criterion.h>

namespace edge = tackpick::edge;
namespace jobs = tackpick::jobs;

Test(unanswered, submission_without_reply_is_not_promised_to_be_refused) {
  cr_assert_eq(edge::unansweredJobCall(jobs::SubmitJob{}).status, 504, "it may have been taken");
  cr_assert_eq(edge::unansweredJobCall(jobs::ReadJob{}).status, 503);
  cr_assert_eq(edge::unansweredControlCall().status, 503);
}
