/// \file
/// The operators' call that lists instance pools, the same on every site: `GET /v1/capacity`.
#pragma once

#include <optional>

#include "edge/api_adapter.h"

namespace tackpick::edge {

/// Returns the call of a request; std::nullopt if it is for another endpoint.
[[nodiscard]] std::optional<ControlCall> capacityCall(const http::RawRequest& request);
/// Returns the response to a call; std::nullopt if `request` is another call.
[[nodiscard]] std::optional<Response> capacityResponse(const directory::DirectoryRequest& request,
                                                       const directory::DirectoryReply& reply);

}  // namespace tackpick::edge
