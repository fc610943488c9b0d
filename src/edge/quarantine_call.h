/// \file
/// The operators' calls for held requests, the same on every site: `GET /v1/quarantine` lists them,
/// `DELETE /v1/quarantine/FINGERPRINT` releases one.
#pragma once

#include <optional>

#include "edge/api_adapter.h"

namespace tackpick::edge {

/// Returns the call of a request; std::nullopt if it is for another endpoint.
[[nodiscard]] std::optional<ControlCall> quarantineCall(const http::RawRequest& request);
/// Returns the response to a call; std::nullopt if `request` is another call.
[[nodiscard]] std::optional<Response> quarantineResponse(const directory::DirectoryRequest& request,
                                                         const directory::DirectoryReply& reply);

}  // namespace tackpick::edge
