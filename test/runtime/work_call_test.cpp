/// Tests of the operators' call for the waiting work.
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
  http::RawRequest result;
  result.method = method;
  result.target = target;
  return result;
}

jobs::WorkReport makeReport() {
  jobs::WorkReport result;
  jobs::JobSummary job;
  job.job = "j";
  job.model = "m";
  job.minimumVersion = 7;
  job.waiting = 3;
  result.jobs = {job};
  result.totalJobs = 201;
  result.engines = {{"i-1", "a", 0, 100, {}, 2}};
  result.totalEngines = 1;
  result.gateways = {
      {base::makeNodeId(kGatewayNumber, 5), "a", 6, 2, true, base::milliseconds(1500)}};
  result.totalGateways = 1;
  return result;
}

tackpick::directory::WeightsSummary makeWeights() {
  tackpick::directory::WeightsSummary result;
  result.models["m"] = {8, 7, 4, 2, 6, -base::seconds(1)};
  result.maxLoads = 2;
  return result;
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

Test(work_call, response_combines_the_reports_of_both_leaders) {
  const Json parsed = body({makeReport(), makeWeights()});
  const Json job = parsed["ledgers"]["jobs"][0];
  cr_assert_eq(job["minimum_version"], 7);
  cr_assert_eq(job["places_ready"], 0);
  cr_assert(job["slack_s"].is_null(), "the due time of the job is unknown");
  cr_assert_eq(parsed["ledgers"]["total_jobs"], 201);
  cr_assert(parsed["ledgers"]["engines"][0]["pace_ms"].is_null(), "no gateway has reported it");
  cr_assert_eq(parsed["ledgers"]["gateways"][0]["gateway"], "127.0.3.1");
  cr_assert_eq(parsed["ledgers"]["gateways"][0]["slow_s"], 1.5);
  const Json model = parsed["controllers"]["models"][0];
  cr_assert_eq(model["needed"], 7);
  cr_assert_eq(model["places_loading"], 2);
  cr_assert_eq(model["expected_in_s"], -1.0);
  cr_assert_eq(parsed["controllers"]["load_budget"], 2);
}

Test(work_call, missing_report_is_null_and_call_fails_without_any) {
  const Json noLedgers = body({std::nullopt, makeWeights()});
  cr_assert(noLedgers["ledgers"].is_null());
  cr_assert_not(noLedgers["controllers"].is_null());
  const Json noControllers = body({makeReport(), std::nullopt});
  cr_assert(noControllers["controllers"].is_null());
  cr_assert_eq(noControllers["ledgers"]["total_jobs"], 201);
  cr_assert_eq(edge::workResponse({}).status, 503);
}

Test(work_call, name_of_a_job_may_hold_any_bytes) {
  jobs::WorkReport report = makeReport();
  report.jobs[0].job = "j\xff\"";
  cr_assert_eq(body({report, std::nullopt})["ledgers"]["jobs"][0]["job"], "j\xef\xbf\xbd\"");
}
