/// \file
/// Checks the framing of chunked bodies.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace tackpick::http {

/// Checks the framing of one chunked body (RFC 9112, section 7.1). Needed because http_parser, as
/// Debian builds it, does not check the bytes after a chunk's size and data. The names of trailer
/// fields are left to the parser's callbacks.
class ChunkSyntax {
 public:
  /// Checks the next bytes of the body. Returns false once the framing is invalid. Bytes after the
  /// end of the body are accepted.
  [[nodiscard]] bool accept(std::string_view data);

 private:
  enum class State : std::uint8_t {
    kSizeStart,
    kSize,
    kSpaceAfterSize,
    kExtension,
    kSizeEnd,  ///< line feed of the size's line
    kData,
    kDataEnd,          ///< carriage return after the data
    kDataEndLineFeed,  ///< line feed after the data
    kTrailerLineStart,
    kTrailerLine,
    kBodyEnd,  ///< line feed of the empty line
    kComplete,
    kInvalid,
  };

  /// Returns the state after a byte that is not data.
  [[nodiscard]] State next(char byte);
  [[nodiscard]] State nextInSize(char byte);
  [[nodiscard]] static State nextInTrailerStart(char byte);

  State m_state = State::kSizeStart;
  std::uint64_t m_size = 0;  ///< of the current chunk; bytes of it that remain while in its data
};

}  // namespace tackpick::http
