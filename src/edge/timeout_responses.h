/// \file
/// Answers to callers whose call found no leader in time.
#pragma once

#include "edge/api_adapter.h"

namespace tackpick::edge {

/// A submission may have been taken all the same: its answer must not promise that it was not.
[[nodiscard]] Response jobTimeoutResponse(const jobs::JobRequest& request);
/// Callers of controllers repeat their calls, which is safe.
[[nodiscard]] Response controlTimeoutResponse();

}  // namespace tackpick::edge
