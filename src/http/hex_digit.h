/// \file
/// Hexadecimal digits.
#pragma once

namespace tackpick::http {

/// Returns the value of a hexadecimal digit; -1 for other characters.
[[nodiscard]] constexpr int hexDigit(char digit) {
  constexpr int kLetterOffset = 10;
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + kLetterOffset;
  }
  if (digit >= 'A' && digit <= 'F') {
    return digit - 'A' + kLetterOffset;
  }
  return -1;
}

}  // namespace tackpick::http
