/// \file
/// Cryptographic functions for the shared key of a cluster and for access tokens.
#pragma once

#include <string>

#include "base/error.h"
#include "base/serialization.h"

namespace tackpick::transport {

/// Returns the HMAC-SHA-256 of `message`.
[[nodiscard]] base::Bytes hmacSha256(const base::Bytes& key, const base::Bytes& message);
/// Compares two byte strings in a time that does not depend on their content.
[[nodiscard]] bool constantTimeEquals(const base::Bytes& left, const base::Bytes& right);
/// Returns cryptographically secure random bytes.
[[nodiscard]] base::Bytes randomBytes(std::size_t count);
/// Returns the SHA-256 digest in hexadecimal, the form in which bearer tokens are stored.
[[nodiscard]] std::string sha256Hex(const std::string& text);
/// Reads a key of at least 16 bytes from a file. Trailing newlines are ignored.
[[nodiscard]] base::Result<base::Bytes> readKeyFile(const std::string& path);

}  // namespace tackpick::transport
