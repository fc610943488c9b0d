/// \file
/// Checks of received messages beyond those of http_parser, which, as Debian builds it, accepts
/// more than HTTP/1.1 permits.
#pragma once

#include <cstddef>
#include <string_view>

#include "http/header_list.h"

namespace tackpick::http {

/// Number of bytes of a status line that isValidStatusLine() needs: up to the byte after the code.
inline constexpr std::size_t kStatusLineBytes = 13;

/// Whether the first bytes of a response are those of an HTTP/1.x status line whose code is in the
/// range 100 to 599 (RFC 9112, section 4; RFC 9110, section 15). 101 is invalid here, since no
/// request asks to switch protocols.
[[nodiscard]] bool isValidStatusLine(std::string_view line);

/// Whether the name of every field is a token and no value contains a byte that would end it.
[[nodiscard]] bool hasValidFields(const HeaderList& headers);

/// Whether the body's length can be told from the transfer encoding: there is none, or only
/// `chunked`. No other encoding can be decoded, and a sender may apply `chunked` only once (RFC
/// 9112, section 6.1).
[[nodiscard]] bool hasValidTransferEncoding(const HeaderList& headers);

}  // namespace tackpick::http
