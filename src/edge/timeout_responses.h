/// \file
/// Responses to calls that reached no leader in time, or for which the leader had no memory.
#pragma once

#include "edge/api_adapter.h"

namespace tackpick::edge {

/// Returns the response to a job call. A submission may have been accepted, so its response must
/// not imply that it was not.
[[nodiscard]] Response jobTimeoutResponse(const jobs::JobRequest& request);
/// Returns the response to a submission that the ledgers rejected as kOverloaded.
[[nodiscard]] Response jobOverloadedResponse(const jobs::JobReply& reply);
/// Returns the response to a call at a controller, which callers may safely repeat.
[[nodiscard]] Response controlTimeoutResponse();

}  // namespace tackpick::edge
