/// \file
/// Validation of UTF-8 received from other systems.
#pragma once

#include <string_view>

namespace tackpick::base {

/// Whether the bytes are well-formed UTF-8, that is, without overlong forms, surrogates and code
/// points above U+10FFFF.
[[nodiscard]] bool isValidUtf8(std::string_view bytes);

}  // namespace tackpick::base
