/// \file
/// Identity of one run of an instance.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tackpick::directory {

/// Name and start time of an instance. A restarted instance under the same name is a different
/// incarnation and inherits no state; state kept per instance is stored under key().
struct Incarnation {
  std::string name;             ///< identifier that the instance reports
  std::uint64_t startTime = 0;  ///< start time in milliseconds of Unix time; zero if unknown

  bool operator==(const Incarnation&) const = default;

  /// Separates name and start time in a key; names must not contain it.
  static constexpr char kSeparator = '#';

  /// Returns the key. Keys of one name are ordered by start time.
  [[nodiscard]] std::string key() const;
  [[nodiscard]] static Incarnation parse(std::string_view key);
};

/// Range of the keys of `name` that contain a start time: from firstKey() up to but excluding
/// endOfKeys().
[[nodiscard]] std::string firstKey(const std::string& name);
[[nodiscard]] std::string endOfKeys(const std::string& name);

/// Returns the name in an incarnation's key.
[[nodiscard]] std::string instanceName(std::string_view key);

}  // namespace tackpick::directory
