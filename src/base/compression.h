/// \file
/// Compression of messages between processes and of stored data.
#pragma once

#include <cstddef>
#include <optional>

#include "base/serialization.h"

namespace tackpick::base {

/// Compresses `bytes` if that makes them shorter. The first byte of the result marks whether the
/// rest is compressed.
[[nodiscard]] Bytes compress(const Bytes& bytes);
/// Returns the input of compress(); std::nullopt if `compressed` is corrupt or the result would be
/// longer than `maxSize`.
[[nodiscard]] std::optional<Bytes> decompress(const Bytes& compressed, std::size_t maxSize);

}  // namespace tackpick::base
