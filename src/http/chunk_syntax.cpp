#include "http/chunk_syntax.h"

#include <algorithm>
#include <limits>

#include "http/hex_digit.h"

namespace tackpick::http {
namespace {

constexpr unsigned kHexBits = 4;

bool isSpace(char byte) { return byte == ' ' || byte == '\t'; }

}  // namespace

bool ChunkSyntax::accept(std::string_view data) {
  while (!data.empty() && m_state != State::kInvalid && m_state != State::kComplete) {
    if (m_state != State::kData) {
      m_state = next(data.front());
      data.remove_prefix(1);
      continue;
    }
    const auto count = static_cast<std::size_t>(std::min<std::uint64_t>(m_size, data.size()));
    m_size -= count;
    data.remove_prefix(count);
    if (m_size == 0) {
      m_state = State::kDataEnd;
    }
  }
  return m_state != State::kInvalid;
}

ChunkSyntax::State ChunkSyntax::next(char byte) {
  switch (m_state) {
    case State::kSizeStart:
      m_size = 0;
      return hexDigit(byte) >= 0 ? nextInSize(byte) : State::kInvalid;
    case State::kSize:
      return nextInSize(byte);
    case State::kSpaceAfterSize:
      if (isSpace(byte)) {
        return State::kSpaceAfterSize;
      }
      return byte == ';' ? State::kExtension : State::kInvalid;
    case State::kExtension:
      if (byte == '\n') {
        return State::kInvalid;
      }
      return byte == '\r' ? State::kSizeEnd : State::kExtension;
    case State::kSizeEnd:
      if (byte != '\n') {
        return State::kInvalid;
      }
      return m_size == 0 ? State::kTrailerLineStart : State::kData;
    case State::kDataEnd:
      return byte == '\r' ? State::kDataEndLineFeed : State::kInvalid;
    case State::kDataEndLineFeed:
      return byte == '\n' ? State::kSizeStart : State::kInvalid;
    case State::kTrailerLineStart:
      return nextInTrailerStart(byte);
    case State::kTrailerLine:
      return byte == '\n' ? State::kTrailerLineStart : State::kTrailerLine;
    case State::kBodyEnd:
      return byte == '\n' ? State::kComplete : State::kInvalid;
    default:
      return m_state;
  }
}

ChunkSyntax::State ChunkSyntax::nextInTrailerStart(char byte) {
  if (byte == '\n') {
    return State::kComplete;
  }
  if (byte == '\r') {
    return State::kBodyEnd;
  }
  return isSpace(byte) ? State::kInvalid : State::kTrailerLine;  // a space folds the line
}

ChunkSyntax::State ChunkSyntax::nextInSize(char byte) {
  if (const int digit = hexDigit(byte); digit >= 0) {
    if (m_size > (std::numeric_limits<std::uint64_t>::max() >> kHexBits)) {
      return State::kInvalid;
    }
    m_size = (m_size << kHexBits) | static_cast<std::uint64_t>(digit);
    return State::kSize;
  }
  if (byte == ';') {
    return State::kExtension;
  }
  if (byte == '\r') {
    return State::kSizeEnd;
  }
  return isSpace(byte) ? State::kSpaceAfterSize : State::kInvalid;
}

}  // namespace tackpick::http
