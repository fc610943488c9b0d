/// \file
/// The operators' call about what waits and why. It is the product's own and the same on every
/// site: `GET /v1/work`.
#pragma once

#include <optional>

#include "directory/weights_summary.h"
#include "edge/api_adapter.h"
#include "jobs/work_report.h"

namespace tackpick::edge {

/// What the two leaders answered; nothing where one did not in time.
struct WorkResponses {
  std::optional<jobs::WorkReport> ledgers;
  std::optional<directory::WeightsSummary> controllers;
};

/// Nothing when the request is no such call.
[[nodiscard]] std::optional<ControlCall> workCall(const http::RawRequest& request);
/// 503 when neither leader answered; else a part without an answer is null.
[[nodiscard]] Response workResponse(const WorkResponses& answers);

}  // namespace tackpick::edge
