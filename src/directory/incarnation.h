/// \file
/// One life of an instance.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tackpick::directory {

/// An instance that starts again under its identifier is another one: it holds nothing of what it
/// held before, and what was said or begun before does not concern it. Everything that is kept by
/// instance is kept by key(), so that a new life begins with nothing.
struct Incarnation {
  std::string name;        ///< the identifier that the instance calls itself by
  std::uint64_t born = 0;  ///< its start, in milliseconds of Unix time; zero: it does not tell

  bool operator==(const Incarnation&) const = default;

  /// Stands between the name and the start in a key; no name may hold it.
  static constexpr char kSeparator = '#';

  /// Keys of one name are ordered by their start.
  [[nodiscard]] std::string key() const;
  [[nodiscard]] static Incarnation parse(std::string_view key);
};

/// Keys of `name` that tell a start lie from firstKey() up to, without it, endOfKeys().
[[nodiscard]] std::string firstKey(const std::string& name);
[[nodiscard]] std::string endOfKeys(const std::string& name);

/// The name in an incarnation's key.
[[nodiscard]] std::string instanceName(std::string_view key);

}  // namespace tackpick::directory
