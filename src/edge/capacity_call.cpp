#include "edge/capacity_call.h"

#include "runtime/json.h"

namespace tackpick::edge {
namespace {

using runtime::Json;

constexpr std::string_view kPath = "/v1/capacity";

Json toJson(const duties::PoolSummary& sight) {
  return {{"service", sight.subject.service},
          {"zone", sight.subject.zone},
          {"kind", duties::toString(sight.subject.kind)},
          {"desired", sight.desired},
          {"taken", sight.taken},
          {"there", sight.there},
          {"starting", sight.starting},
          {"leaving", sight.draining},
          {"refusals", sight.refusals}};
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
  for (const duties::PoolSummary& sight : reply.capacity) {
    pools.push_back(toJson(sight));
  }
  Response answer;
  answer.body = Json{{"pools", pools}}.dump();
  answer.headers.add("Content-Type", "application/json");
  return answer;
}

}  // namespace tackpick::edge
