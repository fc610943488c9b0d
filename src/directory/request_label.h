/// \file
/// What a call to the controllers is called in logs and metrics.
#pragma once

#include <string>
#include <string_view>

#include "directory/directory_messages.h"

namespace tackpick::directory {

struct RequestLabel {
  std::string_view call;
  std::string subject;   ///< version, instance, model or machine that it is about
  bool changes = false;  ///< it asks for a change that its caller repeats until it is acknowledged
};

[[nodiscard]] RequestLabel labelOf(const DirectoryRequest& request);

}  // namespace tackpick::directory
