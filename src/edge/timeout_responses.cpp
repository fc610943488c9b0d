#include "edge/timeout_responses.h"

#include "http/status.h"

namespace tackpick::edge {

Response jobTimeoutResponse(const jobs::JobRequest& request) {
  const bool submission = std::holds_alternative<jobs::SubmitJob>(request);
  return {submission ? http::status::kGatewayTimeout : http::status::kUnavailable, {}, {}};
}

Response jobOverloadedResponse(const jobs::JobReply& reply) {
  if (reply.mayBeRepeated) {
    return {http::status::kGatewayTimeout, {}, {}};
  }
  Response response{http::status::kUnavailable, {}, {}};
  response.headers.add("Retry-After", "1");
  return response;
}

Response controlTimeoutResponse() { return {http::status::kUnavailable, {}, {}}; }

}  // namespace tackpick::edge
