/// \file
/// Calls to whichever controller leads.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "runtime/json.h"

namespace tackpick::ctl {

/// Where the controllers are and who asks.
struct ControlAddress {
  std::vector<std::string> urls;  ///< `http://IP:port` of each controller
  std::string token;
};

struct ControlAnswer {
  int status = 0;  ///< zero: no controller answered
  runtime::Json body;
};

/// Tries the controllers in turn until one that leads answers; waits out an election. Sends a
/// change again only under its request id.
[[nodiscard]] ControlAnswer callControllers(const ControlAddress& address,
                                            const std::string& method, const std::string& path,
                                            const std::string& body);

/// Asks one controller, whether it leads or not.
[[nodiscard]] ControlAnswer callOne(const std::string& url, const std::string& token,
                                    const std::string& method, const std::string& path,
                                    const std::string& body);

}  // namespace tackpick::ctl
