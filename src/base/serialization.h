/// \file
/// Encoding of typed messages as bytes with cereal's portable binary archive.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <sstream>
#include <string>

#include "base/bounded_archive.h"

namespace tackpick::base {

/// Encoded bytes of a message or state.
using Bytes = std::string;

template <typename T>
[[nodiscard]] Bytes encode(const T& value) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
  }
  return std::move(stream).str();
}

/// Decodes the output of encode(). Returns std::nullopt if `bytes` is not exactly one valid T.
/// Memory use is bounded by the length of the input, see BoundedInputArchive.
template <typename T>
[[nodiscard]] std::optional<T> decode(const Bytes& bytes) {
  try {
    BoundedInputArchive archive(bytes);
    T value;
    archive(value);
    if (archive.remaining() != 0) {
      return std::nullopt;
    }
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace tackpick::base
