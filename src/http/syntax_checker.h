/// \file
/// Checks the bytes of messages while they are parsed.
#pragma once

#include <string_view>

#include "http/chunk_syntax.h"

namespace tackpick::http {

/// Checks what http_parser, as Debian builds it, does not check of one message: folded lines of the
/// head, which it would join to another value, and the framing of chunks. The message is parsed in
/// parts, each of which is checked first.
class SyntaxChecker {
 public:
  /// Returns the part of `data` to parse next: a line of the head, so that its end is known, or all
  /// bytes once the head is complete.
  [[nodiscard]] std::string_view nextPart(std::string_view data) const;
  /// Checks a part. Returns false if the message is malformed.
  [[nodiscard]] bool accept(std::string_view part);
  /// Called at the end of the head.
  void onHeadComplete(bool chunked) {
    m_headComplete = true;
    m_chunked = chunked;
  }

 private:
  bool m_atLineStart = false;  ///< of a line of the head other than the first
  bool m_headComplete = false;
  bool m_chunked = false;
  ChunkSyntax m_chunks;
};

}  // namespace tackpick::http
