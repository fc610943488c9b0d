/// \file
/// Encoding of typed messages as bytes, by cereal's portable binary archive.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <sstream>
#include <string>

namespace tackpick::base {

/// Encoded bytes of a message or state.
using Bytes = std::string;

/// Encodes `value`.
template <typename T>
[[nodiscard]] Bytes encode(const T& value) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
  }
  return std::move(stream).str();
}

/// Decodes bytes written by encode; nothing when they are not a whole T. Use it only on bytes whose
/// checksum or sender has been verified: a forged length could make cereal allocate much memory.
template <typename T>
[[nodiscard]] std::optional<T> decode(const Bytes& bytes) {
  try {
    std::istringstream stream(bytes);
    cereal::PortableBinaryInputArchive archive(stream);
    T value;
    archive(value);
    if (stream.peek() != std::istringstream::traits_type::eof()) {
      return std::nullopt;
    }
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace tackpick::base
