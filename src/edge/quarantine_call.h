/// \file
/// The operators' calls about held requests. They are the product's own and the same on every site:
/// `GET /v1/quarantine` lists them, `DELETE /v1/quarantine/FINGERPRINT` releases one.
#pragma once

#include <optional>

#include "edge/api_adapter.h"

namespace tackpick::edge {

/// Nothing when the request is no such call.
[[nodiscard]] std::optional<ControlCall> quarantineCall(const http::RawRequest& request);
/// Nothing when `request` is no such call.
[[nodiscard]] std::optional<Response> quarantineResponse(const directory::DirectoryRequest& request,
                                                         const directory::DirectoryReply& reply);

}  // namespace tackpick::edge
