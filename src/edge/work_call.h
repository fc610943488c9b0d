/// \file
/// The operators' call that lists open jobs, engines, gateways and models, the same on every site:
/// `GET /v1/work`.
#pragma once

#include <optional>

#include "directory/weights_summary.h"
#include "edge/api_adapter.h"
#include "jobs/work_report.h"

namespace tackpick::edge {

/// Replies of the two leaders; std::nullopt where one did not respond in time.
struct WorkResponses {
  std::optional<jobs::WorkReport> ledgers;
  std::optional<directory::WeightsSummary> controllers;
};

/// Returns the call of a request; std::nullopt if it is for another endpoint.
[[nodiscard]] std::optional<ControlCall> workCall(const http::RawRequest& request);
/// Returns the response: 503 if neither leader responded; a missing part is null.
[[nodiscard]] Response workResponse(const WorkResponses& responses);

}  // namespace tackpick::edge
