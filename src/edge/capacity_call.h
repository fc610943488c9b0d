/// \file
/// The operators' call about numbers of instances. It is the product's own and the same on every
/// site: `GET /v1/capacity`.
#pragma once

#include <optional>

#include "edge/api_adapter.h"

namespace tackpick::edge {

/// Nothing when the request is no such call.
[[nodiscard]] std::optional<ControlCall> capacityCall(const http::RawRequest& request);
/// Nothing when `request` is no such call.
[[nodiscard]] std::optional<Response> capacityResponse(const directory::DirectoryRequest& request,
                                                       const directory::DirectoryReply& reply);

}  // namespace tackpick::edge
