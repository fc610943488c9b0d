/// \file
/// How messages between our processes are packed into frames: most of their bytes are texts, which
/// cross zones several times.
#pragma once

#include <cstddef>
#include <optional>

#include "base/serialization.h"

namespace tackpick::transport {

/// Compresses a message where that makes it shorter. The first byte of the frame says whether.
[[nodiscard]] base::Bytes packFrame(const base::Bytes& message);
/// The message in a frame; nothing when the frame is damaged or its message would be longer than
/// `limit`.
[[nodiscard]] std::optional<base::Bytes> unpackFrame(const base::Bytes& frame, std::size_t limit);

}  // namespace tackpick::transport
