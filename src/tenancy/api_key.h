/// \file
/// Digests of the API keys of tenants. Only the configuration document of the operator contains
/// plain keys.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace tackpick::tenancy {

/// SHA-256 digest of a key. The lookup need not take constant time, since a matching prefix of a
/// digest reveals nothing about the key.
struct KeyDigest {
  static constexpr std::size_t kBytes = 32;
  std::array<std::uint8_t, kBytes> bytes{};

  auto operator<=>(const KeyDigest&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    for (std::uint8_t& byte : bytes) {
      archive(byte);
    }
  }
};

/// Returns the digest of a key.
[[nodiscard]] KeyDigest digestKey(std::string_view key);

}  // namespace tackpick::tenancy
