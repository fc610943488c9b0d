/// \file
/// Proof that both ends of an internal connection hold the same key.
#pragma once

#include <string>

#include "base/error.h"
#include "base/serialization.h"

namespace tackpick::transport {

/// HMAC-SHA-256 of `message`.
[[nodiscard]] base::Bytes authenticate(const base::Bytes& key, const base::Bytes& message);
/// Compares in constant time.
[[nodiscard]] bool equalSecret(const base::Bytes& left, const base::Bytes& right);
/// Unpredictable bytes from the operating system.
[[nodiscard]] base::Bytes randomBytes(std::size_t count);
/// SHA-256 in hexadecimal, as bearer tokens are kept.
[[nodiscard]] std::string sha256Hex(const std::string& text);
/// Reads a key file; at least 16 bytes, trailing newline ignored.
[[nodiscard]] base::Result<base::Bytes> readKeyFile(const std::string& path);

}  // namespace tackpick::transport
