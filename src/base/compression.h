/// \file
/// Compression of what our processes send each other and keep: most of it are texts, which cross
/// zones several times and are kept for minutes.
#pragma once

#include <cstddef>
#include <optional>

#include "base/serialization.h"

namespace tackpick::base {

/// Compresses bytes where that makes them shorter. The first byte says whether.
[[nodiscard]] Bytes compress(const Bytes& bytes);
/// What was compressed; nothing when it is damaged or would be longer than `limit`.
[[nodiscard]] std::optional<Bytes> decompress(const Bytes& compressed, std::size_t limit);

}  // namespace tackpick::base
