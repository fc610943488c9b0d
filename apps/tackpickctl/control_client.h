/// \file
/// HTTP client for the controllers.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "runtime/json.h"

namespace tackpick::ctl {

/// URLs of the controllers and the token of the operator.
struct ControlAddress {
  std::vector<std::string> urls;  ///< `http://IP:port` of each controller
  std::string token;
};

/// HTTP response of a controller.
struct ControlResponse {
  int status = 0;  ///< zero if no controller answered
  runtime::Json body;
};

/// Calls the controllers one after another until the leader answers, for several rounds with a
/// delay between them. The body may be sent several times, so a change must carry a request id.
[[nodiscard]] ControlResponse callControllers(const ControlAddress& address,
                                              const std::string& method, const std::string& path,
                                              const std::string& body);

/// Calls one controller, which need not be the leader.
[[nodiscard]] ControlResponse callController(const std::string& url, const std::string& token,
                                             const std::string& method, const std::string& path,
                                             const std::string& body);

}  // namespace tackpick::ctl
