/// \file
/// Label of a request to the controllers in logs and metrics.
#pragma once

#include <string>
#include <string_view>

#include "directory/directory_messages.h"

namespace tackpick::directory {

struct RequestLabel {
  std::string_view call;
  std::string subject;      ///< version, instance, model or machine concerned
  bool isMutation = false;  ///< a change that the caller retries until it is acknowledged
};

[[nodiscard]] RequestLabel labelOf(const DirectoryRequest& request);

}  // namespace tackpick::directory
