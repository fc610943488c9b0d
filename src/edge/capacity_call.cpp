#include "edge/capacity_call.h"

#include "runtime/json.h"

namespace tackpick::edge {
namespace {

using runtime::Json;

constexpr std::string_view kPath = "/v1/capacity";

Json toJson(const duties::PoolSummary& summary) {
  return {{"service", summary.subject.service},
          {"zone", summary.subject.zone},
          {"kind", duties::toString(summary.subject.kind)},
          {"desired", summary.desired},
          {"taken", summary.accepted},
          {"there", summary.active},
          {"starting", summary.starting},
          {"leaving", summary.draining},
          {"refusals", summary.consecutiveFailures}};
}

}  // namespace

std::optional<ControlCall> capacityCall(const http::RawRequest& request) {
  if (request.path() != kPath) {
    return std::nullopt;
  }
  if (request.method != "GET") {
    return UnknownCall{};
  }
  return directory::DirectoryRequest{duties::ReadCapacity{}};
}

std::optional<Response> capacityResponse(const directory::DirectoryRequest& request,
                                         const directory::DirectoryReply& reply) {
  if (!std::holds_alternative<duties::ReadCapacity>(request)) {
    return std::nullopt;
  }
  Json pools = Json::array();
  for (const duties::PoolSummary& summary : reply.capacity) {
    pools.push_back(toJson(summary));
  }
  Response response;
  response.body = runtime::dumpJson({{"pools", pools}});
  response.headers.add("Content-Type", "application/json");
  return response;
}

}  // namespace tackpick::edge
