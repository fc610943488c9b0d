#include "edge/unanswered.h"

#include "http/status.h"

namespace tackpick::edge {

Answer unansweredJobCall(const jobs::JobRequest& request) {
  const bool submission = std::holds_alternative<jobs::SubmitJob>(request);
  return {submission ? http::status::kGatewayTimeout : http::status::kUnavailable, {}, {}};
}

Answer unansweredControlCall() { return {http::status::kUnavailable, {}, {}}; }

}  // namespace tackpick::edge
