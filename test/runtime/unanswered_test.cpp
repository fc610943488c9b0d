/// Tests of the responses to calls for which no leader was found in time.
#include <criterion/criterion.h>

#include "edge/timeout_responses.h"

namespace edge = tackpick::edge;
namespace jobs = tackpick::jobs;

Test(unanswered, submission_without_reply_may_have_been_accepted) {
  cr_assert_eq(edge::jobTimeoutResponse(jobs::SubmitJob{}).status, 504,
               "the job may have been accepted");
  cr_assert_eq(edge::jobTimeoutResponse(jobs::ReadJob{}).status, 503);
  cr_assert_eq(edge::controlTimeoutResponse().status, 503);
}
