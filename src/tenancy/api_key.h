/// \file
/// API keys of tenants. Plain keys are held only by the document that an operator sent; everything
/// else works with digests.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace tackpick::tenancy {

/// SHA-256 of a key. Looking one up takes a time that tells how much of the digest was right, and
/// from that nothing of a key follows.
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

[[nodiscard]] KeyDigest digestKey(std::string_view key);

}  // namespace tackpick::tenancy
