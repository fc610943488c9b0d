#include "edge/work_call.h"

#include <asio.hpp>
#include <string>
#include <string_view>

#include "edge/timeout_responses.h"
#include "runtime/json.h"

namespace tackpick::edge {
namespace {

using runtime::Json;

constexpr std::string_view kPath = "/v1/work";

Json secondsOrNull(const std::optional<base::Duration>& time) {
  return time ? Json(base::toSeconds(*time)) : Json(nullptr);
}

Json toJson(const jobs::JobSummary& job) {
  const bool isDue = job.slack != base::Duration::max();
  return {{"job", job.job},
          {"tenant", job.tenant},
          {"model", job.model},
          {"minimum_version", job.minimumVersion},
          {"places_ready", job.readySlots},
          {"priority", job.priority},
          {"waiting", job.waiting},
          {"running", job.running},
          {"slack_s", secondsOrNull(isDue ? std::optional(job.slack) : std::nullopt)},
          {"age_s", base::toSeconds(job.age)}};
}

Json toJson(const jobs::EngineSummary& engine) {
  return {{"engine", engine.id},
          {"zone", engine.zone},
          {"pace_ms", engine.eventIntervalMs > 0 ? Json(engine.eventIntervalMs) : Json(nullptr)},
          {"work_time_percent", engine.slowdownPercent},
          {"sample_age_s", secondsOrNull(engine.sampleAge)},
          {"items", engine.items}};
}

Json toJson(const jobs::GatewayReport& gateway) {
  const asio::ip::address_v4 address(base::nodeNumber(gateway.gateway));
  return {{"gateway", address.to_string()}, {"zone", gateway.zone},
          {"places", gateway.slots},        {"held", gateway.held},
          {"active", gateway.active},       {"slow_s", secondsOrNull(gateway.slowFor)}};
}

template <typename Row>
Json toJsonArray(const std::vector<Row>& rows) {
  Json list = Json::array();
  for (const Row& row : rows) {
    list.push_back(toJson(row));
  }
  return list;
}

Json tenantsJson(const std::map<std::string, jobs::TenantSummary>& tenants) {
  Json list = Json::array();
  for (const auto& [name, tenant] : tenants) {
    list.push_back({{"tenant", name},
                    {"waiting", tenant.waiting},
                    {"running", tenant.running},
                    {"share", tenant.share}});
  }
  return list;
}

Json toJson(const jobs::WorkReport& report) {
  return {{"jobs", toJsonArray(report.jobs)},       {"total_jobs", report.totalJobs},
          {"tenants", tenantsJson(report.tenants)}, {"engines", toJsonArray(report.engines)},
          {"total_engines", report.totalEngines},   {"gateways", toJsonArray(report.gateways)},
          {"total_gateways", report.totalGateways}};
}

Json toJson(const directory::WeightsSummary& weights) {
  Json models = Json::array();
  for (const auto& [name, model] : weights.models) {
    models.push_back({{"model", name},
                      {"published", model.published},
                      {"needed", model.neededVersion},
                      {"places_needed", model.requiredSlots},
                      {"places_ready", model.readySlots},
                      {"places_loading", model.loadingSlots},
                      {"expected_in_s", secondsOrNull(model.expectedIn)}});
  }
  return {{"models", models}, {"loading", weights.loading}, {"load_budget", weights.maxLoads}};
}

}  // namespace

std::optional<ControlCall> workCall(const http::RawRequest& request) {
  if (request.path() != kPath) {
    return std::nullopt;
  }
  if (request.method != "GET") {
    return UnknownCall{};
  }
  return ReadWorkCall{};
}

Response workResponse(const WorkResponses& responses) {
  if (!responses.ledgers && !responses.controllers) {
    return controlTimeoutResponse();
  }
  const Json body = {
      {"ledgers", responses.ledgers ? toJson(*responses.ledgers) : Json(nullptr)},
      {"controllers", responses.controllers ? toJson(*responses.controllers) : Json(nullptr)}};
  Response response;
  response.body = runtime::dumpJson(body);
  response.headers.add("Content-Type", "application/json");
  return response;
}

}  // namespace tackpick::edge
