/// The operators' call about what waits and why, as they get it.
#include "edge/work_call.h"

#include <criterion/criterion.h>

#include "runtime/json.h"

namespace base = tackpick::base;
namespace edge = tackpick::edge;
namespace http = tackpick::http;
namespace jobs = tackpick::jobs;
using tackpick::runtime::Json;

namespace {

constexpr std::uint32_t kGatewayNumber = (127U << 24U) | (3U << 8U) | 1U;  // 127.0.3.1

http::RawRequest request(const std::string& method, const std::string& target) {
  http::RawRequest made;
  made.method = method;
  made.target = target;
  return made;
}

jobs::WorkReport report() {
  jobs::WorkReport made;
  jobs::JobSummary job;
  job.job = "j";
  job.model = "m";
  job.minimumVersion = 7;
  job.waiting = 3;
  made.jobs = {job};
  made.totalJobs = 201;
  made.engines = {{"i-1", "a", 0, 100, {}, 2}};
  made.totalEngines = 1;
  made.gateways = {
      {base::makeNodeId(kGatewayNumber, 5), "a", 6, 2, true, base::milliseconds(1500)}};
  made.totalGateways = 1;
  return made;
}

tackpick::directory::WeightsSummary weights() {
  tackpick::directory::WeightsSummary made;
  made.models["m"] = {8, 7, 4, 2, 6, -base::seconds(1)};
  made.maxLoads = 2;
  return made;
}

Json body(const edge::WorkResponses& answers) {
  return Json::parse(edge::workResponse(answers).body);
}

}  // namespace

Test(work_call, is_read_at_its_path_only) {
  cr_assert(
      std::holds_alternative<edge::ReadWorkCall>(*edge::workCall(request("GET", "/v1/work"))));
  cr_assert(
      std::holds_alternative<edge::UnknownCall>(*edge::workCall(request("POST", "/v1/work"))));
  cr_assert_not(edge::workCall(request("GET", "/v1/workers")));
}

Test(work_call, answer_tells_what_both_leaders_told) {
  const Json told = body({report(), weights()});
  const Json job = told["ledgers"]["jobs"][0];
  cr_assert_eq(job["minimum_version"], 7);
  cr_assert_eq(job["places_ready"], 0);
  cr_assert(job["slack_s"].is_null(), "nothing says when it is due");
  cr_assert_eq(told["ledgers"]["total_jobs"], 201);
  cr_assert(told["ledgers"]["engines"][0]["pace_ms"].is_null(), "no gateway has told it");
  cr_assert_eq(told["ledgers"]["gateways"][0]["gateway"], "127.0.3.1");
  cr_assert_eq(told["ledgers"]["gateways"][0]["slow_s"], 1.5);
  const Json model = told["controllers"]["models"][0];
  cr_assert_eq(model["needed"], 7);
  cr_assert_eq(model["places_loading"], 2);
  cr_assert_eq(model["expected_in_s"], -1.0);
  cr_assert_eq(told["controllers"]["load_budget"], 2);
}

Test(work_call, part_without_an_answer_is_null_and_without_any_the_call_fails) {
  const Json noLedgers = body({std::nullopt, weights()});
  cr_assert(noLedgers["ledgers"].is_null());
  cr_assert_not(noLedgers["controllers"].is_null());
  const Json noControllers = body({report(), std::nullopt});
  cr_assert(noControllers["controllers"].is_null());
  cr_assert_eq(noControllers["ledgers"]["total_jobs"], 201);
  cr_assert_eq(edge::workResponse({}).status, 503);
}

Test(work_call, name_of_a_job_may_hold_any_bytes) {
  jobs::WorkReport strange = report();
  strange.jobs[0].job = "j\xff\"";
  cr_assert_eq(body({strange, std::nullopt})["ledgers"]["jobs"][0]["job"], "j\xef\xbf\xbd\"");
}
